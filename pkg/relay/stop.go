package relay

import (
	"context"
	"errors"
)

// errStopping is the cancellation cause of stages when the VM stops.
var errStopping = errors.New("relay: this VM is stopping")

// Drain makes the relay close callers' connections after each answer, so that they move to another VM.
func (r *Relay) Drain() { r.stopping.Store(true) }

// RefuseUnsent refuses the requests that were sent to no server yet, those whose stages run among them, and all that come
// later. It is called shortly before the VM ends what is still in flight: a request that can't be served in that time is to
// be told so, instead of losing its connection.
func (r *Relay) RefuseUnsent() { r.endSends(errStopping) }

// sendsEnded reports whether RefuseUnsent was called.
func (r *Relay) sendsEnded() bool { return r.sends.Err() != nil }

// untilSendsEnd returns a context that ends with ctx, or when RefuseUnsent is called. release must be called once.
func (r *Relay) untilSendsEnd(ctx context.Context) (until context.Context, release func()) {
	until, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(r.sends, func() { cancel(errStopping) })
	return until, func() {
		stop()
		cancel(nil)
	}
}

// refusedByStop reports whether requests are not sent any more because the VM stops; if so, it ends the request. Another VM
// can take it at once.
func (x *exchange) refusedByStop() bool {
	if !x.relay.sendsEnded() {
		return false
	}
	x.giveUp(minRetryAfter, errStopping.Error())
	return true
}
