// Package lease decides who holds named leases. It does no I/O and reads no clock. A holder measures its lease on its
// own monotonic clock, starting before it sent the request. A challenger may take over a lease only after it has seen
// the lease unchanged for a whole TTL on its own monotonic clock. Neither a wall clock nor a change of the consensus
// leader can end a lease early.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; the state was not changed.
	ErrCommand = errors.New("lease: malformed command")
	// ErrSnapshot means that a snapshot is inconsistent: it contains a lease twice, or more than MaxLeases.
	ErrSnapshot = errors.New("lease: bad snapshot")
)

// Limits of the state.
const (
	// MaxLeases is the largest number of lease names.
	MaxLeases = 1_024
	// MaxNameBytes is the largest size of a lease name, holder or incarnation in bytes.
	MaxNameBytes = 128
	// MaxTTLMs is the longest TTL in milliseconds.
	MaxTTLMs = 60_000
)

// Table holds all leases. It isn't safe for concurrent use.
type Table struct {
	leases  map[string]*daisyhatchv1.Lease
	changes uint64
}

// New returns an empty Table.
func New() *Table {
	return &Table{leases: make(map[string]*daisyhatchv1.Lease)}
}

// Apply acquires, renews or releases a lease and returns its state afterwards. A lease held by another process is taken
// over only if the command names its present renewal number. A command that names a fence renews the lease under that
// fence or does nothing. Apply returns ErrCommand for a malformed command or a new
// name beyond MaxLeases.
func (t *Table) Apply(c *daisyhatchv1.LeaseCommand) (*daisyhatchv1.LeaseResult, error) {
	if err := validate(c); err != nil {
		return nil, err
	}
	l, ok := t.leases[c.GetName()]
	if !ok {
		if len(t.leases) >= MaxLeases {
			return nil, fmt.Errorf("%w: more than %d leases", ErrCommand, MaxLeases)
		}
		l = &daisyhatchv1.Lease{Name: c.GetName()}
		t.leases[c.GetName()] = l
	}
	switch {
	case c.GetRelease() && holds(l, c):
		t.release(l)
	case c.GetRelease(), c.GetRenewFence() != 0 && !renews(l, c):
	case holds(l, c):
		l.Renewal++
		l.TtlMs = max(l.GetTtlMs(), c.GetTtlMs())
	case l.GetHolder() == "" || c.GetObservedRenewal() == l.GetRenewal():
		t.acquire(l, c)
	}
	return result(l, c), nil
}

// acquire makes the sender of the command the holder, under a new fence.
func (t *Table) acquire(l *daisyhatchv1.Lease, c *daisyhatchv1.LeaseCommand) {
	l.Holder = c.GetHolder()
	l.Incarnation = c.GetIncarnation()
	l.Fence++
	l.Renewal++
	l.TtlMs = c.GetTtlMs()
	t.changes++
}

// release frees a lease. It keeps the fence, so that the next holder gets a higher one.
func (t *Table) release(l *daisyhatchv1.Lease) {
	l.Holder = ""
	l.Incarnation = ""
	l.Renewal++
	t.changes++
}

// holds reports whether the command comes from the lease's holder. A restarted process has a new incarnation and is not
// the holder.
func holds(l *daisyhatchv1.Lease, c *daisyhatchv1.LeaseCommand) bool {
	return l.GetHolder() == c.GetHolder() && l.GetIncarnation() == c.GetIncarnation()
}

// renews reports whether the command renews the lease that its sender holds now.
func renews(l *daisyhatchv1.Lease, c *daisyhatchv1.LeaseCommand) bool {
	return holds(l, c) && l.GetFence() == c.GetRenewFence()
}

func result(l *daisyhatchv1.Lease, c *daisyhatchv1.LeaseCommand) *daisyhatchv1.LeaseResult {
	return &daisyhatchv1.LeaseResult{
		Held:        holds(l, c) && (c.GetRenewFence() == 0 || renews(l, c)),
		Holder:      l.GetHolder(),
		Incarnation: l.GetIncarnation(),
		Fence:       l.GetFence(),
		Renewal:     l.GetRenewal(),
		TtlMs:       l.GetTtlMs(),
	}
}

// validate returns ErrCommand unless the names and the TTL are within the limits.
func validate(c *daisyhatchv1.LeaseCommand) error {
	for _, s := range []string{c.GetName(), c.GetHolder(), c.GetIncarnation()} {
		if s == "" || len(s) > MaxNameBytes {
			return fmt.Errorf("%w: name, holder and incarnation must have 1 to %d bytes", ErrCommand, MaxNameBytes)
		}
	}
	if !c.GetRelease() && (c.GetTtlMs() <= 0 || c.GetTtlMs() > MaxTTLMs) {
		return fmt.Errorf("%w: the TTL must be 1 to %d ms", ErrCommand, MaxTTLMs)
	}
	return nil
}

// Changes returns how often a lease changed its holder since this Table was created, releases included. It is not part
// of the replicated state.
func (t *Table) Changes() uint64 { return t.changes }

// Get returns a lease; nil when it was never acquired. The caller must not modify it.
func (t *Table) Get(name string) *daisyhatchv1.Lease { return t.leases[name] }

// All returns all leases sorted by name. The caller must not modify them.
func (t *Table) All() []*daisyhatchv1.Lease {
	out := make([]*daisyhatchv1.Lease, 0, len(t.leases))
	for _, l := range t.leases {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *daisyhatchv1.Lease) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out
}

// Restore returns the Table of a snapshot. It returns ErrSnapshot when the snapshot contains a lease twice, or more
// than MaxLeases.
func Restore(leases []*daisyhatchv1.Lease) (*Table, error) {
	t := New()
	for _, l := range leases {
		if _, ok := t.leases[l.GetName()]; ok || len(t.leases) >= MaxLeases {
			return nil, fmt.Errorf("%w: lease %q", ErrSnapshot, l.GetName())
		}
		t.leases[l.GetName()] = l
	}
	return t, nil
}
