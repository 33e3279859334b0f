// Package rollout decides how the requests of a service move to another software version of its servers: who may send how
// many requests to the version while it is on trial, whether it is as good as the versions beside it, and when the roll-out
// ends. The package does no I/O and reads no clock: callers pass the time.
//
//   - Book is the part of the replicated state machine: the orders and their phases.
//   - Dealer runs on the judging control VM: it deals out the requests that may go to the version, so that their sum over all
//     VMs stays within the bound.
//   - Holder runs on each entry VM: it uses such grants, and counts answers.
//   - Judge compares the answers of both versions.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; nothing was changed.
	ErrCommand = errors.New("rollout: malformed command")
	// ErrSnapshot means that a snapshot is inconsistent.
	ErrSnapshot = errors.New("rollout: bad snapshot")
)

// Phases of a roll-out.
const (
	Trial      = daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_TRIAL
	Switching  = daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_SWITCHING
	Completed  = daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_COMPLETED
	RolledBack = daisyhatchv1.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
)

const (
	// minDurationMs and maxDurationMs bound the time that an order gives a roll-out, in milliseconds: a second and a day.
	minDurationMs = 1_000
	maxDurationMs = 24 * 3600 * 1000
	// repeatWindowMs is how long after its start an order that has ended is recognised when it is sent again, in milliseconds.
	// Later the same order starts another roll-out.
	repeatWindowMs = 10_000
	// maxServices bounds the services with a record. Beyond it the one that ended first is dropped.
	maxServices = 1_024
	// maxName bounds the names of services and versions, maxReason the text of a reason, in bytes.
	maxName   = 256
	maxReason = 1_024
)

// Ended reports whether a roll-out is over.
func Ended(p daisyhatchv1.RolloutPhase) bool { return p >= Completed }

// Book holds the latest roll-out of each service. It is deterministic, and not safe for concurrent use. The records that it
// returns must not be changed.
type Book struct {
	// rollouts are sorted by service; a change replaces the record and the slice.
	rollouts []*daisyhatchv1.Rollout
	number   uint64
	changes  uint64
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{} }

// Rollouts returns the latest roll-out of each service, sorted by service.
func (b *Book) Rollouts() []*daisyhatchv1.Rollout { return b.rollouts }

// Changes counts the orders accepted and the changes of phase. Reservations don't count.
func (b *Book) Changes() uint64 { return b.changes }

// Apply applies a command that was proposed at nowMs by its proposer's clock, in Unix milliseconds. Errors: ErrCommand.
func (b *Book) Apply(c *daisyhatchv1.RolloutCommand, nowMs int64) (*daisyhatchv1.RolloutResult, error) {
	switch a := c.GetAction().(type) {
	case *daisyhatchv1.RolloutCommand_Start:
		return b.start(a.Start, c.GetBase(), nowMs)
	case *daisyhatchv1.RolloutCommand_Decision:
		return b.decide(a.Decision, nowMs)
	case *daisyhatchv1.RolloutCommand_Reservation:
		return b.reserve(a.Reservation)
	}
	return nil, fmt.Errorf("%w: no action", ErrCommand)
}

// CheckStart returns ErrCommand if an order can't be accepted because of its content.
func CheckStart(s *daisyhatchv1.RolloutStart) error {
	switch {
	case s.GetService() == "" || len(s.GetService()) > maxName:
		return fmt.Errorf("%w: service %.32q", ErrCommand, s.GetService())
	case s.GetVersion() == "" || len(s.GetVersion()) > maxName:
		return fmt.Errorf("%w: version %.32q", ErrCommand, s.GetVersion())
	case s.GetDurationMs() < minDurationMs || s.GetDurationMs() > maxDurationMs:
		return fmt.Errorf("%w: duration of %d ms, allowed are %d to %d", ErrCommand, s.GetDurationMs(), minDurationMs, maxDurationMs)
	}
	return nil
}

// BaseOf returns what an order for a service is based on, given the roll-outs that are known.
func BaseOf(list []*daisyhatchv1.Rollout, service string) *daisyhatchv1.RolloutBase {
	i, found := Find(list, service)
	if !found {
		return &daisyhatchv1.RolloutBase{}
	}
	return &daisyhatchv1.RolloutBase{Number: list[i].GetNumber(), Phase: list[i].GetPhase()}
}

func (b *Book) start(s *daisyhatchv1.RolloutStart, base *daisyhatchv1.RolloutBase, nowMs int64) (*daisyhatchv1.RolloutResult, error) {
	if err := CheckStart(s); err != nil {
		return nil, err
	}
	i, found := b.find(s.GetService())
	if found {
		old := b.rollouts[i]
		same := old.GetVersion() == s.GetVersion() && old.GetDurationMs() == s.GetDurationMs()
		switch {
		case same && (!Ended(old.GetPhase()) || nowMs-old.GetStartedUnixMs() <= repeatWindowMs):
			return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_KNOWN, old), nil
		case !Ended(old.GetPhase()):
			return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_CONFLICT, old), nil
		}
	}
	if base != nil && !proto.Equal(base, BaseOf(b.rollouts, s.GetService())) {
		// Replicas of builds that don't know the base start a roll-out, and must number the next one alike.
		b.number++
		b.changes++
		r := &daisyhatchv1.Rollout{}
		if found {
			r = b.rollouts[i]
		}
		return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN, r), nil
	}
	if !found && !b.makeRoom() {
		return nil, fmt.Errorf("%w: roll-outs of %d services are in progress", ErrCommand, maxServices)
	}
	b.number++
	r := &daisyhatchv1.Rollout{
		Service: s.GetService(), Version: s.GetVersion(), DurationMs: s.GetDurationMs(), Number: b.number, Phase: Trial,
		StartedUnixMs: nowMs, ChangedUnixMs: nowMs, Reason: "ordered",
	}
	if found && b.rollouts[i].GetPhase() == RolledBack {
		old := b.rollouts[i]
		r.FormerVersion, r.FormerUnixMs, r.FormerLeftOut = old.GetVersion(), old.GetChangedUnixMs(), old.GetLeftOut()
	}
	b.put(r)
	b.changes++
	return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED, r), nil
}

// makeRoom drops the record that ended first if there are maxServices. It returns false if none has ended.
func (b *Book) makeRoom() bool {
	if len(b.rollouts) < maxServices {
		return true
	}
	first := -1
	for i, r := range b.rollouts {
		if Ended(r.GetPhase()) && (first < 0 || r.GetChangedUnixMs() < b.rollouts[first].GetChangedUnixMs()) {
			first = i
		}
	}
	if first < 0 {
		return false
	}
	b.rollouts = slices.Delete(slices.Clone(b.rollouts), first, first+1)
	return true
}

func (b *Book) decide(d *daisyhatchv1.RolloutDecision, nowMs int64) (*daisyhatchv1.RolloutResult, error) {
	if d.GetPhase() <= Trial || d.GetPhase() > RolledBack || len(d.GetReason()) > maxReason || len(d.GetLeftOut()) > maxLeftOut {
		return nil, fmt.Errorf("%w: phase %v with a reason of %d bytes and %d servers", ErrCommand, d.GetPhase(), len(d.GetReason()), len(d.GetLeftOut()))
	}
	old, current := b.current(d.GetService(), d.GetNumber())
	if !current || Ended(old.GetPhase()) || d.GetPhase() <= old.GetPhase() || d.GetPhase() == Completed && old.GetPhase() != Switching {
		return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN, old), nil
	}
	r := proto.CloneOf(old)
	r.Phase, r.Reason, r.ChangedUnixMs, r.LeftOut = d.GetPhase(), d.GetReason(), nowMs, d.GetLeftOut()
	b.put(r)
	b.changes++
	return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED, r), nil
}

func (b *Book) reserve(v *daisyhatchv1.RolloutReservation) (*daisyhatchv1.RolloutResult, error) {
	old, current := b.current(v.GetService(), v.GetNumber())
	if !current || old.GetPhase() != Trial || v.GetBase() != old.GetReserved() || v.GetReserved() <= old.GetReserved() {
		return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN, old), nil
	}
	r := proto.CloneOf(old)
	r.Reserved = v.GetReserved()
	b.put(r)
	return result(daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED, r), nil
}

func result(o daisyhatchv1.RolloutOutcome, r *daisyhatchv1.Rollout) *daisyhatchv1.RolloutResult {
	return &daisyhatchv1.RolloutResult{Outcome: o, Rollout: r}
}

// current returns the latest roll-out of a service; false if that isn't the one with the number.
func (b *Book) current(service string, number uint64) (*daisyhatchv1.Rollout, bool) {
	i, found := b.find(service)
	if !found {
		return nil, false
	}
	return b.rollouts[i], b.rollouts[i].GetNumber() == number
}

func (b *Book) put(r *daisyhatchv1.Rollout) {
	list := slices.Clone(b.rollouts)
	if i, found := b.find(r.GetService()); found {
		list[i] = r
	} else {
		list = slices.Insert(list, i, r)
	}
	b.rollouts = list
}

func (b *Book) find(service string) (int, bool) { return Find(b.rollouts, service) }

// Find returns the place of a service in a list that is sorted by service.
func Find(list []*daisyhatchv1.Rollout, service string) (int, bool) {
	return slices.BinarySearchFunc(list, service, func(r *daisyhatchv1.Rollout, s string) int { return cmp.Compare(r.GetService(), s) })
}

// Snapshot returns the roll-outs, the number of the latest order, and the count of changes.
func (b *Book) Snapshot() (list []*daisyhatchv1.Rollout, number, changes uint64) {
	return b.rollouts, b.number, b.changes
}

// Restore returns the Book of a snapshot. Errors: ErrSnapshot if services are unsorted, duplicate or too many.
func Restore(list []*daisyhatchv1.Rollout, number, changes uint64) (*Book, error) {
	for i, r := range list {
		if i > 0 && r.GetService() <= list[i-1].GetService() || len(list) > maxServices || r.GetNumber() > number {
			return nil, fmt.Errorf("%w: service %.32q", ErrSnapshot, r.GetService())
		}
	}
	return &Book{rollouts: list, number: number, changes: changes}, nil
}
