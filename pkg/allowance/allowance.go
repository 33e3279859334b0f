// Package allowance splits a limit that applies to all VMs together, such as the requests to a server or the retries of
// a service, into one share per VM. Each VM enforces its share by itself, so the limit holds also while VMs can't reach
// one another. The package does no I/O and reads no clock: callers pass the time.
package allowance

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// utilisation is the fraction of a limit that is handed out. The rest is a margin, since requests sent in different
// seconds may arrive in the same one.
const utilisation = 0.8

// Share returns how many of total units the VM with the id own may use, where vms are the ids of all VMs and key names
// what the limit applies to. Units that don't divide evenly go to the VMs that come first by a hash of key and id, so
// that all VMs agree on who gets them. The result is 0 for a VM that is not in vms.
func Share(total float64, key string, own uint64, vms []uint64) int {
	return ShareUnits(int(total*utilisation), key, own, vms)
}

// ShareUnits is Share for a number of units that are handed out without a margin.
func ShareUnits(units int, key string, own uint64, vms []uint64) int {
	n := len(vms)
	if n == 0 || !slices.Contains(vms, own) {
		return 0
	}
	share, remainder := units/n, units%n
	seed := xxhash.Sum64String(key)
	ownRank, ahead := rank(seed, own), 0
	for _, id := range vms {
		if r := rank(seed, id); r < ownRank || r == ownRank && id < own {
			ahead++
		}
	}
	if ahead < remainder {
		share++
	}
	return share
}

// rank returns the hash by which VMs are ordered for the units that don't divide evenly.
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

// NewWindow returns an empty Window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{length: length, events: make(map[string][]time.Time)}
}

// Count returns the number of events of a key within the window that ends at now.
func (w *Window) Count(key string, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.recent(key, now))
}

// CountWithin returns the number of events of a key within the last d, at most the window's length, before now.
func (w *Window) CountWithin(key string, d time.Duration, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(within(w.recent(key, now), d, now))
}

// RoomAt returns when fewer than limit events, at least 1, of a key will be within the last d: now if that is so already.
// d is at most the window's length.
func (w *Window) RoomAt(key string, d time.Duration, limit int, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := within(w.recent(key, now), d, now)
	if len(times) < limit {
		return now
	}
	return times[len(times)-limit].Add(d)
}

// within returns the events of the last d before now.
func within(times []time.Time, d time.Duration, now time.Time) []time.Time {
	first, _ := slices.BinarySearchFunc(times, now.Add(-d), func(at, end time.Time) int {
		if at.After(end) {
			return 1
		}
		return -1
	})
	return times[first:]
}

// Take adds an event unless the window holds limit events of the key already. It reports whether it added one.
func (w *Window) Take(key string, limit int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := w.recent(key, now)
	if len(times) >= limit {
		return false
	}
	w.events[key] = append(times, now)
	return true
}

// Add adds an event whether or not a limit is reached.
func (w *Window) Add(key string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events[key] = append(w.recent(key, now), now)
}

// Expire drops the keys whose events have all left the window.
func (w *Window) Expire(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.events {
		w.recent(key, now)
	}
}

// recent drops the events of a key that have left the window and returns the others; w.mu is held.
func (w *Window) recent(key string, now time.Time) []time.Time {
	times := w.events[key]
	i := 0
	for i < len(times) && now.Sub(times[i]) >= w.length {
		i++
	}
	if i == len(times) {
		delete(w.events, key)
		return nil
	}
	if i > 0 {
		times = times[i:]
		w.events[key] = times
	}
	return times
}

// RetryBudget is a retry budget for each service. In a sliding window, all VMs together may send requests again at most
// ratio times the number of requests, plus extra.
type RetryBudget struct {
	ratio    float64
	extra    float64
	requests *Window
	retries  *Window
}

// NewRetryBudget returns a retry budget over a window of the given length.
func NewRetryBudget(ratio float64, extra float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: extra, requests: NewWindow(window), retries: NewWindow(window)}
}

// CountRequest counts a request for a service.
func (r *RetryBudget) CountRequest(service string, now time.Time) { r.requests.Add(service, now) }

// Share returns this VM's share of extra in units; entries is the number of VMs that share it. A VM that doesn't know it, with
// entries 0, has none.
func (r *RetryBudget) Share(entries int) float64 {
	if entries <= 0 {
		return 0
	}
	return r.extra / float64(entries) * utilisation
}

// TakeRetry takes one retry out of this VM's share and reports whether one was left; entries is the number of VMs that
// share extra. A VM that doesn't know it, with entries 0, has no part of extra.
func (r *RetryBudget) TakeRetry(service string, entries int, now time.Time) bool {
	return r.TakeRetryBut(service, entries, 0, now)
}

// TakeRetryBut is TakeRetry for a VM that does without given units of its share of extra.
func (r *RetryBudget) TakeRetryBut(service string, entries int, given float64, now time.Time) bool {
	limit := r.ratio * float64(r.requests.Count(service, now))
	if entries > 0 {
		limit += r.extra / float64(entries)
	}
	return r.retries.Take(service, int(limit*utilisation-min(given, r.Share(entries))), now)
}
