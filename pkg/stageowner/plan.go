package stageowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times that decide when a service gets a new owner.
const (
	// LostAfter is the silence after which a member's services are given to others: eight of the control group's heartbeats.
	// A member that no leader has confirmed for this long makes no calls, so that a service never has two active owners.
	LostAfter = 800 * time.Millisecond
	// SettledAfter is how long a member must have been heard before a service moves to it from a live owner, and the
	// minimum time between such a move and the previous change. A change of owner costs about a second of stage calls.
	SettledAfter = 10 * time.Second
)

// Member is a voter of the control group as its leader sees it.
type Member struct {
	Address string
	// Leads is true for the leader itself.
	Leads bool
	// Silence is the time since the leader last heard it; Steady is how long it has been heard without a gap of LostAfter.
	Silence, Steady time.Duration
}

func (m *Member) live() bool { return m.Silence < LostAfter }

// Change proposes the next owner of a service.
type Change struct {
	Service string
	Address string
	// BaseTerm is the service's current term; the change is rejected if the term has advanced since.
	BaseTerm uint64
	// Orderly is true if the previous owner is alive and finishes its jobs.
	Orderly bool
}

// Plan returns the changes to make now. Each service without a live owner is given to the live member with the fewest
// services; leading counts as one service, since the leader replicates the log. If all services have a live owner and
// lastChange, the time since the last change, is at least SettledAfter, one service may move in order from a member with
// a load of two or more to a settled member without any. A member that returns gets no services back until then.
func Plan(services []string, owners []Owner, members []Member, lastChange time.Duration) []Change {
	byService := make(map[string]Owner, len(owners))
	for _, o := range owners {
		byService[o.Service] = o
	}
	load := make(map[string]int, len(members))
	live := make(map[string]Member, len(members))
	for _, m := range members {
		if !m.live() {
			continue
		}
		live[m.Address] = m
		if m.Leads {
			load[m.Address]++
		}
	}
	var unowned []string
	for _, s := range services {
		if _, ok := live[byService[s].Address]; ok {
			load[byService[s].Address]++
		} else {
			unowned = append(unowned, s)
		}
	}
	var out []Change
	for _, s := range unowned {
		to, ok := leastLoaded(s, live, load, 0)
		if !ok {
			return out
		}
		load[to]++
		o := byService[s]
		out = append(out, Change{Service: s, Address: to, BaseTerm: o.Term, Orderly: o.Address == "" && o.Orderly})
	}
	if len(out) > 0 || lastChange < SettledAfter {
		return out
	}
	return balance(services, byService, live, load)
}

// balance moves one service from a member with a load of at least two to a settled member with none, if there is such a pair.
func balance(services []string, owners map[string]Owner, live map[string]Member, load map[string]int) []Change {
	for _, s := range services {
		o := owners[s]
		to, ok := leastLoaded(s, live, load, SettledAfter)
		if ok && load[to] == 0 && load[o.Address] > 1 {
			return []Change{{Service: s, Address: to, BaseTerm: o.Term, Orderly: true}}
		}
	}
	return nil
}

// leastLoaded returns the member with the least load among those with a Steady of at least minSteady, and breaks ties by a
// hash. It returns false if there is none.
func leastLoaded(service string, live map[string]Member, load map[string]int, minSteady time.Duration) (string, bool) {
	var eligible []string
	for a, m := range live {
		if m.Steady >= minSteady {
			eligible = append(eligible, a)
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	rank := func(a string) uint64 { return xxhash.Sum64String(service + "\x00" + a) }
	return slices.MinFunc(eligible, func(a, b string) int {
		return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	}), true
}
