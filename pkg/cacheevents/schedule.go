package cacheevents

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Timing and cost of reads.
const (
	// minInterval is the least time between two reads of one server.
	minInterval = time.Second
	// minPause and maxPause bound the time for which a server is left alone after it failed or could not be followed.
	minPause = 5 * time.Second
	maxPause = 5 * time.Minute
	// maxPauses bounds how often the pause is doubled.
	maxPauses = 8
	// jitter is the share by which times are shortened or lengthened at random.
	jitter = 0.25
	// overhead is what a read costs in bytes besides the answer's body: request, headers and their packets.
	overhead = 700
	// pageEvents is the most events of one read.
	pageEvents = 32
	// pageBlocks is the most blocks that the events of one read may name.
	pageBlocks = 2048
	// gapsAllowed is how many reads in a row may show a gap before the server is left alone.
	gapsAllowed = 3
	// maxFollowed bounds the servers whose events are read.
	maxFollowed = 256
)

// outcome is how a read ended.
type outcome int

const (
	// followed means that the events join those read before.
	followed outcome = iota
	// gapped means that events were lost since the last read.
	gapped
	// failed means that the read brought nothing.
	failed
)

// feed is the state of one server's events.
type feed struct {
	target engine.Target
	// after is the last sequence number read; 0 before the first.
	after uint64
	// next is when the server may be read again.
	next time.Time
	// gaps counts the reads in a row that showed a gap; pauses counts the pauses since the last good read.
	gaps   int
	pauses int
}

// schedule decides which server is read when, so that all reads together stay within a rate of bytes and each server
// takes an equal part of it. It is pure: time comes in as an argument and randomness from rng.
type schedule struct {
	rate float64
	rng  *rand.Rand
	// feeds are sorted by the server's name.
	feeds []*feed
	// free is when the bytes of earlier reads are paid for.
	free time.Time
}

func newSchedule(bytesPerSecond int, rng *rand.Rand) *schedule {
	return &schedule{rate: float64(bytesPerSecond), rng: rng}
}

// retain takes over which servers there are. One that comes with a new incarnation is read from the start.
func (s *schedule) retain(targets []engine.Target, now time.Time) {
	slices.SortFunc(targets, func(a, b engine.Target) int { return cmp.Compare(a.Server, b.Server) })
	targets = slices.CompactFunc(targets, func(a, b engine.Target) bool { return a.Server == b.Server })
	kept := make([]*feed, 0, min(len(targets), maxFollowed))
	old := s.feeds
	for _, t := range targets[:min(len(targets), maxFollowed)] {
		for len(old) > 0 && old[0].target.Server < t.Server {
			old = old[1:]
		}
		if len(old) > 0 && old[0].target.Server == t.Server && old[0].target.Incarnation == t.Incarnation {
			old[0].target = t
			kept = append(kept, old[0])
			continue
		}
		kept = append(kept, &feed{target: t, next: now.Add(s.spread(minInterval))})
	}
	s.feeds = kept
}

// due returns the feed to read now, or nil and the time to wait for the next one.
func (s *schedule) due(now time.Time) (*feed, time.Duration) {
	if len(s.feeds) == 0 {
		return nil, minInterval
	}
	first := slices.MinFunc(s.feeds, func(a, b *feed) int { return a.next.Compare(b.next) })
	at := first.next
	if s.free.After(at) {
		at = s.free
	}
	if wait := at.Sub(now); wait > 0 {
		return nil, min(wait, minInterval)
	}
	return first, 0
}

// done books a read and sets when its server is read next. It returns true when the server's events are given up for a
// while: they come faster than they can be read.
func (s *schedule) done(f *feed, o outcome, bytes int, now time.Time) (givenUp bool) {
	cost := time.Duration(float64(bytes+overhead) / s.rate * float64(time.Second))
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(cost)
	f.next = now.Add(s.spread(max(minInterval, cost*time.Duration(len(s.feeds)))))
	switch o {
	case followed:
		f.gaps, f.pauses = 0, 0
		return false
	case gapped:
		f.gaps++
		if f.gaps < gapsAllowed {
			return false
		}
		f.gaps, f.after = 0, 0
		givenUp = true
	case failed:
	}
	f.next = now.Add(s.spread(min(minPause<<min(f.pauses, maxPauses), maxPause)))
	f.pauses++
	return givenUp
}

// spread shortens or lengthens a time at random.
func (s *schedule) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*s.rng.Float64()-1)))
}
