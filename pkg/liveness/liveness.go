// Package liveness finds out what became of backend servers whose answers did not come: whether they ended, leave as they
// announced, are silent, or only lost a connection.
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

// State is what is known of a server that did not answer.
type State string

// States.
const (
	// Reachable servers take new connections: only the call's connection broke.
	Reachable State = "reachable"
	// Ended servers refuse connections, or another incarnation took their place.
	Ended State = "ended"
	// Leaving servers ended as they had announced.
	Leaving State = "leaving"
	// Silent servers neither take connections nor refuse them.
	Silent State = "silent"
)

const (
	// lookTime bounds the look at a server: some ways to a server of another region and back.
	lookTime = 100 * time.Millisecond
	// returnTime is how long a silent server may take to come back: an incarnation that is announced later is not connected
	// with the call.
	returnTime     = 15 * time.Second
	returnInterval = 500 * time.Millisecond
	// maxAwaited bounds the silent servers that are watched at a time.
	maxAwaited = 256
)

// Checker looks at servers. It is safe for concurrent use.
type Checker struct {
	pool *upstream.Pool
	// server returns what is known of a server; false when nothing is.
	server  func(id string) (directory.Server, bool)
	awaited atomic.Int32
}

// New returns a Checker that makes its connections with pool and asks server for what is known.
func New(pool *upstream.Pool, server func(id string) (directory.Server, bool)) *Checker {
	return &Checker{pool: pool, server: server}
}

// Target names a server's incarnation.
func Target(v directory.Server) engine.Target {
	return engine.Target{Server: v.ID, Incarnation: v.Incarnation()}
}

// Look returns the state of a server, as it was when the call was made, and counts its end against the runs that were on
// it: that of one which was silent once another incarnation has taken its place.
func (c *Checker) Look(ctx context.Context, v directory.Server, runs ...*quarantine.Run) State {
	state := c.look(ctx, v)
	switch state {
	case Ended:
		crashed(runs)
	case Silent:
		if len(runs) > 0 {
			go c.await(v, runs)
		}
	}
	return state
}

func crashed(runs []*quarantine.Run) {
	for _, r := range runs {
		r.Crashed()
	}
}

func (c *Checker) look(ctx context.Context, v directory.Server) State {
	if s := c.announced(v); s != "" {
		return s
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTime)
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

// announced returns what the server's announcements say; empty when they say that it serves.
func (c *Checker) announced(v directory.Server) State {
	now, known := c.server(v.ID)
	switch {
	case known && now.Born != v.Born:
		return Ended
	case known && now.State != directory.Ready:
		return Leaving
	}
	return ""
}

// await watches a silent server until it comes back.
func (c *Checker) await(v directory.Server, runs []*quarantine.Run) {
	defer c.awaited.Add(-1)
	if c.awaited.Add(1) > maxAwaited {
		return
	}
	for range returnTime / returnInterval {
		time.Sleep(returnInterval)
		switch c.announced(v) {
		case Ended:
			crashed(runs)
			return
		case Leaving:
			return
		}
	}
}
