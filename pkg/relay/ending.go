package relay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
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

// Bounds of the watch on servers that were silent when an answer did not come.
const (
	// returnTime is how long such a server may take to come back: an incarnation that is announced later is not
	// connected with the request.
	returnTime     = 15 * time.Second
	returnInterval = 500 * time.Millisecond
	maxAwaited     = 256
)

// target names a server's incarnation.
func target(c fleet.Candidate) engine.Target {
	return engine.Target{Server: c.ID, Incarnation: strconv.FormatInt(c.Born, 10)}
}

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

// unanswered notes a send to which no whole answer came. A server that ended counts against the request; one that is only
// silent does when it comes back as another incarnation.
func (x *exchange) unanswered(c fleet.Candidate, res *sendResult) {
	begun, reason, flight := res.begun, res.reason(), x.flight
	look := func() {
		state := x.serverState(c)
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_unanswered_total{server=%q}`, state)).Inc()
		x.relay.opts.Log.Info("send without an answer", "request", x.call.ID, "fingerprint", strconv.FormatUint(x.print, 16),
			"service", x.service.Name, "server", c.ID, "incarnation", target(c).Incarnation, "server_state", string(state),
			"crashes", x.relay.opts.Suspects.Crashes(x.print), "took_ms", time.Since(begun).Milliseconds(), "reason", reason)
		switch state {
		case stateEnded:
			flight.Crashed()
		case stateSilent:
			go x.relay.awaitReturn(c, flight)
		}
	}
	if x.ctx.Err() != nil {
		// The caller's time is over.
		go look()
		return
	}
	look()
}

// awaitReturn watches a silent server until it comes back.
func (r *Relay) awaitReturn(c fleet.Candidate, flight *quarantine.Run) {
	defer r.awaited.Add(-1)
	if r.awaited.Add(1) > maxAwaited {
		return
	}
	for range returnTime / returnInterval {
		time.Sleep(returnInterval)
		now, known := r.opts.Knowledge.Server(c.ID)
		switch {
		case known && now.Born != c.Born:
			flight.Crashed()
			return
		case known && now.State != directory.Ready:
			return
		}
	}
}
