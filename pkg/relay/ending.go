package relay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// serverState is what is known of a server that did not answer a request.
type serverState string

const (
	// stateReachable servers take new connections: only the request's connection broke.
	stateReachable serverState = "reachable"
	// stateEnded servers refuse connections, or another incarnation took their place.
	stateEnded serverState = "ended"
	// stateLeaving servers ended as they had announced.
	stateLeaving serverState = "leaving"
	// stateSilent servers neither take connections nor refuse them.
	stateSilent serverState = "silent"
)

// reachTime bounds the look at a server whose answer did not come: some ways to a server of another region and back.
const reachTime = 100 * time.Millisecond

// incarnation names a server's life.
func incarnation(born int64) string { return strconv.FormatInt(born, 10) }

// serverState looks at a server that did not answer.
func (x *exchange) serverState(c fleet.Candidate) serverState {
	r := x.relay
	now, known := r.opts.Knowledge.Server(c.ID)
	switch {
	case known && now.Born != c.Born:
		return stateEnded
	case known && now.State != directory.Ready:
		return stateLeaving
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), reachTime)
	defer cancel()
	switch err := r.opts.Pool.Reach(ctx, c.Address); {
	case err == nil:
		return stateReachable
	case errors.Is(err, upstream.ErrRefused):
		return stateEnded
	default:
		return stateSilent
	}
}

// unanswered logs a send to which no whole answer came, with the state in which its server is.
func (x *exchange) unanswered(c fleet.Candidate, res *sendResult) {
	state := x.serverState(c)
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_unanswered_total{server=%q}`, state)).Inc()
	x.relay.opts.Log.Info("send without an answer", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.print, 16),
		"service", x.service.Name, "server", c.ID, "incarnation", incarnation(c.Born), "server_state", string(state),
		"took_ms", time.Since(res.begun).Milliseconds(), "reason", res.reason())
}
