package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/placement"
)

// run takes an accepted request to its end.
func (x *exchange) run() {
	x.service = x.set.Services[x.route.Pick(rand.Float64())]
	if !x.runStages() {
		return
	}
	x.relay.opts.Repeats.CountRequest(x.service.Name, x.begin)
	sends := 0
	for {
		if x.inputs.gone() && !x.runStages() {
			return
		}
		if x.suspected() {
			break
		}
		server, ok := x.choose()
		if !ok {
			x.noServer()
			break
		}
		sends++
		res := x.send(server)
		if x.leftByCaller() {
			res.close()
			x.ended(server, false, false)
			break
		}
		s := x.situation(res, sends)
		switch next(s) {
		case stepDeliver:
			if x.deliver(res, server) {
				x.inputs.giveUp()
				return
			}
			continue
		case stepRepeat:
			res.close()
			continue
		case stepRestage:
			res.close()
			// One input is gone; the others still take room.
			x.inputs.giveUp()
			if !x.runStages() {
				return
			}
			// The server whose inputs were gone is as good as before.
			x.tried = nil
			continue
		case stepRefuse:
			res.close()
			x.refuse(http.StatusServiceUnavailable, x.serverRetry(), res.reason())
		case stepFail:
			res.close()
			x.fail(x.failStatus(), res.reason())
		case stepCut:
			res.close()
			x.cut(res.reason())
		}
		break
	}
	x.inputs.giveUp()
}

// leftByCaller reports whether the caller has gone, and notes it.
func (x *exchange) leftByCaller() bool {
	if x.req.Context().Err() == nil {
		return false
	}
	x.outcome, x.reason, x.abort = "left", "the caller has gone", true
	return true
}

func (x *exchange) failStatus() int {
	if errors.Is(context.Cause(x.ctx), errDeadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// cut ends an answer of which a part was delivered.
func (x *exchange) cut(reason string) {
	x.outcome, x.reason, x.abort = "cut", reason, true
}

func (x *exchange) noServer() { x.giveUp(x.serverRetry(), "no server of the service takes work now") }

// serverRetry is when a caller may come back that found no server: not before the first one takes requests again.
func (x *exchange) serverRetry() time.Duration {
	back, _ := x.relay.opts.Knowledge.Back(x.service.Name, time.Now())
	return max(back, noServerRetry)
}

// suspected ends a request under which servers ended one after the other; false when it may go on.
func (x *exchange) suspected() bool {
	left, refused := x.relay.opts.Suspects.Refused(x.print)
	if refused {
		metrics.GetOrCreateCounter("daisyhatch_relay_suspects_refused_total").Inc()
		x.giveUp(left, "servers ended one after the other under this request")
	}
	return refused
}

// giveUp ends a request that can't be sent any more; retryAfter is told to a caller whose request has not run.
func (x *exchange) giveUp(retryAfter time.Duration, reason string) {
	switch {
	case x.started:
		x.cut(reason)
	case x.ran > 0:
		x.fail(x.failStatus(), reason)
	default:
		x.refuse(http.StatusServiceUnavailable, retryAfter, reason)
	}
}

func (x *exchange) situation(res *sendResult, sends int) situation {
	now := time.Now()
	others := 0
	for _, c := range x.relay.opts.Knowledge.Serving(x.service.Name, now) {
		if !slices.Contains(x.tried, c.ID) {
			others++
		}
	}
	return situation{
		ending: res.ending, route: x.route, runs: x.ran, sends: sends, delivered: x.started,
		crashes: x.relay.opts.Suspects.Crashes(x.print), left: x.deadline.Sub(now), others: others, restage: x.mayRunChain(), inputsGone: x.inputs.gone(),
		allowed: func() bool {
			return x.relay.opts.Repeats.TakeRetry(x.service.Name, len(x.relay.opts.Knowledge.Entries(now)), now)
		},
	}
}

// choose picks the server of the next send among those that were not tried. Servers that failed lately, or that nobody
// hears, are used only when there is no other.
func (x *exchange) choose() (fleet.Candidate, bool) {
	now := time.Now()
	r := x.relay
	candidates := slices.DeleteFunc(r.opts.Knowledge.Serving(x.service.Name, now), func(c fleet.Candidate) bool {
		return slices.Contains(x.tried, c.ID)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c fleet.Candidate) bool {
		return !r.health.usable(c.ID, now) || c.Quiet && !r.health.trusted(c.ID, now)
	})
	if len(usable) > 0 {
		candidates = usable
	}
	for _, c := range r.rank(x, candidates, now) {
		if !c.Cold || r.cold.Take(c.ID, r.coldShare(x.service, c.ID, now), now) {
			return c, true
		}
	}
	return fleet.Candidate{}, false
}

// homeDomain returns the failure domain of the server that the request would go to now.
func (x *exchange) homeDomain() string {
	now := time.Now()
	r := x.relay
	candidates := r.opts.Knowledge.Serving(x.service.Name, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ranked := r.rank(x, candidates, now); len(ranked) > 0 {
		return ranked[0].Domain
	}
	return ""
}

// coldShare is how many requests this VM may send to a cold server within a second.
func (r *Relay) coldShare(s *catalog.Service, server string, now time.Time) int {
	bound := s.ColdRate*r.opts.ColdOverrun + r.opts.ColdExtra
	return allowance.Share(bound, server, fleet.EntryID(r.opts.VM), r.opts.Knowledge.Entries(now))
}

// rank orders the candidates from best to worst; r.mu is held.
func (r *Relay) rank(x *exchange, candidates []fleet.Candidate, now time.Time) []fleet.Candidate {
	if x.service.Engine == nil {
		return r.rankPlain(x, candidates, now)
	}
	byID := make(map[string]fleet.Candidate, len(candidates))
	engines := make([]placement.Engine, 0, len(candidates))
	for _, c := range candidates {
		byID[c.ID] = c
		slow := r.health.slowness(x.service.Name, c.ID) + r.health.suspicion(c.ID, now)
		engines = append(engines, placement.Engine{ID: c.ID, Domain: c.Domain, Cold: c.Cold, Slowness: slow})
	}
	q := placement.Request{Prompt: x.call.Prompt, InputMB: x.inputMB, Domain: r.opts.FailureDomain}
	out := make([]fleet.Candidate, 0, len(candidates))
	for _, e := range r.book.Rank(q, engines, x.service.Engine.CacheTokens, now) {
		out = append(out, byID[e.ID])
	}
	return out
}

// remoteCost is what a server of another failure domain costs, in running requests.
const remoteCost = 0.7

// rankPlain orders servers of plain services by this VM's running requests, their failures and their speed.
func (r *Relay) rankPlain(x *exchange, candidates []fleet.Candidate, now time.Time) []fleet.Candidate {
	type ranked struct {
		c    fleet.Candidate
		cost float64
	}
	list := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		cost := float64(r.plain[c.ID]) + rand.Float64()*remoteCost/2
		if c.Domain != r.opts.FailureDomain {
			cost += remoteCost
		}
		cost = (1 + cost) * max(1, r.health.slowness(x.service.Name, c.ID)) * (1 + 2*r.health.suspicion(c.ID, now))
		list = append(list, ranked{c, cost})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	out := make([]fleet.Candidate, 0, len(list))
	for _, e := range list {
		out = append(out, e.c)
	}
	return out
}
