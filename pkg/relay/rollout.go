package relay

import (
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
)

func rolloutServer(c fleet.Candidate) rollout.Server {
	return rollout.Server{ID: c.ID, Version: c.Version, Born: c.Born, Cold: c.Cold}
}

// inRollout returns the servers to which the request may go as far as roll-outs of its service are concerned.
func (x *exchange) inRollout(servers []fleet.Candidate, now time.Time) []fleet.Candidate {
	h := x.relay.opts.Rollouts
	if h == nil {
		return servers
	}
	if x.pass == nil || x.pass.Service() != x.service.Name {
		x.pass.Release()
		x.pass = h.NewPass(x.service.Name, x.rolloutKey())
	}
	var pinned *string
	if x.origin != nil {
		pinned = &x.origin.Version
	}
	return rollout.Select(x.pass, servers, rolloutServer, pinned, now)
}

// rolloutKey returns what requests have in common that are to go to the same version: the last part of the prompt, which
// belongs to the session, or else only the request itself.
func (x *exchange) rolloutKey() string {
	if p := x.call.Prompt; p != nil && len(p.Parts) > 0 {
		return strconv.FormatUint(p.Parts[len(p.Parts)-1].ID, 16)
	}
	return x.call.ID
}

// chooseAnyServer is chooseServer, but a request that no server takes may go to others, as widen does.
func (x *exchange) chooseAnyServer() (fleet.Candidate, bool) {
	c, ok := x.chooseServer()
	for !ok && x.widen() {
		c, ok = x.chooseServer()
	}
	return c, ok
}

// widen lets a request that no server takes go to servers that roll-outs kept it from. It returns false if there are none.
func (x *exchange) widen() bool {
	return x.origin == nil && x.pass.Abandon() || x.pass.EndHold()
}

// endPass records the end of a send in the roll-outs of its service. A caller that left is no failure of the server.
func (x *exchange) endPass(failed, lost bool) {
	if x.pass == nil {
		return
	}
	now, left := time.Now(), x.req.Context().Err() != nil
	if left {
		x.pass.Left(now)
	}
	x.pass.End(x.route.Name, (failed || lost) && !left, now)
}
