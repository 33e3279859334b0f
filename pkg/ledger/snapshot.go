package ledger

import (
	"cmp"
	"fmt"
	"slices"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Snapshot returns the state as a message. The message shares memory with the ledger, so the caller must encode it
// before the next command.
func (l *Ledger) Snapshot() *daisyhatchv1.LedgerSnapshot {
	s := &daisyhatchv1.LedgerSnapshot{WatermarkUnixMs: l.watermark, BodySequence: l.bodySequence}
	processIndex := make(map[*process]uint32, len(l.processes))
	for i, p := range l.sortedProcesses() {
		processIndex[p] = uint32(i)
		s.Processes = append(s.Processes, &daisyhatchv1.HolderProcess{
			Holder: p.holder, Incarnation: p.incarnation, Latest: p.latest,
		})
	}
	for e := l.timed.Front(); e != nil; e = e.Next() {
		s.Claims = append(s.Claims, encodeClaim(e.Value.(*claim), processIndex))
	}
	for e := l.untimed.Front(); e != nil; e = e.Next() {
		s.Claims = append(s.Claims, encodeClaim(e.Value.(*claim), processIndex))
	}
	return s
}

func (l *Ledger) sortedProcesses() []*process {
	out := make([]*process, 0, len(l.processes))
	for _, p := range l.processes {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.holder, b.holder), cmp.Compare(a.incarnation, b.incarnation))
	})
	return out
}

func encodeClaim(c *claim, processIndex map[*process]uint32) *daisyhatchv1.ClaimRecord {
	return &daisyhatchv1.ClaimRecord{
		Id:             c.id[:],
		BodyHash:       c.bodyHash,
		Process:        processIndex[c.process],
		Attempt:        c.attempt,
		DeadlineUnixMs: c.deadline,
		CreatedUnixMs:  c.created,
		AcceptedUnixMs: c.accepted,
		State:          c.state,
		Outcome:        c.outcome.toProto(),
		BodySequence:   c.bodySequence,
	}
}

// Restore builds a Ledger from a snapshot. It returns ErrSnapshot if the snapshot is inconsistent.
func Restore(s *daisyhatchv1.LedgerSnapshot) (*Ledger, error) {
	l := New()
	l.watermark = s.GetWatermarkUnixMs()
	l.bodySequence = s.GetBodySequence()
	if len(s.GetClaims()) > MaxClaims {
		return nil, fmt.Errorf("%w: %d claims exceed the limit", ErrSnapshot, len(s.GetClaims()))
	}
	processes := make([]*process, len(s.GetProcesses()))
	for i, p := range s.GetProcesses() {
		processes[i] = l.processOf(p.GetHolder(), p.GetIncarnation())
		processes[i].latest = p.GetLatest()
	}
	for _, r := range s.GetClaims() {
		if err := l.restoreClaim(r, processes); err != nil {
			return nil, err
		}
	}
	if err := l.restoreBodies(s.GetClaims()); err != nil {
		return nil, err
	}
	for k, p := range l.processes {
		if p.claims == 0 {
			delete(l.processes, k)
		}
	}
	return l, nil
}

func (l *Ledger) restoreClaim(r *daisyhatchv1.ClaimRecord, processes []*process) error {
	if len(r.GetId()) != len(id{}) || int(r.GetProcess()) >= len(processes) {
		return fmt.Errorf("%w: claim with invalid ID or process index", ErrSnapshot)
	}
	key := id(r.GetId())
	if _, ok := l.claims[key]; ok {
		return fmt.Errorf("%w: duplicate claim ID", ErrSnapshot)
	}
	c := &claim{
		id:       key,
		bodyHash: r.GetBodyHash(),
		attempt:  r.GetAttempt(),
		deadline: r.GetDeadlineUnixMs(),
		created:  r.GetCreatedUnixMs(),
		accepted: r.GetAcceptedUnixMs(),
		state:    r.GetState(),
	}
	if r.GetOutcome() != nil {
		c.outcome = l.newOutcome(r.GetOutcome())
	}
	l.insert(c, processes[r.GetProcess()])
	return nil
}

// restoreBodies adds the claims with a stored body to l.bodies in the order of their completion.
func (l *Ledger) restoreBodies(claims []*daisyhatchv1.ClaimRecord) error {
	var withBody []*daisyhatchv1.ClaimRecord
	for _, r := range claims {
		if r.GetBodySequence() != 0 {
			withBody = append(withBody, r)
		}
	}
	slices.SortFunc(withBody, func(a, b *daisyhatchv1.ClaimRecord) int {
		return cmp.Compare(a.GetBodySequence(), b.GetBodySequence())
	})
	for _, r := range withBody {
		c := l.claims[id(r.GetId())]
		if c.outcome == nil {
			return fmt.Errorf("%w: body sequence without outcome", ErrSnapshot)
		}
		l.addBody(c, r.GetBodySequence())
	}
	return nil
}
