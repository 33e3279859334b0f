// Package liveness finds out why a backend server didn't respond: whether its process ended, it is leaving as it
// announced, it is unreachable, or only the connection broke.
package liveness

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// State is the state of a server that didn't respond.
type State string

// States.
const (
	// Reachable servers accept new connections: only the connection of the call broke.
	Reachable State = "reachable"
	// Ended servers refuse connections, or another incarnation has replaced them.
	Ended State = "ended"
	// Leaving servers have announced that they are draining or gone.
	Leaving State = "leaving"
	// Silent servers neither accept nor refuse connections.
	Silent State = "silent"
)

const (
	// probeTimeout is the timeout of a connection attempt: a few round trips to a server of another region, or a direct
	// attempt that hangs and one through another VM.
	probeTimeout = 250 * time.Millisecond
	// returnWindow is how long a silent server is polled for a new incarnation. One that is announced later is not taken
	// as a sign that the call crashed the server.
	returnWindow = 15 * time.Second
	pollInterval = 500 * time.Millisecond
	// maxPolled is the largest number of silent servers polled at the same time; further ones are not polled.
	maxPolled = 256
)

// Checker checks servers that didn't respond. It is safe for concurrent use.
type Checker struct {
	pool *upstream.Pool
	// lookup returns the newest announcement of a server; false when the server is unknown.
	lookup func(id string) (directory.Server, bool)
	polled atomic.Int32
}

// New returns a Checker that connects through pool. lookup returns the newest announcement of a server, or false when
// the server is unknown.
func New(pool *upstream.Pool, lookup func(id string) (directory.Server, bool)) *Checker {
	return &Checker{pool: pool, lookup: lookup}
}

// Target returns the engine target for the server's incarnation.
func Target(v directory.Server) engine.Target {
	return engine.Target{Server: v.ID, Incarnation: v.Incarnation()}
}

// Check returns the state of the incarnation v of a server, and counts a crash against runs, the requests that were on it,
// when the incarnation has ended. A silent server is polled in the background, and its crash is counted once another
// incarnation has replaced it.
func (c *Checker) Check(ctx context.Context, v directory.Server, runs ...*quarantine.Run) State {
	state := c.probe(ctx, v)
	switch state {
	case Ended:
		reportCrashes(runs)
	case Silent:
		if len(runs) > 0 {
			go c.pollSilent(v, runs)
		}
	}
	return state
}

func reportCrashes(runs []*quarantine.Run) {
	for _, r := range runs {
		r.Crashed()
	}
}

func (c *Checker) probe(ctx context.Context, v directory.Server) State {
	if s := c.announced(v); s != "" {
		return s
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	switch err := c.pool.CheckReachable(ctx, v.Address); {
	case err == nil:
		return Reachable
	case errors.Is(err, upstream.ErrConnRefused):
		return Ended
	default:
		return Silent
	}
}

// announced returns the state according to the server's announcements; empty when they say that it is ready or nothing.
func (c *Checker) announced(v directory.Server) State {
	current, known := c.lookup(v.ID)
	switch {
	case known && current.Born != v.Born:
		return Ended
	case known && current.State != directory.Ready:
		return Leaving
	}
	return ""
}

// pollSilent polls a silent server's announcements until it is replaced or leaves, or returnWindow has passed.
func (c *Checker) pollSilent(v directory.Server, runs []*quarantine.Run) {
	defer c.polled.Add(-1)
	if c.polled.Add(1) > maxPolled {
		return
	}
	for range returnWindow / pollInterval {
		time.Sleep(pollInterval)
		switch c.announced(v) {
		case Ended:
			reportCrashes(runs)
			return
		case Leaving:
			return
		}
	}
}
