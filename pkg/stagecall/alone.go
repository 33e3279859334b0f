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
	// aloneUsed is the share of the servers' time that is handed out, since VMs don't see one another's calls.
	aloneUsed = 0.8
	// aloneSaved is how many jobs a VM may have saved up.
	aloneSaved = 2.0
	// aloneForgotten is the pause after which a VM is taken to have lost the control VMs anew.
	aloneForgotten = 10 * time.Second
)

// AloneRate returns how many jobs of a service a VM may have made by itself within a second while vms VMs do so. It is 0
// when the count of VMs isn't known.
func AloneRate(b catalog.Batch, servers, vms int) float64 {
	if vms <= 0 {
		return 0
	}
	return aloneUsed * float64(servers*b.Slots) / b.CallTime(1).Seconds() / float64(vms)
}

// Pace admits a VM's jobs at a rate that may be well below one a second. It isn't safe for concurrent use.
type Pace struct {
	// saved are the jobs that may be admitted at the time at.
	saved float64
	at    time.Time
}

// Take admits one job if it may be. start, from 0 to below 1, is the VM's place among those that begin together: half of
// them have a job admitted at once, as many as the servers' queues hold.
func (p *Pace) Take(rate, start float64, now time.Time) bool {
	if p.at.IsZero() || now.Sub(p.at) > aloneForgotten {
		p.saved = aloneSaved * start
	} else {
		p.saved = min(aloneSaved, p.saved+rate*now.Sub(p.at).Seconds())
	}
	p.at = now
	if p.saved < 1 {
		return false
	}
	p.saved--
	return true
}

// SpreadFor orders servers by a hash of the VM and the server, so that VMs that call alone begin at different ones.
func SpreadFor(vm string, servers []Server) {
	rank := func(s Server) uint64 { return xxhash.Sum64String(vm + "\x00" + s.ID) }
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID)) })
}
