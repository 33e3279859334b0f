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

// Timing of leases.
const (
	// pollEvery is the interval at which the applied leases are looked at.
	pollEvery = 250 * time.Millisecond
	// pollExpecting is that interval while a state was passed on whose lease is not free yet.
	pollExpecting = 20 * time.Millisecond
	// rankStep is how much later each next VM in a shard's order tries for a free lease.
	rankStep = 250 * time.Millisecond
	// settleTime is how long a VM runs before it asks others for shards that it comes first for.
	settleTime = 10 * time.Second
	// yieldEvery is the interval between such requests, and yieldMost the most shards of one.
	yieldEvery = time.Second
	yieldMost  = 8
)

// leases decides which leases to renew, to try for and to ask for. It is pure: times are readings of one monotonic
// clock. It isn't safe for concurrent use.
type leases struct {
	vm          string
	incarnation string
	observer    *lease.Observer
	start       time.Time
	renewAt     time.Time
	yieldAt     time.Time
	shards      [grant.Shards]shard
}

// shard is what is known of one shard's lease.
type shard struct {
	// lease is the lease as applied here; nil when there is none.
	lease *daisyhatchv1.Lease
	// takeOver is the renewal number with which another VM's lease may be taken over; 0 while it may not.
	takeOver uint64
	// former is the last other VM that was seen to hold the lease; released is true when it gave the lease back.
	former   string
	released bool
	// freeSince is when the lease was first seen to be free; zero while it is not.
	freeSince time.Time
}

func newLeases(vm, incarnation string, now time.Time) *leases {
	return &leases{
		vm: vm, incarnation: incarnation, observer: lease.NewObserver(), start: now, yieldAt: now.Add(settleTime),
	}
}

// observe takes over a lease as it was applied here before now.
func (l *leases) observe(index uint32, applied *daisyhatchv1.Lease, now time.Time) {
	s := &l.shards[index]
	s.lease, s.takeOver = applied, 0
	if applied.GetHolder() != "" && !l.mine(index) {
		s.takeOver = l.observer.Observe(applied, now)
		s.former, s.released = applied.GetHolder(), false
	}
	if applied.GetHolder() == "" {
		s.released = true
	}
	if applied.GetHolder() != "" && s.takeOver == 0 {
		s.freeSince = time.Time{}
	} else if s.freeSince.IsZero() {
		s.freeSince = now
	}
}

// mine reports whether this process holds the lease.
func (l *leases) mine(index uint32) bool {
	a := l.shards[index].lease
	return a.GetHolder() == l.vm && a.GetIncarnation() == l.incarnation
}

// due returns the shards whose leases are to be renewed or tried for now. VMs try for a free lease one after the
// other, in the shard's order; one that the state was passed on to comes first.
func (l *leases) due(vms []string, imported func(shard uint32, fence uint64) bool, now time.Time) []uint32 {
	renew := !now.Before(l.renewAt)
	if renew {
		l.renewAt = now.Add(grant.RenewInterval)
	}
	var out []uint32
	for index := range uint32(grant.Shards) {
		s := &l.shards[index]
		switch {
		case l.mine(index):
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

// wanted returns shards, by the VM that holds them, that this VM comes before that VM for.
func (l *leases) wanted(vms []string, now time.Time) map[string][]uint32 {
	if now.Before(l.yieldAt) {
		return nil
	}
	l.yieldAt = now.Add(yieldEvery)
	out := make(map[string][]uint32)
	n := 0
	for index := range uint32(grant.Shards) {
		holder := l.shards[index].lease.GetHolder()
		if n < yieldMost && holder != "" && holder != l.vm && rankOf(l.vm, vms, index) < rankOf(holder, vms, index) {
			out[holder] = append(out[holder], index)
			n++
		}
	}
	return out
}

// gaveUp returns, by VM, those of the shards that the VM gave back before this one took them, under its fence.
func (l *leases) gaveUp(shards []uint32) map[string][]*daisyhatchv1.ShardFence {
	out := make(map[string][]*daisyhatchv1.ShardFence)
	for _, index := range shards {
		s := &l.shards[index]
		if s.released && s.former != "" && s.former != l.vm && l.mine(index) {
			out[s.former] = append(out[s.former], &daisyhatchv1.ShardFence{Shard: index, Fence: s.lease.GetFence() - 1})
			s.released = false
		}
	}
	return out
}

// command returns the lease command for a shard.
func (l *leases) command(index uint32, release bool) *daisyhatchv1.LeaseCommand {
	return &daisyhatchv1.LeaseCommand{
		Name:            grant.LeaseName(index),
		Holder:          l.vm,
		Incarnation:     l.incarnation,
		TtlMs:           grant.LeaseTTL.Milliseconds(),
		Release:         release,
		ObservedRenewal: l.shards[index].takeOver,
	}
}

// rankOf returns the place of a VM in the order of a shard, 0 for the first, by rendezvous hashing.
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
