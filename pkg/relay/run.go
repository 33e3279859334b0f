package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/placement"
	"github.com/daisyhatch/daisyhatch/pkg/places"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

// run processes an accepted request: it runs the stages, sends the request, retries where allowed, and answers the
// caller.
func (x *exchange) run() {
	if !x.runStages() {
		return
	}
	x.relay.opts.Repeats.CountRequest(x.service.Name, x.start)
	sends := 0
	for {
		if x.inputs.isReleased() && !x.runStages() {
			return
		}
		if x.refusedAsSuspect() || x.refusedByStop() {
			break
		}
		server, ok := x.chooseAnyServer()
		if !ok && x.awaitServer() {
			server, ok = x.chooseAnyServer()
		}
		if !ok {
			x.giveUpNoServer()
			break
		}
		sends++
		res := x.send(server)
		if x.callerLeft() {
			res.close()
			x.giveUpSend(server, res)
			x.recordEnd(server, false, false)
			break
		}
		s := x.sendState(res, sends)
		switch nextAction(s) {
		case actionDeliver:
			if x.deliver(res, server) {
				x.inputs.release()
				return
			}
			continue
		case actionRetry:
			x.drop(res)
			continue
		case actionRerunStages:
			x.drop(res)
			// At least one input is lost; release the others, which still occupy memory.
			x.inputs.release()
			if !x.runStages() {
				return
			}
			// The server is healthy and only lacked the inputs, so it may be tried again.
			x.tried, x.versions = nil, nil
			continue
		case actionRefuse:
			x.drop(res)
			x.refuseUntil(x.roomAfterSend(res.status), res.reason())
		case actionFail:
			x.drop(res)
			x.failAfterSend(res)
		case actionAbort:
			x.drop(res)
			x.abortAnswer(res.reason())
		}
		break
	}
	x.inputs.release()
}

// callerLeft reports whether the caller has disconnected; if so, it records that as the outcome.
func (x *exchange) callerLeft() bool {
	if x.req.Context().Err() == nil {
		return false
	}
	x.outcome, x.reason, x.abort = "left", "the caller disconnected", true
	return true
}

func (x *exchange) failureStatus() int {
	if errors.Is(context.Cause(x.ctx), errDeadline) {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// failAfterSend answers a request that may have run, in place of the server's answer if there is one.
func (x *exchange) failAfterSend(res *sendResult) {
	status := res.answerStatus()
	if status == 0 {
		x.fail(x.failureStatus(), res.reason())
		return
	}
	x.serverStatus = status
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_promises_withheld_total{status="%d"}`, status)).Inc()
	x.fail(http.StatusBadGateway, fmt.Sprintf("the server answered with status %d without stating that it did not run the request", status))
}

// abortAnswer ends a partly delivered answer by closing the connection, so that it does not look complete.
func (x *exchange) abortAnswer(reason string) {
	x.outcome, x.reason, x.abort = "cut", reason, true
}

func (x *exchange) giveUpNoServer() {
	now := time.Now()
	if !noRoomNow(x.serving(now), now) {
		x.giveUp(x.roomNoServer(), "no server of the service takes work now")
		return
	}
	x.giveUp(x.roomNoServer(), reasonLimits)
	if x.outcome == "refused" {
		limitRefusals.Inc()
	}
}

// roomNoServer returns when there is room for a request that found no server: when the first server accepts requests again, but
// after noServerRetryAfter at the earliest.
func (x *exchange) roomNoServer() returning.Room {
	return roomBack(x.back(), noServerRetryAfter)
}

// roomAfterSend returns when there is room for a request whose last send ended with a status.
func (x *exchange) roomAfterSend(status sendStatus) returning.Room {
	if status != sendNotRun {
		return x.roomNoServer()
	}
	back := x.back()
	return roomBack(back, retryAfterFull(back, x.relay.meanTime(x.route.Name)))
}

// back returns the time until the first server accepts requests again; 0 if one does now, or that isn't known.
func (x *exchange) back() time.Duration {
	wait, _ := x.relay.opts.View.Back(x.service.Name, time.Now())
	return wait
}

// roomBack returns when there is room if all servers said that they are back after a time; 0 if they didn't.
func roomBack(back, least time.Duration) returning.Room {
	if back > 0 {
		return surely(max(back, least))
	}
	return usually(least)
}

// retryAfterFull returns the Retry-After time for a request that servers refused to run. Unless all said that they take no work for
// some time, back, their places become free as requests end, which take mean; 0 if that isn't known.
func retryAfterFull(back, mean time.Duration) time.Duration {
	switch {
	case back > 0:
		return max(back, minRetryAfter)
	case mean > 0:
		return min(max(mean, minRetryAfter), noServerRetryAfter)
	}
	return noServerRetryAfter
}

// admitted reports whether the request may run as far as crashes of servers are concerned; if not, it ends the request.
func (x *exchange) admitted() bool {
	retryAfter, refused := x.relay.opts.Suspects.Admit(x.req.Context(), x.fingerprint, x.parts...)
	return !x.endSuspect(retryAfter, refused) && x.leaseRun()
}

// refusedAsSuspect reports whether the request has become suspected of crashing servers; if so, it ends the request.
func (x *exchange) refusedAsSuspect() bool {
	return x.endSuspect(x.relay.opts.Suspects.Refused(x.fingerprint, x.parts...)) || !x.leaseRun()
}

// leaseRun gets the right to send the request if one copy of it at a time may run. It ends the request and returns false when
// another copy has it.
func (x *exchange) leaseRun() bool {
	if x.relay.opts.Suspects.MayRun(x.fingerprint, x.runLease) {
		return true
	}
	lease, wait, ok := x.relay.opts.Suspects.LeaseRun(x.req.Context(), x.fingerprint)
	if !ok {
		metrics.GetOrCreateCounter("daisyhatch_relay_copies_refused_total").Inc()
		x.giveUp(surely(wait), "servers ended under copies of this request, and another copy runs")
		return false
	}
	x.runLease = lease
	return true
}

func (x *exchange) endSuspect(retryAfter time.Duration, refused bool) bool {
	if refused {
		metrics.GetOrCreateCounter("daisyhatch_relay_suspects_refused_total").Inc()
		x.giveUp(surely(retryAfter), "servers ended one after the other under this request or a part of its prompt")
	}
	return refused
}

// giveUp ends a request that can't be sent again. room is told to the caller only if the request has not run.
func (x *exchange) giveUp(room returning.Room, reason string) {
	switch {
	case x.headSent:
		x.abortAnswer(reason)
	case x.possibleRuns > 0:
		x.fail(x.failureStatus(), reason)
	default:
		x.refuseUntil(room, reason)
	}
}

func (x *exchange) sendState(res *sendResult, sends int) sendState {
	now := time.Now()
	untried, _ := x.untried(now)
	for len(untried) == 0 && x.widen() {
		untried, _ = x.untried(now)
	}
	return sendState{
		status: res.status, answer: res.answerStatus(), route: x.route, runs: x.possibleRuns, sends: sends, delivered: x.headSent,
		crashes: x.relay.opts.Suspects.Crashes(x.fingerprint), remaining: x.deadline.Sub(now), untried: len(untried),
		canRerunStages: x.canRerunStages(), inputsReleased: x.inputs.isReleased(),
		takeRetry: x.takeRetry,
	}
}

// chooseServer picks the server of the next send among the untried ones whose limits leave room; false when there is none.
// Servers in backoff, and servers that neither the control VMs nor this VM heard from lately, are used only when there is
// no other.
func (x *exchange) chooseServer() (fleet.Candidate, bool) {
	now := time.Now()
	r := x.relay
	candidates, usable := x.untried(now)
	if !usable && x.pass.EndHold() {
		candidates, _ = x.untried(now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.rank(x, candidates, now) {
		if c.Cold && !r.cold.Take(c.ID, r.coldShare(x.service, c.ID, now), now) {
			continue
		}
		if r.limiter.Take(c.Server, x.service.Name, x.sendKind(), x.call.ID) {
			return c, true
		}
	}
	return fleet.Candidate{}, false
}

// untried returns the usable servers with room to which the request wasn't sent yet; if there are none, usable is false and these
// are the others.
func (x *exchange) untried(now time.Time) (servers []fleet.Candidate, usable bool) {
	r := x.relay
	servers = slices.DeleteFunc(x.serving(now), func(c fleet.Candidate) bool {
		return slices.Contains(x.tried, c.ID) || !c.Limit.HasRoom(now)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(servers), func(c fleet.Candidate) bool {
		return !r.health.usable(c.ID, now) || c.Quiet && !r.health.recentlyAnswered(c.ID, now)
	})
	if len(list) > 0 {
		return list, true
	}
	return servers, false
}

// sendKind tells the first send of a request from a retry and from the continuation of a stream that broke off.
func (x *exchange) sendKind() string {
	switch {
	case x.headSent:
		return limiter.KindResume
	case len(x.tried) > 0:
		return limiter.KindRetry
	}
	return limiter.KindFirst
}

// preferredServerDomain returns the failure domain of the server that ranks first for the request now; empty without a
// server.
func (x *exchange) preferredServerDomain() string {
	now := time.Now()
	r := x.relay
	candidates := slices.DeleteFunc(x.serving(now), func(c fleet.Candidate) bool { return !c.Limit.HasRoom(now) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if ranked := r.rank(x, candidates, now); len(ranked) > 0 {
		return ranked[0].Domain
	}
	return ""
}

// coldShare returns how many requests this VM may send to a cold server per second: its share of the bound for all VMs.
func (r *Relay) coldShare(s *catalog.Service, server string, now time.Time) int {
	bound := s.ColdRate*r.opts.ColdOverrun + r.opts.ColdExtra
	return allowance.Share(bound, server, fleet.EntryID(r.opts.VM), r.opts.View.Entries(now))
}

// rank orders the candidates from best to worst. r.mu must be held.
func (r *Relay) rank(x *exchange, candidates []fleet.Candidate, now time.Time) []fleet.Candidate {
	if x.service.Engine == nil {
		return r.rankPlain(x, candidates, now)
	}
	engines := make([]placement.Engine, 0, len(candidates))
	for _, c := range candidates {
		told := r.loads.Estimate(c.ID, now)
		slow := r.health.slowness(x.service.Name, c.ID, now)*told.PaceNow(1) + r.health.failureScore(c.ID, now)
		engines = append(engines, placement.Engine{
			ID: c.ID, Domain: c.Domain, Cold: c.Cold, Slowness: slow, Others: told.Others(), Weight: c.Weight,
		})
	}
	q := placement.Request{Prompt: x.call.Prompt, InputMB: x.inputMB, Domain: r.opts.FailureDomain}
	out := make([]fleet.Candidate, 0, len(candidates))
	for _, i := range r.placements.Rank(q, engines, x.service.Engine.CacheTokens, now) {
		out = append(out, candidates[i])
	}
	return out
}

// remoteCost is the ranking penalty of a server in another failure domain, expressed as a number of running requests.
const remoteCost = 0.7

var placesFull = metrics.NewCounter("daisyhatch_relay_places_full_total")

// rankPlain orders the servers of a service without an engine by the number of requests that this VM runs on them,
// their failure domain, recent failures and time to first byte. If the service has fewer places than there are entry VMs, what this
// VM sends says little, and package places decides.
func (r *Relay) rankPlain(x *exchange, candidates []fleet.Candidate, now time.Time) []fleet.Candidate {
	servers := make([]places.Server, 0, len(candidates))
	for _, c := range candidates {
		penalty := max(1, r.health.slowness(x.service.Name, c.ID, now)) * (1 + 2*r.health.failureScore(c.ID, now))
		servers = append(servers, places.Server{ID: c.ID, Slots: c.Slots, Penalty: penalty})
	}
	if places.Scarce(servers, len(r.opts.View.Entries(now))) {
		out := make([]fleet.Candidate, 0, len(candidates))
		for _, i := range r.places.Order(x.service.Name, r.opts.VM, servers, rand.Float64, now) {
			out = append(out, candidates[i])
		}
		return out
	}
	type ranked struct {
		c    fleet.Candidate
		cost float64
	}
	list := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		cost := float64(r.plainInFlight[c.ID]) + rand.Float64()*remoteCost/2
		if c.Domain != r.opts.FailureDomain {
			cost += remoteCost
		}
		cost = (1 + cost) * servers[len(list)].Penalty
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
