package ledgerclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

var errNoControl = errors.New("ledgerclient: no control VM is configured")

// callWithRetry calls one control VM after another until a call succeeds, fails with an error that is not retryable, or
// ctx ends. Calls are idempotent, so a call whose outcome is unknown can be repeated.
func (c *Client) callWithRetry(ctx context.Context, call func(context.Context, daisyhatchv1connect.EntryServiceClient) error) error {
	if len(c.services) == 0 {
		return errNoControl
	}
	for {
		c.mu.Lock()
		i := c.current
		c.mu.Unlock()
		err := c.callOnce(ctx, c.services[i], call)
		if err == nil || isPermanent(err) {
			return err
		}
		c.mu.Lock()
		if c.current == i {
			c.current = (i + 1) % len(c.services)
		}
		c.mu.Unlock()
		if !waitRetry(ctx) {
			return err
		}
	}
}

// callOnce makes a single call, limited to callTimeout.
func (c *Client) callOnce(
	ctx context.Context, s daisyhatchv1connect.EntryServiceClient, call func(context.Context, daisyhatchv1connect.EntryServiceClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, s)
}

// isPermanent reports whether err is not retryable, because every control VM would return the same error.
func isPermanent(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return true
	default:
		return false
	}
}

// waitRetry waits for retryDelay, plus or minus up to half of it at random. It returns false if ctx ends first.
func waitRetry(ctx context.Context) bool {
	t := time.NewTimer(retryDelay/2 + rand.N(retryDelay))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
