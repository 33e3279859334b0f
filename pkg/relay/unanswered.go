package relay

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
)

// unanswered notes a send to which no whole answer came. A server that ended counts against the request.
func (x *exchange) unanswered(c fleet.Candidate, res *sendResult) {
	begun, reason, flight, before := res.begun, res.reason(), x.flight, x.relay.opts.Suspects.Crashes(x.print)
	look := func() {
		state := x.relay.liveness.Check(x.ctx, c.Server, flight)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_unanswered_total{server=%q}`, state)).Inc()
		x.relay.opts.Log.Info("send without an answer", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.print, 16),
			"service", x.service.Name, "server", c.ID, "incarnation", c.Incarnation(), "server_state", string(state),
			"crashes", before, "took_ms", time.Since(begun).Milliseconds(), "reason", reason)
	}
	if x.ctx.Err() != nil {
		// The caller's time is over.
		go look()
		return
	}
	look()
}
