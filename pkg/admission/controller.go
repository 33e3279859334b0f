package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Parameters of the controller.
const (
	// outageThreshold is the time without a response from the grantor after which a VM admits by its part of the limits.
	outageThreshold = 2 * time.Second
	// minDrawers is the least number of VMs among which a limit is divided while the organisation has no grantor: a VM that
	// never reached one doesn't know how many there are.
	minDrawers = 8
	// arrivalSmoothing is the weight of the last interval in the moving average of arrivals.
	arrivalSmoothing = 0.5
	// prefetchShare is the fraction of the expected arrivals by which a draw exceeds them.
	prefetchShare = 0.25
)

// Verdict is the admission decision on a request.
type Verdict int

const (
	// Admit means that the request may start; Leave must be called when it ends.
	Admit Verdict = iota
	// Wait means that the request has to wait: a token or unit may become available with the next draw or Leave.
	Wait
	// Refuse means that the organisation's rate is exhausted.
	Refuse
)

// Controller applies one entry VM's part of the organisations' limits. It draws rate tokens and concurrency units from
// the grantor, the control VM that runs the Allotter for the organisation. Organisations without limits or without
// recent requests take no memory. It does no I/O, takes the time as an argument, and is not safe for concurrent use.
type Controller struct {
	vm            string
	incarnation   string
	sequence      uint64
	organisations map[string]*quota
	// pending is the last unanswered draw by grantor address.
	pending map[string]pendingDraw
}

// pendingDraw is a draw request without a response yet.
type pendingDraw struct {
	sequence uint64
	at       time.Time
}

// quota is this VM's part of one organisation's limits, and its recent demand.
type quota struct {
	limits Limits
	// drawers is the number of VMs that drew from the grantor, by its last response.
	drawers       int
	tokens        float64
	units         int
	unitsExpireAt time.Time
	lastActive    time.Time
	waiting       int
	// inFlight counts the admitted requests that have not ended.
	inFlight int
	// arrivals counts the requests since the last regular draw; expected is its moving average.
	arrivals int
	expected float64
	// noTokenUntil is the earliest time at which the grantor expects to have a token.
	noTokenUntil time.Time
	// lastHealthy is when the grantor last responded or no draw was needed; initially when the quota was created.
	lastHealthy time.Time
	// lastServed is when a grantor last responded; zero before the first response.
	lastServed time.Time
	refilledAt time.Time
}

// NewController returns a Controller for one process, identified by its incarnation, of an entry VM.
func NewController(vm, incarnation string) *Controller {
	return &Controller{
		vm: vm, incarnation: incarnation, organisations: make(map[string]*quota), pending: make(map[string]pendingDraw),
	}
}

// Len returns the number of organisations that take memory.
func (c *Controller) Len() int { return len(c.organisations) }

// Arrive records a request of an organisation with limits and decides on it. For Refuse, retry is the delay after which
// the caller may try again.
func (c *Controller) Arrive(organisation string, l Limits, now time.Time) (v Verdict, retry time.Duration) {
	q := c.organisations[organisation]
	if q == nil {
		q = &quota{lastHealthy: now, refilledAt: now}
		c.organisations[organisation] = q
	}
	q.limits, q.lastActive = l, now
	q.arrivals++
	return q.decide(now)
}

// Recheck repeats the decision on a waiting request.
func (c *Controller) Recheck(organisation string, now time.Time) (v Verdict, retry time.Duration) {
	q := c.organisations[organisation]
	if q == nil {
		return Refuse, drawInterval
	}
	return q.decide(now)
}

// decide takes a token and a unit if both are available, and returns the verdict.
func (q *quota) decide(now time.Time) (Verdict, time.Duration) {
	q.applyFallback(now)
	rate, concurrency := q.limits.Rate > 0, q.limits.Concurrency > 0
	if rate && q.tokens < 1 {
		if now.Before(q.noTokenUntil) {
			return Refuse, q.noTokenUntil.Sub(now)
		}
		return Wait, 0
	}
	if concurrency && (q.inFlight >= q.units || !now.Before(q.unitsExpireAt)) {
		return Wait, 0
	}
	if rate {
		q.tokens--
	}
	q.inFlight++
	return Admit, 0
}

// applyFallback grants this VM's part of the limits locally while draws get no response.
func (q *quota) applyFallback(now time.Time) {
	if now.Sub(q.lastHealthy) < outageThreshold {
		q.refilledAt = now
		return
	}
	drawers := max(q.drawers, minDrawers)
	part := q.limits.Rate / float64(drawers)
	q.tokens = min(max(1, part), q.tokens+part*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	q.units = max(1, q.limits.Concurrency/drawers)
	q.unitsExpireAt = now.Add(drawInterval)
}

// Leave records that an admitted request has ended.
func (c *Controller) Leave(organisation string, now time.Time) {
	if q := c.organisations[organisation]; q != nil {
		q.inFlight--
		q.lastActive = now
	}
}

// SetWaiting sets the number of requests that wait for an organisation's limits.
func (c *Controller) SetWaiting(organisation string, n int) {
	if q := c.organisations[organisation]; q != nil {
		q.waiting = n
	}
}

// Draw returns the next request to a grantor, or nil when nothing is needed from it. isGrantor reports whether it grants
// an organisation's limits. regular is true once per drawInterval; in between, only organisations with waiting requests
// draw.
func (c *Controller) Draw(grantor string, isGrantor func(organisation string) bool, regular bool, now time.Time) *daisyhatchv1.DrawRequest {
	r := &daisyhatchv1.DrawRequest{Vm: c.vm, Incarnation: c.incarnation}
	for name, q := range c.organisations {
		if !isGrantor(name) || !regular && q.waiting == 0 {
			continue
		}
		if regular {
			q.expected += arrivalSmoothing * (float64(q.arrivals) - q.expected)
			q.arrivals = 0
		}
		d := q.demand(name, now)
		if q.needsNoDraw(d, now) {
			q.lastHealthy = now
			continue
		}
		r.Demands = append(r.Demands, d)
	}
	if len(r.Demands) == 0 {
		return nil
	}
	slices.SortFunc(r.Demands, func(a, b *daisyhatchv1.QuotaDemand) int { return strings.Compare(a.Organisation, b.Organisation) })
	c.sequence++
	r.Sequence = c.sequence
	c.pending[grantor] = pendingDraw{c.sequence, now}
	return r
}

// needsNoDraw reports whether an organisation needs nothing from its grantor. While the grantor is silent for longer than
// outageThreshold, the organisation keeps drawing until the grantor responds.
func (q *quota) needsNoDraw(d *daisyhatchv1.QuotaDemand, now time.Time) bool {
	idle := q.limits.Concurrency == 0 && q.waiting == 0 && d.Tokens == 0 && d.Returned == 0
	return idle && now.Sub(q.lastHealthy) < outageThreshold
}

// demand returns what to draw for the waiting and expected requests, and gives back surplus tokens.
func (q *quota) demand(name string, now time.Time) *daisyhatchv1.QuotaDemand {
	d := &daisyhatchv1.QuotaDemand{Organisation: name, InFlight: uint32(q.inFlight)}
	if !q.lastServed.IsZero() {
		d.UnservedMs = max(1, now.Sub(q.lastServed).Milliseconds())
	}
	busy := float64(q.waiting)
	if ahead := q.expected * (1 + prefetchShare); ahead >= 1 {
		busy += ahead
	}
	if q.limits.Rate > 0 {
		have := math.Floor(q.tokens)
		d.Tokens = uint32(max(0, math.Ceil(busy-have)))
		if back := have - math.Ceil(busy); back > 0 {
			d.Returned = uint32(back)
			q.tokens -= back
		}
	}
	if q.limits.Concurrency > 0 {
		d.Want = uint32(min(q.inFlight+q.waiting+boolToInt(q.expected >= 0.5), q.limits.Concurrency))
		if now.Before(q.unitsExpireAt) {
			d.Units = uint32(q.units)
		}
	}
	return d
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Apply applies the response of a grantor. A response to any but the latest request to that grantor is ignored.
func (c *Controller) Apply(grantor string, r *daisyhatchv1.DrawResponse, now time.Time) {
	a, ok := c.pending[grantor]
	if !ok || a.sequence != r.Sequence {
		return
	}
	delete(c.pending, grantor)
	for _, m := range r.Quotas {
		q := c.organisations[m.Organisation]
		if q == nil {
			continue
		}
		q.lastHealthy, q.lastServed, q.drawers = now, now, int(r.Drawers)
		q.tokens += float64(m.Tokens)
		q.units = int(m.Units)
		q.unitsExpireAt = a.at.Add(time.Duration(m.TtlMs) * time.Millisecond)
		q.noTokenUntil = time.Time{}
		if m.RetryMs > 0 && !m.Learning {
			q.noTokenUntil = now.Add(time.Duration(m.RetryMs) * time.Millisecond)
		}
	}
}

// Tick removes the organisations that have had no requests for idleTTL.
func (c *Controller) Tick(now time.Time) {
	for name, q := range c.organisations {
		if q.inFlight == 0 && q.waiting == 0 && now.Sub(q.lastActive) > idleTTL {
			delete(c.organisations, name)
		}
	}
}

// cancelAdmission reverts the Admit of a request that has to queue behind others.
func (c *Controller) cancelAdmission(organisation string) {
	q := c.organisations[organisation]
	q.inFlight--
	if q.limits.Rate > 0 {
		q.tokens++
	}
}
