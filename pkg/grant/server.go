package grant

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// server is the grantor's state of one backend server.
type server struct {
	name  string
	shard uint32
	ann   *daisyhatchv1.Announcement
	// static is the announcement without its load and leaving state, nameOnly has only the name, and revision is a hash
	// of static.
	static   *daisyhatchv1.Announcement
	nameOnly *daisyhatchv1.Announcement
	revision uint32
	// numbers are those of the latest announcements, the current one last; see maxNumbersPerServer.
	numbers []uint32
	// heard is when the last announcement arrived.
	heard  time.Time
	warmth warmth
	// domainOut is true while the server's failure domain is out of service.
	domainOut bool
	// leaving is true once the current incarnation has announced that it is shutting down.
	leaving bool
	// coldUntil is the end of the period in which the server counts as cold since a holder saw it fail.
	coldUntil time.Time
	// charges are the units that each holder has or may have; charged is their sum.
	charges []charge
	charged int
	// reported is the sum of the in-flight calls in the holders' last reports.
	reported int
	// formerCalls is the most calls started under a former grantor that may still run. It only decreases, since no new
	// ones start.
	formerCalls int
	// reservedFor is the holder that the server is reserved for, until reservedUntil; nil for none.
	reservedFor   *holder
	reservedUntil time.Time
}

// charge is the number of units that one holder has of a server, with what the grantor knows of that holder.
type charge struct {
	holder   *holder
	units    int
	inFlight int
	// mentioned is true when the holder's last request reported on the server.
	mentioned bool
	exclusive bool
	// completed is the holder's last reported total of successful calls on incarnation.
	incarnation string
	completed   int
	// minUnits is the least number of units that counts as charged until minUnitsUntil, after a hand-over.
	minUnits      int
	minUnitsUntil time.Time
	// revision and number are those of the announcement that the holder has; number is 0 when the holder's last report
	// gave the server's name.
	revision uint32
	number   uint32
	// avoidUntil is the end of the period in which the holder gets no units, after it saw the server fail.
	avoidUntil time.Time
	// warmth is the value that the holder was sent last, first in the answer with the sequence warmthAt; 0 for never.
	warmth   warmth
	warmthAt uint64
	// load is the report that the holder was sent last, first in the answer with the sequence loadAt; 0 for never.
	load   *daisyhatchv1.Load
	loadAt uint64
}

// warmth is a server's warm-up progress: how often it turned cold, and the calls completed since then, counted up to
// twice the pool's WarmAfter.
type warmth struct {
	coldCount   int
	completions int
}

func (w *warmth) turnCold() {
	w.coldCount++
	w.completions = 0
}

// merge adopts the progress that a holder got from a former grantor, if it is newer.
func (w *warmth) merge(m *daisyhatchv1.Warmth) {
	if m == nil {
		return
	}
	count, done := int(m.ColdCount), int(m.Completions)
	if count > w.coldCount || count == w.coldCount && done > w.completions {
		w.coldCount, w.completions = count, done
	}
}

func (w *warmth) message() *daisyhatchv1.Warmth {
	return &daisyhatchv1.Warmth{ColdCount: uint32(w.coldCount), Completions: uint32(w.completions)}
}

// chargeOf returns the charge of h, and adds an empty one when there is none.
func (s *server) chargeOf(h *holder) *charge {
	for i := range s.charges {
		if s.charges[i].holder == h {
			return &s.charges[i]
		}
	}
	s.charges = append(s.charges, charge{holder: h})
	return &s.charges[len(s.charges)-1]
}

// setAnnouncement replaces the announcement and what is derived from it.
func (s *server) setAnnouncement(a *daisyhatchv1.Announcement) {
	s.ann = a
	s.static = &daisyhatchv1.Announcement{
		Server: a.Server, Incarnation: a.Incarnation, Pool: a.Pool, FailureDomain: a.FailureDomain, Address: a.Address,
		ChecksFence: a.ChecksFence, Capabilities: a.Capabilities, Models: a.Models, Adapters: a.Adapters,
		Version: a.Version, Role: a.Role,
	}
	s.nameOnly = &daisyhatchv1.Announcement{Server: a.Server}
	s.revision = revisionOf(s.static)
}

// revisionOf returns a hash of an announcement; it is never 0.
func revisionOf(a *daisyhatchv1.Announcement) uint32 {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
	if err != nil {
		return 1
	}
	return uint32(xxhash.Sum64(text)) | 1
}

// setUnits replaces the units and in-flight calls of c and updates the server's sums.
func (s *server) setUnits(c *charge, units, inFlight int) {
	s.charged += units - c.units
	s.reported += inFlight - c.inFlight
	c.units, c.inFlight = units, inFlight
}

// removeCharge removes the charge of h.
func (s *server) removeCharge(h *holder) {
	for i := range s.charges {
		if s.charges[i].holder != h {
			continue
		}
		s.setUnits(&s.charges[i], 0, 0)
		last := len(s.charges) - 1
		s.charges[i] = s.charges[last]
		s.charges[last] = charge{}
		s.charges = s.charges[:last]
		return
	}
}

// cold reports whether the server is limited to its cold concurrency: it has completed fewer than WarmAfter calls, or a
// holder saw it fail less than crashColdPeriod ago.
func (s *server) cold(p *config.Pool, now time.Time) bool {
	return s.warmth.completions < p.WarmAfter || now.Before(s.coldUntil)
}

// budget returns how many calls the server may run at once: 0 when it must get no work, the cold concurrency until
// WarmAfter calls have completed, and then a linear ramp to the full concurrency over another WarmAfter calls. It never
// exceeds the capacity that the server reports.
func (s *server) budget(p *config.Pool, now time.Time) int {
	if p == nil || s.domainOut || s.ann == nil || s.leaving || now.Sub(s.heard) > AnnounceTTL {
		return 0
	}
	warm := max(p.Concurrency, 1)
	cold := min(max(p.ColdConcurrency, 1), warm)
	b := warm
	l := s.ann.Load
	switch {
	case s.cold(p, now) || l != nil && l.Cold:
		b = cold
	case p.WarmAfter > 0:
		b = cold + (warm-cold)*(s.warmth.completions-p.WarmAfter)/p.WarmAfter
	}
	if l != nil && l.Capacity > 0 {
		b = min(b, int(l.Capacity))
	}
	return b
}

// observe updates the warm-up progress from a holder's report of its calls. The progress that the holder got from a
// former grantor counts only in the quiet period; after that this grantor's own value is newer.
func (s *server) applyUse(p *config.Pool, c *charge, u *daisyhatchv1.GrantUse, quiet bool, now time.Time) {
	if s.ann == nil || u.Incarnation != s.ann.Incarnation {
		return
	}
	slow := p.ColdFirstToken > 0 && time.Duration(u.FirstTokenMs)*time.Millisecond > p.ColdFirstToken
	if slow {
		c.newlyCompleted(u)
		s.warmth.turnCold()
		return
	}
	if quiet {
		s.warmth.merge(u.Warmth)
	}
	if u.Broken {
		s.coldUntil = now.Add(crashColdPeriod)
		return
	}
	s.warmth.completions = min(s.warmth.completions+c.newlyCompleted(u), 2*p.WarmAfter)
}

// completedOf returns the successful calls counted for an incarnation.
func (c *charge) completedOf(incarnation string) int {
	if c.incarnation != incarnation {
		return 0
	}
	return c.completed
}

// newlyCompleted returns how many successful calls the holder reports for the first time. The holder's counts are
// totals, so that a report that arrives twice counts once.
func (c *charge) newlyCompleted(u *daisyhatchv1.GrantUse) int {
	total := int(u.Completed)
	n := total - c.completed
	if c.incarnation != u.Incarnation {
		n = 0
	}
	c.incarnation, c.completed = u.Incarnation, total
	return max(n, 0)
}

// reservation returns the holder that the server is reserved for; nil for none.
func (s *server) reservation(now time.Time) *holder {
	if s.reservedFor == nil || !now.Before(s.reservedUntil) {
		return nil
	}
	return s.reservedFor
}

// state returns the server's state as shown to operators.
func (s *server) state(p *config.Pool, now time.Time) string {
	switch {
	case s.domainOut:
		return "taken_out"
	case s.leaving:
		return "leaving"
	case p == nil || now.Sub(s.heard) > AnnounceTTL:
		return "gone"
	case !s.cold(p, now):
		return "warm"
	case s.warmth.completions > 0:
		return "warming"
	}
	return "cold"
}
