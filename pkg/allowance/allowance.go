// Package allowance splits what all VMs together may send to a server or a service into shares that each VM keeps by
// itself, so that the sum holds also while VMs can't hear one another. It is pure: the time comes in as an argument.
package allowance

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// used is the share of a bound that is handed out: sends of one second may arrive in another.
const used = 0.8

// Share returns how many of total units VM own may use, when vms are the ids of all VMs. Units that don't divide evenly go
// to the VMs that a hash of key and id puts first, so that every VM knows the holders. A VM that is not in vms gets
// nothing.
func Share(total float64, key string, own uint64, vms []uint64) int {
	units := int(total * used)
	n := len(vms)
	if n == 0 || !slices.Contains(vms, own) {
		return 0
	}
	share, rest := units/n, units%n
	seed := xxhash.Sum64String(key)
	mine, before := rank(seed, own), 0
	for _, id := range vms {
		if r := rank(seed, id); r < mine || r == mine && id < own {
			before++
		}
	}
	if before < rest {
		share++
	}
	return share
}

// rank orders the VMs that get the units that don't divide evenly.
func rank(seed, id uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], id)
	return xxhash.Sum64(b[:])
}

// Window counts events by key in a sliding window. It is safe for concurrent use.
type Window struct {
	length time.Duration

	mu     sync.Mutex
	events map[string][]time.Time
}

// NewWindow returns a Window of the length given.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, events: make(map[string][]time.Time)}
}

// Count returns the events of a key within the window that ends now.
func (w *Window) Count(key string, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.recent(key, now))
}

// Take adds an event unless the window holds limit events already.
func (w *Window) Take(key string, limit int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.recent(key, now)
	if len(list) >= limit {
		return false
	}
	w.events[key] = append(list, now)
	return true
}

// Add adds an event.
func (w *Window) Add(key string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events[key] = append(w.recent(key, now), now)
}

func (w *Window) recent(key string, now time.Time) []time.Time {
	list := w.events[key]
	i := 0
	for i < len(list) && now.Sub(list[i]) >= w.length {
		i++
	}
	if i == len(list) {
		delete(w.events, key)
		return nil
	}
	if i > 0 {
		list = list[i:]
		w.events[key] = list
	}
	return list
}

// Repeats bounds the sends beyond the first of each request, for each service, in a window over all VMs: ratio times the
// requests and extra.
type Repeats struct {
	ratio    float64
	extra    float64
	requests *Window
	repeats  *Window
}

// NewRepeats returns Repeats for a window.
func NewRepeats(ratio float64, extra float64, window time.Duration) *Repeats {
	return &Repeats{ratio: ratio, extra: extra, requests: NewWindow(window), repeats: NewWindow(window)}
}

// Request counts a request for a service.
func (r *Repeats) Request(service string, now time.Time) { r.requests.Add(service, now) }

// Allow takes one repeat out of this VM's share; entries is how many VMs share the extra.
func (r *Repeats) Allow(service string, entries int, now time.Time) bool {
	limit := r.ratio*float64(r.requests.Count(service, now)) + r.extra/float64(max(entries, 1))
	return r.repeats.Take(service, int(limit*used), now)
}
