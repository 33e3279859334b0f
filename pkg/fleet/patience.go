package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/arrival"
)

// callerPatience is how long operators and backend servers wait for an answer unless they say otherwise. They go on to another VM then.
const callerPatience = time.Second

// awaited returns ErrUnavailable if the caller of an order has left, or doesn't wait any more by the order's age.
//
// What an order is based on has to be read before the call: a caller that waits has given no later order yet, so that the base is older than any
// later order.
func awaited(ctx context.Context) error {
	r := arrival.Of(ctx)
	if err := r.Evidence().Check(r.Patience(callerPatience)); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx))
	}
	return nil
}
