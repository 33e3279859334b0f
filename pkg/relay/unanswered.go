package relay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

// logUnanswered logs and counts a send that got no complete answer, with the state of the server. A server crash counts
// against the request.
func (x *exchange) logUnanswered(c fleet.Candidate, res *sendResult) {
	start, reason, serverRun, crashes := res.start, res.reason(), x.serverRun, x.relay.opts.Suspects.Crashes(x.fingerprint)
	parts, begun := formatParts(x.call.Prompt), x.begun
	report := func() {
		state := x.relay.liveness.Check(x.ctx, c.Server, serverRun)
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

// formatParts returns the ids of the parts that a prompt may share with others, as logged.
func formatParts(p *dialect.Prompt) []string {
	var out []string
	for _, part := range p.SharedParts() {
		out = append(out, strconv.FormatUint(part.ID, 16))
	}
	return out
}
