package relay

import (
	"context"
	"errors"
	"time"
)

// FinalAnswerTime is how long before a VM cuts off what is still in flight requests without an answer are ended, so that their
// callers are told: longer than it takes to write thousands of answers.
const FinalAnswerTime = 250 * time.Millisecond

// errStopping is the cancellation cause of stages and sends when the VM stops.
var errStopping = errors.New("relay: this VM is stopping")

// Drain makes the relay close callers' connections after each answer, so that they move to another VM. end is when the VM cuts
// off what is still in flight, or zero if that is not known: from now on requests are refused that can't end before.
func (r *Relay) Drain(end time.Time) {
	r.stopEnd.Store(&end)
	r.stopping.Store(true)
}

// RefuseUnsent refuses the requests that were sent to no server yet, those whose stages run among them, and all that come
// later. It is called shortly before the VM ends what is still in flight: a request that can't be served in that time is to
// be told so, instead of losing its connection.
func (r *Relay) RefuseUnsent() { r.endSends(errStopping) }

// EndUnanswered ends all requests of which the caller has got nothing yet: they are refused if they have not run, and fail
// otherwise. It is called FinalAnswerTime before connections are closed.
func (r *Relay) EndUnanswered() {
	r.endSends(errStopping)
	r.endAnswers(errStopping)
}

// sendsEnded reports whether RefuseUnsent was called.
func (r *Relay) sendsEnded() bool { return r.sends.Err() != nil }

// untilSendsEnd returns a context that ends with ctx, or when RefuseUnsent is called. release must be called once.
func (r *Relay) untilSendsEnd(ctx context.Context) (until context.Context, release func()) {
	until, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.sends, func() { cancel(errStopping) })
	return until, func() {
		stop()
		cancel(nil)
	}
}

// refusedByStop reports whether the request is not sent any more because the VM stops; if so, it ends the request. Another VM
// can take it at once.
func (x *exchange) refusedByStop() bool {
	if !x.relay.sendsEnded() && x.endsBeforeStop(time.Now()) {
		return false
	}
	x.giveUp(usually(x.elsewhere(minRetryAfter)), errStopping.Error())
	return true
}

// endsBeforeStop reports whether the request ends before the VM cuts off what is in flight, as far as can be told now.
func (x *exchange) endsBeforeStop(now time.Time) bool {
	end := x.relay.stopEnd.Load()
	if end == nil || end.IsZero() || x.route == nil {
		return true
	}
	return endsIn(end.Add(-FinalAnswerTime).Sub(now), x.deadline.Sub(now), x.relay.usualTime(x.route.Name)-now.Sub(x.start))
}

// endsIn reports whether a request ends within left: at its deadline, or because requests of its route usually do. usual is what is
// left of their usual time, or not positive if that isn't known or is over.
func endsIn(left, deadline, usual time.Duration) bool {
	return left > 0 && (deadline <= left || usual > 0 && usual <= left)
}

// routeTime estimates how long requests of a route usually take.
type routeTime struct{ mean, deviation time.Duration }

const (
	// meanWeight and deviationWeight are the weights of the latest request in the averages, as the inverse.
	meanWeight, deviationWeight = 8, 4
	// usualDeviations is how many deviations above the mean requests usually end.
	usualDeviations = 4
	// maxRouteTimes bounds the routes whose times are kept; beyond it all are forgotten, since routes come and go.
	maxRouteTimes = 4096
)

// add adds the time that one request took.
func (e *routeTime) add(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	off := took - e.mean
	e.mean += off / meanWeight
	e.deviation += (off.Abs() - e.deviation) / deviationWeight
}

// usual returns the time in which requests usually end; 0 before the first.
func (e *routeTime) usual() time.Duration { return e.mean + usualDeviations*e.deviation }

func (r *Relay) usualTime(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.routeTimes[route]
	return e.usual()
}

// meanTime returns how long requests of a route take on average; 0 before the first.
func (r *Relay) meanTime(route string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routeTimes[route].mean
}

func (r *Relay) recordRouteTime(route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.routeTimes[route]
	if !known && len(r.routeTimes) >= maxRouteTimes {
		clear(r.routeTimes)
	}
	e.add(took)
	r.routeTimes[route] = e
}
