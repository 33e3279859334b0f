package relay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

// logUnanswered logs and counts a send that got no complete answer, with the state of the server. A server crash counts
// against the request.
func (x *exchange) logUnanswered(c fleet.Candidate, res *sendResult) {
	start, reason, serverRun, crashes := res.start, res.reason(), x.serverRun, x.relay.opts.Suspects.Crashes(x.fingerprint)
	report := func() {
		state := x.relay.liveness.Check(x.ctx, c.Server, serverRun)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_unanswered_total{server=%q}`, state)).Inc()
		x.relay.opts.Log.Info("send without an answer", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.fingerprint, 16),
			"service", x.service.Name, "server", c.ID, "incarnation", c.Incarnation(), "server_state", string(state),
			"crashes", crashes, "took_ms", time.Since(start).Milliseconds(), "reason", reason)
	}
	if x.ctx.Err() != nil {
		// The request's context has ended; check the server without delaying the caller's end.
		go report()
		return
	}
	report()
}
