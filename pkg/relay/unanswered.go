package relay

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// logUnanswered logs and counts a send that got no complete answer, with the state of the server. A server crash counts
// against the request.
func (x *exchange) logUnanswered(c fleet.Candidate, res *sendResult) {
	start, reason, serverRun, crashes := res.start, res.reason(), x.serverRun, x.relay.opts.Suspects.Crashes(x.fingerprint)
	parts, begun := formatFingerprints(x.parts), x.begun
	check := x.relay.liveness.Check
	if x.ctx.Err() != nil {
		serverRun.GiveUp()
		check = x.relay.liveness.CheckGivenUp
	}
	report := func() {
		state := check(x.ctx, c.Server, serverRun)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_unanswered_total{server=%q,begun="%t"}`, state, begun)).Inc()
		x.relay.opts.Log.Info("send without an answer", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.fingerprint, 16),
			"service", x.service.Name, "server", c.ID, "incarnation", c.Incarnation(), "server_state", string(state),
			"crashes", crashes, "parts", parts, "begun", begun, "took_ms", time.Since(start).Milliseconds(), "reason", reason)
	}
	if x.ctx.Err() != nil {
		// The request's context has ended; check the server without delaying the caller's end.
		go report()
		return
	}
	report()
}

// giveUpSend ends a send because the caller left, while the server may be running the request. A crash of the server soon after
// counts against the request.
func (x *exchange) giveUpSend(c fleet.Candidate, res *sendResult) {
	if !x.inFlight || res.status != sendOutcomeUnknown && res.status != sendAnswered {
		return
	}
	x.serverRun.GiveUp()
	x.relay.liveness.GaveUp(c.Server, x.serverRun)
	sendsGivenUp.Inc()
	ok, suppressed := x.relay.givenUpLog.Allow(time.Now())
	if !ok {
		return
	}
	x.relay.opts.Log.Info("send given up", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.fingerprint, 16), "service", x.service.Name,
		"server", c.ID, "incarnation", c.Incarnation(), "begun", x.begun, "took_ms", time.Since(res.start).Milliseconds(), "lines_left_out", suppressed)
}

var sendsGivenUp = metrics.NewCounter("daisyhatch_relay_sends_given_up_total")

// logNotSent logs a send for which no connection to the server could be had.
func (x *exchange) logNotSent(c fleet.Candidate, res *sendResult) {
	ok, suppressed := x.relay.notSentLog.Allow(time.Now())
	if !ok {
		return
	}
	x.relay.opts.Log.Info("request not sent", "request", x.call.ID, "service", x.service.Name, "server", c.ID, "incarnation", c.Incarnation(),
		"took_ms", time.Since(res.start).Milliseconds(), "reason", res.reason(), "lines_left_out", suppressed)
}

// maxParts bounds the parts of a prompt that are remembered as possible causes of a crash; further ones are ignored.
const maxParts = 64

// partFingerprints returns the fingerprints of the parts that a prompt sent to a service may share with others.
func partFingerprints(service string, p *dialect.Prompt) []uint64 {
	var out []uint64
	for _, part := range p.SharedParts() {
		if f := suspect.PartFingerprint(service, part.ID); len(out) < maxParts && !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

func formatFingerprints(list []uint64) []string {
	var out []string
	for _, f := range list {
		out = append(out, strconv.FormatUint(f, 16))
	}
	return out
}
