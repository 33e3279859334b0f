package quarantine

import (
	"slices"
	"time"
)

const (
	// survivalsPerEnd is how many runs that left their servers well excuse a request from one end of a server.
	survivalsPerEnd = 2
	// maxSurvivals bounds the runs that are remembered for a request. So many within servedGracePeriod clear it on all VMs.
	maxSurvivals = 4
	// sameEndTime is how long after an excused end further ones are excused with it: the VM looks at servers that end together
	// one after the other.
	sameEndTime = time.Second
	// verdictTime is how long after a run was given up it is known as a rule what became of its server.
	verdictTime = 1500 * time.Millisecond
	// maxSurvivors bounds the requests whose survivals are remembered; beyond it, the one noted first is dropped.
	maxSurvivors = 4096
)

// survivals tells requests that are given up early, on servers that end for other reasons, from those that end their servers.
// A run that was given up proves little by itself: it may not have begun. But a request that ends its servers leaves few of
// them well, and of a sound one only few runs meet a server that ends. A request is excused from an end unless that makes a
// third of its latest runs whose outcome is known.
type survivals struct {
	byRequest map[uint64]survival
	// order holds the keys of byRequest, oldest first.
	order []uint64
	// awaited are the runs that were given up and of which that isn't known yet, by fingerprint and by the run's id.
	awaited map[uint64]map[uint64]awaitedRun
}

// awaitedRun is a run that was given up.
type awaitedRun struct {
	server serverKey
	at     time.Duration
}

type survival struct {
	// count is the number of runs that left their servers well and have excused no end yet, at most maxSurvivals.
	count int
	// last is when the latest of them was noted.
	last time.Duration
	// excusedUntil is until when ends are excused with the one before.
	excusedUntil time.Duration
}

func newSurvivals() survivals {
	return survivals{byRequest: make(map[uint64]survival), awaited: make(map[uint64]map[uint64]awaitedRun)}
}

// await records that a run was given up on a server.
func (s *survivals) await(r runningRequest, server serverKey, now time.Duration) {
	if s.awaited[r.fingerprint] == nil {
		s.awaited[r.fingerprint] = make(map[uint64]awaitedRun)
	}
	s.awaited[r.fingerprint][r.id] = awaitedRun{server, now}
}

// decided records that it is known what became of a run's server, or will never be.
func (s *survivals) decided(r runningRequest) {
	if delete(s.awaited[r.fingerprint], r.id); len(s.awaited[r.fingerprint]) == 0 {
		delete(s.awaited, r.fingerprint)
	}
}

// undecided reports whether it isn't known yet what became of another server on which the request was given up lately. A crash
// of the given server is known sooner than that the others live on.
func (s *survivals) undecided(fingerprint uint64, server serverKey, now time.Duration) bool {
	for _, r := range s.awaited[fingerprint] {
		if r.server != server && now-r.at < verdictTime {
			return true
		}
	}
	return false
}

// note records that a server outlived a run of a request that was given up.
func (s *survivals) note(fingerprint uint64, now time.Duration) {
	v, known := s.byRequest[fingerprint]
	if !known {
		if s.order = append(s.order, fingerprint); len(s.order) > maxSurvivors {
			delete(s.byRequest, s.order[0])
			s.order = slices.Delete(s.order, 0, 1)
		}
	}
	v.count, v.last = min(v.count+1, maxSurvivals), now
	s.byRequest[fingerprint] = v
}

// excuses reports whether the end of a server doesn't count against a request that was on it.
func (s *survivals) excuses(fingerprint uint64, now time.Duration) bool {
	v, known := s.byRequest[fingerprint]
	switch {
	case !known:
		return false
	case now < v.excusedUntil:
		return true
	case v.count < survivalsPerEnd:
		v.count = 0
	default:
		v.count -= survivalsPerEnd
		v.excusedUntil = now + sameEndTime
	}
	s.byRequest[fingerprint] = v
	return now < v.excusedUntil
}

// clears reports whether a request left its servers well so often lately that it is no suspect.
func (s *survivals) clears(fingerprint uint64, now time.Duration) bool {
	v := s.byRequest[fingerprint]
	return v.count >= maxSurvivals && now-v.last < servedGracePeriod
}
