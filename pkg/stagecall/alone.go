package stagecall

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

// The load pattern: all control VMs stop at once, and each entry VM still has callers. Hundreds of VMs that each make small
// calls would fill all servers with some of the jobs of each chain and finish none; so each makes as many as the servers
// bear from all, and starts at servers of its own.
const (
	// standaloneShare is the share of the servers' time that is handed out, since VMs don't see one another's calls.
	standaloneShare = 0.8
	// standaloneBurst is how many jobs a VM may have saved up.
	standaloneBurst = 2.0
	// standaloneReset is the pause after which a VM is taken to have lost the control VMs anew.
	standaloneReset = 10 * time.Second
)

// AloneRate returns how many jobs of a service a VM may have made by itself within a second while vms VMs do so. It is 0
// when the count of VMs isn't known.
func AloneRate(b catalog.Batch, servers, vms int) float64 {
	if vms <= 0 {
		return 0
	}
	return standaloneShare * float64(servers*b.Slots) / b.CallTime(1).Seconds() / float64(vms)
}

// Limiter admits a VM's jobs at a rate that may be well below one a second. It isn't safe for concurrent use.
type Limiter struct {
	// tokens are the jobs that may be admitted at the time at.
	tokens    float64
	updatedAt time.Time
}

// Allow admits one job if it may be. start, from 0 to below 1, is the VM's place among those that begin together: half of
// them have a job admitted at once, as many as the servers' queues hold.
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

// SpreadFor orders servers by a hash of the VM and the server, so that VMs that call alone begin at different ones.
func SpreadFor(vm string, servers []Server) {
	rank := func(s Server) uint64 { return xxhash.Sum64String(vm + "\x00" + s.ID) }
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
}
