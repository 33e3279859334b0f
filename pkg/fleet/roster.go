package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// rosterKept is how long a control VM's address is tried after it was last named or reached.
const rosterKept = 120 * time.Second

// Roster holds the peer addresses of control VMs: the seeds of the settings, and what control VMs name. It outlives all
// seeds. It is safe for concurrent use.
type Roster struct {
	own string

	mu    sync.Mutex
	seeds []string
	named map[string]time.Time
	wake  chan struct{}
}

// NewRoster returns a Roster without the VM's own address.
func NewRoster(own string, seeds []string) *Roster {
	return &Roster{own: own, seeds: seeds, named: make(map[string]time.Time), wake: make(chan struct{}, 1)}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) {
	r.mu.Lock()
	r.seeds = seeds
	r.mu.Unlock()
	r.signal()
}

// Name notes addresses that a control VM named, or that were reached.
func (r *Roster) Name(addresses []string, now time.Time) {
	r.mu.Lock()
	news := false
	for _, a := range addresses {
		if _, ok := r.named[a]; !ok && a != "" && a != r.own {
			news = true
		}
		if a != "" && a != r.own {
			r.named[a] = now
		}
	}
	r.mu.Unlock()
	if news {
		r.signal()
	}
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
	for a, at := range r.named {
		if now.Sub(at) > rosterKept {
			delete(r.named, a)
			continue
		}
		all[a] = true
	}
	return slices.Sorted(maps.Keys(all))
}
