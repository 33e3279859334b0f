package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// rosterTTL is how long a control VM's address is tried after it was last reported or reached.
const rosterTTL = 120 * time.Second

// Roster holds the peer addresses of control VMs: the configured seeds, and those that control VMs report, so that
// the group is found even when all seeds are gone. It is safe for concurrent use.
type Roster struct {
	own string

	mu    sync.Mutex
	seeds []string
	// lastSeen is when each address was last reported or reached.
	lastSeen map[string]time.Time
	// wake is signalled when an address was added or the seeds changed.
	wake chan struct{}
}

// NewRoster returns a Roster with seeds that leaves out the VM's own address.
func NewRoster(own string, seeds []string) *Roster {
	return &Roster{own: own, seeds: seeds, lastSeen: make(map[string]time.Time), wake: make(chan struct{}, 1)}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.mu.Lock()
	r.seeds = seeds
	r.mu.Unlock()
	r.signal()
}

// Add records addresses that a control VM reported, or that were reached.
func (r *Roster) Add(addresses []string, now time.Time) {
	r.mu.Lock()
	added := false
	for _, a := range addresses {
		if _, ok := r.lastSeen[a]; !ok && a != "" && a != r.own {
			added = true
		}
		if a != "" && a != r.own {
			r.lastSeen[a] = now
		}
	}
	r.mu.Unlock()
	if added {
		r.signal()
	}
}

// learned reports whether any control VM was reported or reached.
func (r *Roster) learned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lastSeen) > 0
}

func (r *Roster) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Addresses returns all addresses to try, sorted.
func (r *Roster) Addresses(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]bool)
	for _, s := range r.seeds {
		if s != r.own {
			all[s] = true
		}
	}
	for a, at := range r.lastSeen {
		if now.Sub(at) > rosterTTL {
			delete(r.lastSeen, a)
			continue
		}
		all[a] = true
	}
	return slices.Sorted(maps.Keys(all))
}
