package stagecall

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

// While all control VMs are down, each entry VM that still has requests makes stage calls itself. Hundreds of VMs that each
// make small calls would fill the servers with a few jobs of each chain and complete none. Each VM therefore limits itself
// to its share of the servers' capacity and prefers different servers.
const (
	// standaloneShare is the share of the servers' time that VMs use together; the rest is margin, since no VM sees the calls
	// of the others.
	standaloneShare = 0.8
	// standaloneBurst is the maximum number of jobs that a VM may save up for a burst.
	standaloneBurst = 2.0
	// standaloneReset is the time without a call of Allow after which a limiter starts from its initial state again: the
	// control VMs are assumed to have been back in between.
	standaloneReset = 10 * time.Second
)

// StandaloneRate returns how many jobs of a service per second one VM may run by itself while vms VMs do so. It returns 0 if
// the number of VMs is unknown.
func StandaloneRate(b catalog.Batch, servers, vms int) float64 {
	if vms <= 0 {
		return 0
	}
	return standaloneShare * float64(servers*b.Slots) / b.CallTime(1).Seconds() / float64(vms)
}

// Limiter is a token bucket for the jobs that a VM runs by itself; its rate may be far below one job per second. It is not
// safe for concurrent use.
type Limiter struct {
	// tokens is the number of jobs that could be admitted at updatedAt.
	tokens    float64
	updatedAt time.Time
}

// Allow reports whether one more job may run now, and counts it if so; rate is in jobs per second. start, in [0, 1), is the
// VM's random position among those that start together: half of them may run a job at once, as many as the servers' queues
// hold.
func (p *Limiter) Allow(rate, start float64, now time.Time) bool {
	if p.updatedAt.IsZero() || now.Sub(p.updatedAt) > standaloneReset {
		p.tokens = standaloneBurst * start
	} else {
		p.tokens = min(standaloneBurst, p.tokens+rate*now.Sub(p.updatedAt).Seconds())
	}
	p.updatedAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// OrderServersFor sorts servers by a hash of VM and server, so that VMs that make calls by themselves try different servers first.
func OrderServersFor(vm string, servers []Server) {
	rank := func(s Server) uint64 { return xxhash.Sum64String(vm + "\x00" + s.ID) }
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
}
