package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/origin"
)

// Origins knows which software version began a stream. It is safe for concurrent use.
type Origins interface {
	// Began records that the first event of a caller's attempt comes from a server with this origin.
	Began(attempt string, o origin.Origin)
	// Find returns where the stream goes on whose first event a caller's attempt brought; attempt is empty when the caller
	// doesn't say. Errors are origin.ErrUnconfirmed and origin.ErrUnknown.
	Find(ctx context.Context, attempt, service string) (origin.Origin, error)
}

var (
	streamsUnknown     = metrics.NewCounter(`daisyhatch_relay_streams_not_taken_up_total{reason="unknown"}`)
	streamsUnconfirmed = metrics.NewCounter(`daisyhatch_relay_streams_not_taken_up_total{reason="control VMs silent"}`)
	streamsOrphans     = metrics.NewCounter(`daisyhatch_relay_streams_not_taken_up_total{reason="version gone"}`)
)

// resumable reports whether the request's stream may go on at another server.
func (x *exchange) resumable() bool { return x.route.Kind == catalog.Stream && x.route.Resumable }

// findOrigin finds out where a stream began that the caller takes up again. If it can't go on, it answers the request and
// returns false.
func (x *exchange) findOrigin() bool {
	if x.call.ResumeAfter == "" || !x.resumable() {
		return true
	}
	o, err := x.relay.opts.Origins.Find(x.req.Context(), x.call.Resumes, x.service.Name)
	switch {
	case errors.Is(err, origin.ErrUnconfirmed):
		streamsUnconfirmed.Inc()
		x.refuseUntil(usually(x.elsewhere(minRetryAfter)), err.Error())
		return false
	case err != nil:
		streamsUnknown.Inc()
		x.refuseUntil(usually(origin.MaxTakeUp), err.Error())
		return false
	}
	x.origin = &o
	if o.Service != x.service.Name && slices.ContainsFunc(x.route.Split, func(s catalog.Share) bool { return s.Service == o.Service && s.Weight > 0 }) {
		x.setService(x.catalog.Services[o.Service])
	}
	if o.Service == x.service.Name && len(x.serving(time.Now())) > 0 {
		return true
	}
	streamsOrphans.Inc()
	x.refuseUntil(x.roomNoServer(), "no server of the software version that began the stream takes work now")
	return false
}

// serving returns the servers that may get the request now. Once its stream has begun, these are the servers of the software
// version that began it. During a roll-out, these are the servers of the versions that the request may go to.
func (x *exchange) serving(now time.Time) []fleet.Candidate {
	servers := x.inRollout(x.relay.opts.View.Serving(x.service.Name, now), now)
	if x.origin == nil {
		return servers
	}
	return slices.DeleteFunc(servers, func(c fleet.Candidate) bool { return c.Version != x.origin.Version })
}

// recordOrigin records where the request's stream began, before its first event is passed on.
func (x *exchange) recordOrigin(c fleet.Candidate) {
	if !x.resumable() {
		return
	}
	attempt := x.call.ID
	if x.origin == nil {
		x.origin = &origin.Origin{Service: x.service.Name, Version: c.Version}
	} else {
		attempt = x.call.Resumes
	}
	if attempt != "" {
		x.relay.opts.Origins.Began(attempt, *x.origin)
	}
}
