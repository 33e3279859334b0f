package precedence

import (
	"math"
	"time"
)

const (
	// shareMemory is the time over which the weight of a past decision falls to 1/e.
	shareMemory = 10 * time.Second
	// shortShare is the share of the average below which a group of requests gives way last. It is above the quarter that
	// each group is served at least, since a share changes only as decisions are made.
	shortShare = 0.5
	// minAsked is the least weight of past requests from which a group's share is judged.
	minAsked = 5
	// maxGroups bounds the groups that are remembered.
	maxGroups = 4096
)

// Shares remembers which part of the requests of each priority and organisation was admitted lately. It isn't safe for
// concurrent use. The zero value is ready to use.
type Shares struct {
	groups map[group]*tally
	all    tally
}

// group is all requests of a priority, or of an organisation.
type group struct {
	priority     int
	organisation string
}

type tally struct {
	asked, served float64
	at            time.Time
}

func (t *tally) decay(now time.Time) {
	if d := now.Sub(t.at); d > 0 {
		f := math.Exp(-float64(d) / float64(shareMemory))
		t.asked *= f
		t.served *= f
		t.at = now
	}
}

// Asked counts a request that asks for work.
func (s *Shares) Asked(priority int, organisation string, now time.Time) {
	s.add(priority, organisation, 1, 1, now)
}

// Refused takes back a request that was counted by Asked and then turned away.
func (s *Shares) Refused(priority int, organisation string, now time.Time) {
	s.add(priority, organisation, 0, -1, now)
}

// Served takes back that a request was counted by Refused: its caller repeated it, and now it is admitted.
func (s *Shares) Served(priority int, organisation string, now time.Time) {
	s.add(priority, organisation, 0, 1, now)
}

func (s *Shares) add(priority int, organisation string, asked, served float64, now time.Time) {
	if s.groups == nil {
		s.groups = make(map[group]*tally)
	}
	list := []*tally{&s.all, s.tally(group{priority: priority})}
	if organisation != "" {
		list = append(list, s.tally(group{priority: -1, organisation: organisation}))
	}
	for _, t := range list {
		if t.at.IsZero() {
			t.at = now
		}
		t.decay(now)
		t.asked += asked
		t.served = max(0, t.served+served)
	}
}

func (s *Shares) tally(g group) *tally {
	t := s.groups[g]
	if t == nil {
		if len(s.groups) >= maxGroups {
			clear(s.groups)
		}
		t = &tally{}
		s.groups[g] = t
	}
	return t
}

// Short reports whether requests of a priority or organisation are served much less than the average.
func (s *Shares) Short(priority int, organisation string, now time.Time) bool {
	s.all.decay(now)
	if s.all.asked < minAsked {
		return false
	}
	return s.short(group{priority: priority}, now) || organisation != "" && s.short(group{priority: -1, organisation: organisation}, now)
}

func (s *Shares) short(g group, now time.Time) bool {
	t := s.groups[g]
	if t == nil {
		return false
	}
	t.decay(now)
	return t.asked >= minAsked && t.served/t.asked < shortShare*s.all.served/s.all.asked
}
