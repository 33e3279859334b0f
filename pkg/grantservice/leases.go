package grantservice

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/lease"
)

// Timing of leases and of requests for shards.
const (
	// leasePollInterval is the interval at which the applied leases are checked.
	leasePollInterval = 250 * time.Millisecond
	// expectingPollInterval is that interval while this VM has received a shard's state and waits for its lease to be
	// released.
	expectingPollInterval = 20 * time.Millisecond
	// rankStep is the delay, per rank in a shard's order, before a VM tries to acquire a free lease.
	rankStep = 250 * time.Millisecond
	// yieldDelay is how long a VM runs before it requests shards for which it precedes the holder.
	yieldDelay = 10 * time.Second
	// yieldInterval is the interval between such requests, and maxYieldShards the largest number of shards in a round
	// of them.
	yieldInterval  = time.Second
	maxYieldShards = 8
)

// leaseTracker decides which leases to renew, to acquire and to request from other VMs. It does no I/O and reads no
// clock: times are readings of one monotonic clock. It isn't safe for concurrent use.
type leaseTracker struct {
	vm          string
	incarnation string
	observer    *lease.Observer
	start       time.Time
	renewAt     time.Time
	yieldAt     time.Time
	shards      [grant.Shards]shardLease
}

// shardLease is what this VM knows of one shard's lease.
type shardLease struct {
	// lease is the lease as applied on this VM; nil when there is none.
	lease *daisyhatchv1.Lease
	// takeOverRenewal is the renewal number with which another VM's lease may be taken over; 0 while it must not be.
	takeOverRenewal uint64
	// formerHolder is the last other VM that was seen to hold the lease; released is true when that VM released it.
	formerHolder string
	released     bool
	// freeSince is when the lease was first seen to be free or open to a takeover; zero while it is neither.
	freeSince time.Time
}

// newLeaseTracker returns a leaseTracker that knows no leases yet; now is the start of the process.
func newLeaseTracker(vm, incarnation string, now time.Time) *leaseTracker {
	return &leaseTracker{
		vm: vm, incarnation: incarnation, observer: lease.NewObserver(), start: now, yieldAt: now.Add(yieldDelay),
	}
}

// observe records a lease as it was applied on this VM before now.
func (l *leaseTracker) observe(index uint32, applied *daisyhatchv1.Lease, now time.Time) {
	s := &l.shards[index]
	s.lease, s.takeOverRenewal = applied, 0
	if applied.GetHolder() != "" && !l.heldHere(index) {
		s.takeOverRenewal = l.observer.Observe(applied, now)
		s.formerHolder, s.released = applied.GetHolder(), false
	}
	if applied.GetHolder() == "" {
		s.released = true
	}
	if applied.GetHolder() != "" && s.takeOverRenewal == 0 {
		s.freeSince = time.Time{}
	} else if s.freeSince.IsZero() {
		s.freeSince = now
	}
}

// heldHere reports whether this process holds the lease. An earlier incarnation of this VM counts as another process.
func (l *leaseTracker) heldHere(index uint32) bool {
	a := l.shards[index].lease
	return a.GetHolder() == l.vm && a.GetIncarnation() == l.incarnation
}

// dueShards returns the shards whose leases are to be renewed or acquired now. VMs try to acquire a free lease one
// after the other, in the shard's order; a VM that received the shard's state tries first.
func (l *leaseTracker) dueShards(vms []string, imported func(shard uint32, fence uint64) bool, now time.Time) []uint32 {
	renew := !now.Before(l.renewAt)
	if renew {
		l.renewAt = now.Add(grant.RenewInterval)
	}
	var out []uint32
	for index := range uint32(grant.Shards) {
		s := &l.shards[index]
		switch {
		case l.heldHere(index):
			if renew {
				out = append(out, index)
			}
		case s.freeSince.IsZero():
		case imported(index, s.lease.GetFence()):
			out = append(out, index)
		case !now.Before(s.freeSince.Add(time.Duration(rankOf(l.vm, vms, index)) * rankStep)):
			out = append(out, index)
		}
	}
	return out
}

// preferredShards returns the shards for which this VM precedes the holder, keyed by the holder; at most
// maxYieldShards, and nil until the next request is due.
func (l *leaseTracker) preferredShards(vms []string, now time.Time) map[string][]uint32 {
	if now.Before(l.yieldAt) {
		return nil
	}
	l.yieldAt = now.Add(yieldInterval)
	out := make(map[string][]uint32)
	n := 0
	for index := range uint32(grant.Shards) {
		holder := l.shards[index].lease.GetHolder()
		if n < maxYieldShards && holder != "" && holder != l.vm && rankOf(l.vm, vms, index) < rankOf(holder, vms, index) {
			out[holder] = append(out[holder], index)
			n++
		}
	}
	return out
}

// releasedBy returns, by VM, those of the shards that the VM released before this one acquired them, with the fence
// under which that VM held them. Each release is returned once.
func (l *leaseTracker) releasedBy(shards []uint32) map[string][]*daisyhatchv1.ShardFence {
	out := make(map[string][]*daisyhatchv1.ShardFence)
	for _, index := range shards {
		s := &l.shards[index]
		if s.released && s.formerHolder != "" && s.formerHolder != l.vm && l.heldHere(index) {
			out[s.formerHolder] = append(out[s.formerHolder], &daisyhatchv1.ShardFence{Shard: index, Fence: s.lease.GetFence() - 1})
			s.released = false
		}
	}
	return out
}

// command returns the command that acquires, renews or releases a shard's lease.
func (l *leaseTracker) command(index uint32, release bool) *daisyhatchv1.LeaseCommand {
	fence := uint64(0)
	if l.heldHere(index) && !release {
		fence = l.shards[index].lease.GetFence()
	}
	return &daisyhatchv1.LeaseCommand{
		RenewFence:      fence,
		Name:            grant.LeaseName(index),
		Holder:          l.vm,
		Incarnation:     l.incarnation,
		TtlMs:           grant.LeaseTTL.Milliseconds(),
		Release:         release,
		ObservedRenewal: l.shards[index].takeOverRenewal,
	}
}

// rankOf returns the position of a VM in a shard's order, 0 for the first. The order is given by rendezvous hashing.
func rankOf(vm string, vms []string, index uint32) int {
	weight := func(v string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s/%d", v, index)) }
	own, rank := weight(vm), 0
	for _, v := range vms {
		if v != vm && cmp.Or(cmp.Compare(weight(v), own), cmp.Compare(v, vm)) > 0 {
			rank++
		}
	}
	return rank
}
