// Package membership keeps a table of the VMs from their heartbeats. The table is for operators' information only: no
// guarantee of the system depends on it. The package does no I/O and reads no clock: callers pass the time, from one
// monotonic clock.
package membership

import (
	"slices"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Limits of failure detection.
const (
	// HeartbeatInterval is how often a VM sends a heartbeat.
	HeartbeatInterval = time.Second
	// SuspectAfter is the silence after which a VM is suspected to have failed.
	SuspectAfter = 3 * HeartbeatInterval
	// FailAfter is the silence after which a VM counts as failed.
	FailAfter = 10 * HeartbeatInterval
	// ForgetAfter is the silence after which a VM is dropped from the table.
	ForgetAfter = time.Hour
	// MaxVMs is the largest number of VMs in the table; heartbeats of further ones are ignored.
	MaxVMs = 4_096
)

// State is the state of a VM, derived from the time since its last heartbeat.
type State int

// States of a VM.
const (
	// Alive VMs sent a heartbeat within SuspectAfter.
	Alive State = iota + 1
	// Suspected VMs sent none for longer than SuspectAfter.
	Suspected
	// Failed VMs sent none for longer than FailAfter.
	Failed
	// Left VMs sent none for longer than SuspectAfter and were draining at their last one.
	Left
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspected", "failed", "left"}[s]
}

// Member is one VM.
type Member struct {
	// Heartbeat is the newest heartbeat: the one with the highest sequence of the latest incarnation heard.
	Heartbeat *daisyhatchv1.HeartbeatRequest
	// Heard is when any heartbeat last arrived, also an outdated one.
	Heard time.Time
	// State is set by Members only.
	State State
}

// Table holds the VMs by name. It isn't safe for concurrent use.
type Table struct {
	members map[string]*Member
}

// New returns an empty Table.
func New() *Table {
	return &Table{members: make(map[string]*Member)}
}

// Heartbeat records a heartbeat and reports whether it replaced the last one. One that is resent or arrives out of order,
// within an incarnation, only shows that the VM is alive. Heartbeats of new VMs are ignored when the table is full.
func (t *Table) Heartbeat(h *daisyhatchv1.HeartbeatRequest, now time.Time) bool {
	m, ok := t.members[h.GetVm()]
	if !ok {
		if len(t.members) >= MaxVMs {
			return false
		}
		m = &Member{}
		t.members[h.GetVm()] = m
	}
	m.Heard = now
	old := m.Heartbeat
	if old != nil && old.GetIncarnation() == h.GetIncarnation() && h.GetSequence() <= old.GetSequence() {
		return false
	}
	m.Heartbeat = h
	return true
}

// Advance drops the VMs that sent no heartbeat for longer than ForgetAfter.
func (t *Table) Advance(now time.Time) {
	for vm, m := range t.members {
		if now.Sub(m.Heard) > ForgetAfter {
			delete(t.members, vm)
		}
	}
}

// Members returns all VMs, sorted by name, with their states at time now.
func (t *Table) Members(now time.Time) []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		c := *m
		c.State = state(m, now)
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Member) int {
		return strings.Compare(a.Heartbeat.GetVm(), b.Heartbeat.GetVm())
	})
	return out
}

func state(m *Member, now time.Time) State {
	silence := now.Sub(m.Heard)
	switch {
	case silence <= SuspectAfter:
		return Alive
	case m.Heartbeat.GetDraining():
		return Left
	case silence <= FailAfter:
		return Suspected
	default:
		return Failed
	}
}

// Status returns the VM's status as it is shown to operators.
func (m Member) Status(now time.Time) *daisyhatchv1.VMStatus {
	h := m.Heartbeat
	return &daisyhatchv1.VMStatus{
		Vm:              h.GetVm(),
		Incarnation:     h.GetIncarnation(),
		FailureDomain:   h.GetFailureDomain(),
		Entry:           h.GetEntry(),
		Control:         h.GetControl(),
		Alive:           m.State == Alive,
		VersionInForce:  h.GetVersionInForce(),
		LastHeardMsAgo:  now.Sub(m.Heard).Milliseconds(),
		SoftwareVersion: h.GetSoftwareVersion(),
		Draining:        h.GetDraining(),
	}
}
