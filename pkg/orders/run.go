package orders

import (
	"context"
	"errors"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Do carries a step out. Orders and reads end after RequestTimeout.
func Do(ctx context.Context, c engine.Client, s Step) Result {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	var state engine.OrderState
	var err error
	if s.Send != nil {
		state, err = c.Order(ctx, s.Target, *s.Send)
	} else {
		state, err = c.ReadOrder(ctx, s.Target, s.Kind)
	}
	r := Result{ID: s.ID, State: state}
	if err == nil {
		return r
	}
	if !errors.As(err, &r.Err) {
		r.Err = &engine.Error{Kind: engine.Failed, Server: s.Target.Server, Sent: true, Err: err}
	}
	return r
}
