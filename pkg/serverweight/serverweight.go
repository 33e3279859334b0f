// Package serverweight finds out how large a share of the sessions each engine of a service should have.
//
// It answers engines of one service that differ in speed: with equal shares the slow ones hold more and more requests at a
// time, each of them slower than at the others. The requests that an engine holds, waiting or running, are its share times
// the time that each takes. A slow controller lowers the weights of engines that hold more than the mean of their service and
// raises those of engines that hold less, until all hold about the same. A change of a weight moves sessions, whose prompts
// another engine then has to read again; so weights change in steps, seldom, and not at all for deviations that chance explains.
//
// The package does no I/O and reads no clock: callers pass the time.
package serverweight

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// stepsPerDoubling is the number of steps between a weight and its double.
	stepsPerDoubling = 4
	// MaxStep bounds weights: between a quarter and four times the usual one. Whatever an engine reports, it gets no more.
	MaxStep = 2 * stepsPerDoubling
	// smoothingTime is the time over which what an engine holds is averaged, and freshFor how long its reports count.
	smoothingTime = 8 * time.Second
	freshFor      = 10 * time.Second
	// Interval is the time between two changes of the weights of a service.
	Interval = 2 * time.Second
	// MaxChanges bounds the weights that one decision changes, since all entry VMs are told of each.
	MaxChanges = 64
	// deadBand is the ratio to the mean below which the requests that an engine holds change nothing.
	deadBand = 1.3
	// gain is the part of a deviation that one change corrects, and maxChange the largest factor of one change.
	gain      = 0.5
	maxChange = 1.5
	// minHeld is the mean number of requests that engines hold below which they show nothing.
	minHeld = 2.0
	// chance is added to what engines hold, so that small numbers count less.
	chance = 2.0
	// hysteresis is how far, in steps, a weight must be off the step in force to leave it.
	hysteresis = 0.75
	// minReports is the number of reports from which an engine's average counts.
	minReports = 4
	// forgottenAfter is how long a weight stays without reports before it returns to the usual one, step by step.
	forgottenAfter = 30 * time.Second
)

// Factor returns the weight of a step; step 0 is the usual weight 1.
func Factor(step int) float64 {
	return math.Exp2(float64(min(max(step, -MaxStep), MaxStep)) / stepsPerDoubling)
}

// Weight is the weight of one incarnation of a server.
type Weight struct {
	Server string
	Born   int64
	// Step is the weight as the argument of Factor.
	Step int
	// Number grows with each decision, also over changes of the VM that decides.
	Number uint64
}

type engine struct {
	born int64
	// held is the smoothed number of requests that it holds, reports the number of reports in it.
	held    float64
	reports int
	at      time.Time
	// raw is the weight before rounding, as a logarithm in steps; step is the one in force.
	raw  float64
	step int
}

// Controller decides the weights of the engines of one service. It isn't safe for concurrent use.
type Controller struct {
	engines   map[string]*engine
	changedAt time.Time
	// mean is the mean number of requests that engines held at the latest decision.
	mean float64
}

// NewController returns a Controller that goes on from weights that another one decided.
func NewController(inForce []Weight, now time.Time) *Controller {
	c := &Controller{engines: make(map[string]*engine), changedAt: now}
	for _, w := range inForce {
		c.engines[w.Server] = &engine{born: w.Born, raw: float64(w.Step), step: w.Step, at: now}
	}
	return c
}

// Report records how many requests an incarnation of an engine holds, waiting or running.
func (c *Controller) Report(server string, born int64, held int, now time.Time) {
	e := c.engines[server]
	if e == nil || e.born != born {
		e = &engine{born: born}
		c.engines[server] = e
	}
	weight := max(1/float64(e.reports+1), 1-math.Exp(-now.Sub(e.at).Seconds()/smoothingTime.Seconds()))
	e.held += weight * (float64(held) - e.held)
	e.reports++
	e.at = now
}

// Decide returns the weights that change now. serving are the engines that get requests as usual; the others keep their weight.
func (c *Controller) Decide(serving []string, now time.Time) []Weight {
	if now.Sub(c.changedAt) < Interval {
		return nil
	}
	c.changedAt = now
	var known []*engine
	sum := 0.0
	for _, id := range serving {
		if e := c.engines[id]; e != nil && e.reports >= minReports && now.Sub(e.at) < freshFor {
			known = append(known, e)
			sum += e.held
		}
	}
	c.forgetSilent(now)
	c.mean = sum / float64(max(len(known), 1))
	if len(known) > 1 && c.mean >= minHeld {
		correct(known, c.mean)
	}
	return c.round()
}

// Mean returns the mean number of requests that engines held at the latest decision.
func (c *Controller) Mean() float64 { return c.mean }

// Held returns the smoothed number of requests that an engine holds; 0 for an unknown one.
func (c *Controller) Held(server string) float64 {
	if e := c.engines[server]; e != nil {
		return e.held
	}
	return 0
}

// correct changes the weights of engines that hold more or fewer requests than the mean.
func correct(known []*engine, mean float64) {
	centre := 0.0
	for _, e := range known {
		ratio := (e.held + chance) / (mean + chance)
		if ratio > deadBand || ratio < 1/deadBand {
			change := min(max(math.Pow(ratio, -gain), 1/maxChange), maxChange)
			e.raw += stepsPerDoubling * math.Log2(change)
		}
		centre += e.raw
	}
	// Only ratios of weights matter.
	centre /= float64(len(known))
	for _, e := range known {
		e.raw = min(max(e.raw-centre, -MaxStep), MaxStep)
	}
}

// forgetSilent moves the weights of engines without reports towards the usual one.
func (c *Controller) forgetSilent(now time.Time) {
	for _, e := range c.engines {
		if now.Sub(e.at) > forgottenAfter {
			e.raw -= min(max(e.raw, -1), 1)
		}
	}
}

// round puts the weights into force that are far enough from the step in force, those farthest off first, and returns them.
func (c *Controller) round() []Weight {
	off := func(id string) float64 {
		e := c.engines[id]
		return math.Abs(e.raw - float64(e.step))
	}
	var ids []string
	for id := range c.engines {
		if off(id) >= hysteresis {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(off(b), off(a)), cmp.Compare(a, b)) })
	var out []Weight
	for _, id := range ids[:min(len(ids), MaxChanges)] {
		e := c.engines[id]
		e.step = int(math.Round(e.raw))
		out = append(out, Weight{Server: id, Born: e.born, Step: e.step})
	}
	return out
}

// Retain drops engines for which keep returns false.
func (c *Controller) Retain(keep func(server string) bool) {
	maps.DeleteFunc(c.engines, func(id string, _ *engine) bool { return !keep(id) })
}
