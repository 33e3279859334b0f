// Package path decides how a VM connects to backend servers whose direct network path may be lost: directly, or through
// another VM that reaches them. A path counts as lost when a tunnel connects to a server to which a direct connection could
// not be made, so that neither a server that has ended nor one that is silent is taken for a lost path.
package path

import (
	"maps"
	"time"
)

const (
	// hedgeDelay is how long a direct attempt to connect may take before a tunnel is tried beside it: many round trips
	// within a region, and below the timeout of a probe.
	hedgeDelay = 80 * time.Millisecond
	// probeInterval is the time between two direct attempts to connect to a server whose path is lost.
	probeInterval = time.Second
	// lostRetention is how long a path counts as lost without a new sign.
	lostRetention = 10 * time.Second
	// cutOffServers is the number of servers that lose their path one after the other, with no direct connection made in
	// between, from which the paths to all servers count as lost. Two rule out the loss of one server's path.
	cutOffServers = 2
)

// Plan is how to connect to a server.
type Plan struct {
	// Direct is true when a direct connection is to be tried.
	Direct bool
	// TunnelAfter is how long the direct attempt may take before a tunnel is tried as well. A direct attempt that fails
	// makes it due at once.
	TunnelAfter time.Duration
}

// Change is what a result changed in a Table.
type Change int

// Changes.
const (
	// Unchanged means that nothing changed.
	Unchanged Change = iota
	// Lost means that the path to the server is lost from now on, Back that it works again.
	Lost
	Back
	// CutOff means that the paths to all servers count as lost from now on.
	CutOff
)

// Table holds the paths to servers, by address. It does no I/O and reads no clock, and isn't safe for concurrent use.
type Table struct {
	lost map[string]lostPath
	// inRow are the servers whose paths were found lost since the last direct connection to any server.
	inRow map[string]bool
	// nextProbe is when the direct path is tried again, by address.
	nextProbe map[string]time.Time
}

type lostPath struct{ confirmed time.Time }

// NewTable returns a Table to which all paths work.
func NewTable() *Table {
	return &Table{lost: make(map[string]lostPath), inRow: make(map[string]bool), nextProbe: make(map[string]time.Time)}
}

// IsLost reports whether the direct path to a server counts as lost.
func (t *Table) IsLost(address string, now time.Time) bool {
	t.expire(now)
	_, ok := t.lost[address]
	return ok || len(t.inRow) >= cutOffServers
}

// Plan returns how to connect to a server now.
func (t *Table) Plan(address string, now time.Time) Plan {
	if !t.IsLost(address, now) {
		return Plan{Direct: true, TunnelAfter: hedgeDelay}
	}
	if now.Before(t.nextProbe[address]) {
		return Plan{}
	}
	t.nextProbe[address] = now.Add(probeInterval)
	return Plan{Direct: true}
}

// Connected records a direct connection to a server.
func (t *Table) Connected(address string) Change {
	_, wasLost := t.lost[address]
	wasLost = wasLost || len(t.inRow) >= cutOffServers
	clear(t.inRow)
	delete(t.lost, address)
	delete(t.nextProbe, address)
	if wasLost {
		return Back
	}
	return Unchanged
}

// Tunnelled records that a tunnel connected to a server to which no direct connection could be made so far.
func (t *Table) Tunnelled(address string, now time.Time) Change {
	_, known := t.lost[address]
	before := len(t.inRow)
	t.lost[address] = lostPath{now}
	t.inRow[address] = true
	switch {
	case before < cutOffServers && len(t.inRow) >= cutOffServers:
		return CutOff
	case !known:
		return Lost
	}
	return Unchanged
}

// Count returns the number of servers whose paths were found lost.
func (t *Table) Count(now time.Time) int {
	t.expire(now)
	return len(t.lost)
}

// expire drops paths without a new sign for lostRetention.
func (t *Table) expire(now time.Time) {
	maps.DeleteFunc(t.lost, func(address string, l lostPath) bool {
		if now.Sub(l.confirmed) < lostRetention {
			return false
		}
		delete(t.inRow, address)
		delete(t.nextProbe, address)
		return true
	})
	if len(t.lost) == 0 {
		clear(t.nextProbe)
	}
}
