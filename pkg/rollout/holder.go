package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// unorderedHold is how long servers of a version that just appeared get no requests unless an order names the version:
	// the order may arrive after the servers' announcements.
	unorderedHold = 3 * time.Second
	// settleWindow is how long after a VM learned that a version was rolled back its servers that appear are left out too: they
	// stop within this time, and later ones belong to another release.
	settleWindow = time.Minute
	// noteInterval is how often a VM notes the servers of a service with a roll-out in progress.
	noteInterval = 250 * time.Millisecond
	// maxVersionsSeen bounds the versions of a service whose first appearance is remembered.
	maxVersionsSeen = 64
	// maxAnswerKeys bounds the counters of one order on one VM. Answers beyond it aren't counted. Beyond maxServerKeys they are
	// counted without their server.
	maxAnswerKeys = 2_048
	maxServerKeys = 512
	// bucketsPerDoubling and maxBucket define Bucket.
	bucketsPerDoubling = 4
	maxBucket          = 79
)

// Bucket returns the number of the class of a duration: four classes to each doubling, from one millisecond up.
func Bucket(d time.Duration) uint32 {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return uint32(min(math.Ceil(bucketsPerDoubling*math.Log2(ms)), maxBucket))
}

// Server is what a Holder has to know of a backend server.
type Server struct {
	ID      string
	Version string
	// Born is the start of the server's incarnation in Unix milliseconds by its own clock: it names the incarnation, and is compared
	// with no other clock.
	Born int64
	// Cold is true while the server takes only little load.
	Cold bool
}

// Holder keeps a VM's requests within the roll-outs in force: no request goes to a version on trial without a grant. It is
// safe for concurrent use.
type Holder struct {
	vm, incarnation string

	mu     sync.Mutex
	orders map[string]*order
	// seen is when each version of a service was first seen among its servers.
	seen map[string]map[string]time.Time
	// holdUnordered is true where roll-outs are configured.
	holdUnordered bool
}

// order is what a Holder knows of the latest roll-out of a service.
type order struct {
	*daisyhatchv1.Rollout
	granted, exposed, held, sent, wanted uint64
	validUntil                           time.Time
	fraction                             float64
	focus                                int
	round                                uint64
	sequence                             uint64
	runningElsewhere                     uint64
	answers                              map[answerKey]*counted
	// confirmed is the sequence of the latest report up to which the judge knows all answers.
	confirmed uint64
	// learnedAt is when this VM learned of the order, and endedAt when it learned of the end after an earlier phase, else as
	// recorded.
	learnedAt, endedAt time.Time
	// known are the servers that were there before the end, by Incarnation, and notedAt is when they were noted last.
	known   map[uint64]bool
	notedAt time.Time
	// former is the roll-out before, if its version was taken out and is another one.
	former *order
}

// counted is a counter of answers; changed is the sequence of the first report that tells of its latest change.
type counted struct {
	*daisyhatchv1.RolloutAnswers
	changed uint64
}

type answerKey struct {
	route, server string
	candidate     bool
}

// NewHolder returns a Holder of one process of a VM. holdUnordered makes it hold requests back from versions that appear
// without an order.
func NewHolder(vm, incarnation string, holdUnordered bool) *Holder {
	return &Holder{
		vm: vm, incarnation: incarnation, holdUnordered: holdUnordered, orders: make(map[string]*order),
		seen: make(map[string]map[string]time.Time),
	}
}

// Update takes over roll-outs and returns those that are new or have entered another phase. A roll-out never goes back to an
// earlier phase. It may be called on nil.
func (h *Holder) Update(list []*daisyhatchv1.Rollout, now time.Time) []*daisyhatchv1.Rollout {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var changed []*daisyhatchv1.Rollout
	for _, r := range list {
		o := h.orders[r.GetService()]
		switch {
		case o == nil || o.GetNumber() < r.GetNumber():
			h.orders[r.GetService()] = newOrder(r, o, now)
		case o.GetNumber() == r.GetNumber() && o.GetPhase() < r.GetPhase():
			o.Rollout = r
			if Ended(r.GetPhase()) {
				o.endedAt = now
				o.takeOver(r.GetLeftOut())
			}
		default:
			continue
		}
		changed = append(changed, r)
	}
	return changed
}

// Grant takes over a grant that answers a report sent at the given time. Grants of an earlier order have no effect.
func (h *Holder) Grant(g *daisyhatchv1.RolloutGrant, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.orders[g.GetService()]
	until := sent.Add(time.Duration(g.GetValidMs()) * time.Millisecond)
	if o == nil || o.GetNumber() != g.GetNumber() || until.Before(o.validUntil) {
		return
	}
	o.granted, o.validUntil = max(o.granted, g.GetGranted()), until
	o.fraction, o.focus, o.round = g.GetFraction(), int(g.GetFocus()), g.GetRound()
	o.confirmed = min(g.GetConfirmed(), o.sequence)
}

// Reports returns what this VM has counted for the roll-outs in progress. Answers that the judge has confirmed are left out; one
// that took over confirms none, and gets all of them with the next report.
func (h *Holder) Reports(now time.Time) []*daisyhatchv1.RolloutReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*daisyhatchv1.RolloutReport
	for service, o := range h.orders {
		if Ended(o.GetPhase()) {
			continue
		}
		o.sequence++
		r := &daisyhatchv1.RolloutReport{
			Service: service, Number: o.GetNumber(), Vm: h.vm, Incarnation: h.incarnation, Sequence: o.sequence, Sent: o.sent,
			Exposed: o.exposed, Granted: o.granted, Wanted: o.wanted, RunningElsewhere: o.runningElsewhere, Phase: o.GetPhase(),
			Base: o.confirmed, AgeMs: now.Sub(o.learnedAt).Milliseconds(),
		}
		for _, a := range o.answers {
			if a.changed <= o.confirmed {
				continue
			}
			r.Answers = append(r.Answers, &daisyhatchv1.RolloutAnswers{
				Route: a.GetRoute(), Candidate: a.GetCandidate(), Server: a.GetServer(), Good: a.GetGood(), Failed: a.GetFailed(),
				First: maps.Clone(a.GetFirst()), Whole: maps.Clone(a.GetWhole()),
			})
		}
		out = append(out, r)
	}
	return out
}

// noteVersions records when versions appear. h.mu must be held.
func (h *Holder) noteVersions(service string, servers []Server, now time.Time) map[string]time.Time {
	seen := h.seen[service]
	if seen == nil || len(seen) > maxVersionsSeen {
		seen = make(map[string]time.Time)
		h.seen[service] = seen
	}
	for _, s := range servers {
		if _, ok := seen[s.Version]; !ok {
			seen[s.Version] = now
		}
	}
	return seen
}

// unordered returns the versions that just appeared without an order, while most servers are of earlier ones. h.mu must be held.
func (h *Holder) unordered(service string, servers []Server, now time.Time) []string {
	if !h.holdUnordered {
		return nil
	}
	seen := h.noteVersions(service, servers, now)
	if len(seen) < 2 {
		return nil
	}
	var out []string
	earlier := 0
	for _, s := range servers {
		if now.Sub(seen[s.Version]) >= unorderedHold {
			earlier++
		} else if !slices.Contains(out, s.Version) {
			out = append(out, s.Version)
		}
	}
	if 2*earlier < len(servers) {
		return nil
	}
	return out
}
