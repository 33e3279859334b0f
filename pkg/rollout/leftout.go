package rollout

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// maxLeftOut bounds the servers that a decision names, and those that a VM notes for one roll-out.
const maxLeftOut = 8_192

// Incarnation returns the number by which a roll-out names the incarnation of a server.
func Incarnation(s Server) uint64 {
	return xxhash.Sum64String(s.ID + "/" + strconv.FormatInt(s.Born, 10))
}

// losing reports whether a version loses its requests when a roll-out enters a phase.
func losing(r *daisyhatchv1.Rollout, phase daisyhatchv1.RolloutPhase, version string) bool {
	switch phase {
	case Completed:
		return version != r.GetVersion()
	case RolledBack:
		return version == r.GetVersion()
	}
	return false
}

// Decide returns the decision that a roll-out enters a phase, made while these servers of its service are known. Which ones an
// end leaves out is told by name: the clocks of servers and control VMs may differ.
func Decide(r *daisyhatchv1.Rollout, phase daisyhatchv1.RolloutPhase, reason string, servers []Server) *daisyhatchv1.RolloutDecision {
	d := &daisyhatchv1.RolloutDecision{Service: r.GetService(), Number: r.GetNumber(), Phase: phase, Reason: reason}
	for _, s := range servers {
		if losing(r, phase, s.Version) && len(d.GetLeftOut()) < maxLeftOut {
			d.LeftOut = append(d.LeftOut, Incarnation(s))
		}
	}
	return d
}

// newOrder returns what a VM knows of a roll-out that it learns of; before is the one of the same service before, or nil.
func newOrder(r *daisyhatchv1.Rollout, before *order, now time.Time) *order {
	o := &order{Rollout: r, answers: make(map[answerKey]*counted), learnedAt: now, known: make(map[uint64]bool)}
	o.takeOver(r.GetLeftOut())
	if Ended(r.GetPhase()) {
		o.endedAt = recorded(r.GetChangedUnixMs(), now)
	}
	if v := r.GetFormerVersion(); v != "" && v != r.GetVersion() {
		o.former = &order{Rollout: &daisyhatchv1.Rollout{Version: v, Phase: RolledBack}, known: make(map[uint64]bool)}
		o.former.endedAt = recorded(r.GetFormerUnixMs(), now)
		if before != nil && before.GetVersion() == v {
			o.former.known = before.known
			if !Ended(before.GetPhase()) {
				o.former.endedAt = now
			} else if before.GetChangedUnixMs() == r.GetFormerUnixMs() {
				o.former.endedAt = before.endedAt
			}
		}
		o.former.takeOver(r.GetFormerLeftOut())
	}
	return o
}

// recorded returns when a roll-out that a VM didn't know in progress has ended by its record, now at the latest: a later release
// may run the version again. Clocks that differ make the settle window shorter, or let it begin now.
func recorded(unixMs int64, now time.Time) time.Time {
	if at := time.UnixMilli(unixMs); at.Before(now) {
		return at
	}
	return now
}

func (o *order) takeOver(incarnations []uint64) {
	for _, k := range incarnations {
		o.known[k] = true
	}
}

// note remembers the servers that are there while the roll-out is in progress.
func (o *order) note(servers []Server, now time.Time) {
	if Ended(o.GetPhase()) || now.Sub(o.notedAt) < noteInterval {
		return
	}
	o.notedAt = now
	for _, s := range servers {
		o.add(s)
	}
}

func (o *order) add(s Server) {
	if len(o.known) < maxLeftOut {
		o.known[Incarnation(s)] = true
	}
}

// leftOut reports whether the roll-out has ended and the server, which was there then, gets nothing any more.
func (o *order) leftOut(s Server, now time.Time) bool {
	if !losing(o.Rollout, o.GetPhase(), s.Version) {
		return false
	}
	if o.GetPhase() == RolledBack && now.Sub(o.endedAt) < settleWindow {
		o.add(s)
		return true
	}
	return o.known[Incarnation(s)]
}

// takenOutBefore reports whether the server is one that the roll-out before this one has left out.
func (o *order) takenOutBefore(s Server, now time.Time) bool {
	return o.former != nil && o.former.leftOut(s, now)
}
