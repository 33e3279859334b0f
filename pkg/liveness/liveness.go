// Package liveness finds out why a backend server didn't respond: whether its process ended, it is leaving as it
// announced, it is unreachable, or only the connection broke.
package liveness

import (
	"context"
	"errors"
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
	// Reachable servers accept new connections: only the connection of the call broke, as far as is known.
	Reachable State = "reachable"
	// Ended servers refuse connections, or another incarnation has replaced them.
	Ended State = "ended"
	// Leaving servers have announced that they are draining or gone.
	Leaving State = "leaving"
	// Silent servers neither accept nor refuse connections.
	Silent State = "silent"
)

// probeTimeout is the timeout of a connection attempt: a few round trips to a server of another region, or a direct
// attempt that hangs and one through another VM.
const probeTimeout = 250 * time.Millisecond

// View is what is known of servers.
type View interface {
	// Server returns the newest announcement of a server; false when the server is unknown.
	Server(id string) (directory.Server, bool)
	// ServerAt returns the server to which an address belongs; false when none is known.
	ServerAt(address string) (directory.Server, bool)
}

// Checker checks servers that didn't respond. It is safe for concurrent use.
type Checker struct {
	pool  *upstream.Pool
	view  View
	watch watch
}

// New returns a Checker that connects through pool.
func New(pool *upstream.Pool, view View) *Checker {
	return &Checker{pool: pool, view: view}
}

// Target returns the engine target for the server's incarnation.
func Target(v directory.Server) engine.Target {
	return engine.Target{Server: v.ID, Incarnation: v.Incarnation()}
}

// Check returns the state of the incarnation v of a server, and counts a crash against runs, the requests that were on it,
// when the incarnation has ended. A server that may have ended all the same is watched in the background, and its crash is
// counted once announcements show it: a silent one, and one whose address accepts connections, since these may be those of
// the process that replaced it.
func (c *Checker) Check(ctx context.Context, v directory.Server, runs ...*quarantine.Run) State {
	now := time.Now()
	state := c.look(ctx, v)
	switch state {
	case Ended:
		reportCrashes(runs)
	case Silent, Reachable:
		if len(runs) > 0 {
			call := &watchedCall{server: v, runs: runs, seen: observation{endedAt: now}}
			call.seen.probed(state, time.Now())
			c.startWatch(call)
		}
	case Leaving:
	}
	return state
}

// CheckGivenUp is Check for a call that this VM ended before it had an answer, on which GiveUp was called for all runs. The
// server may end under it within settleTime, and is looked at again after that.
func (c *Checker) CheckGivenUp(ctx context.Context, v directory.Server, runs ...*quarantine.Run) State {
	state := c.look(ctx, v)
	if state == Ended {
		reportCrashes(runs)
		settle(runs)
		return state
	}
	c.GaveUp(v, runs...)
	return state
}

// GaveUp is CheckGivenUp without a look at the server now. It doesn't block.
func (c *Checker) GaveUp(v directory.Server, runs ...*quarantine.Run) {
	now := time.Now()
	c.startWatch(&watchedCall{server: v, runs: runs, seen: observation{endedAt: now.Add(settleTime), givenUp: true, givenUpAt: now}})
}

func settle(runs []*quarantine.Run) {
	for _, r := range runs {
		r.Settled()
	}
}

func reportCrashes(runs []*quarantine.Run) {
	for _, r := range runs {
		r.Crashed()
	}
}

// look returns the state of a server according to its announcements, and to a connection attempt if these say nothing.
func (c *Checker) look(ctx context.Context, v directory.Server) State {
	if _, replaced := c.successor(v); replaced {
		return Ended
	}
	if c.isLeaving(v) {
		return Leaving
	}
	return c.probe(ctx, v)
}

func (c *Checker) probe(ctx context.Context, v directory.Server) State {
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

// successor returns what is announced in the place of a server's incarnation: another incarnation, or a later server at its
// address.
func (c *Checker) successor(v directory.Server) (directory.Server, bool) {
	if current, ok := c.view.Server(v.ID); ok && current.Born != v.Born {
		return current, true
	}
	if holder, ok := c.view.ServerAt(v.Address); ok && holder.ID != v.ID && holder.Born > v.Born {
		return holder, true
	}
	return directory.Server{}, false
}

func (c *Checker) isLeaving(v directory.Server) bool {
	current, ok := c.view.Server(v.ID)
	return ok && current.State != directory.Ready
}
