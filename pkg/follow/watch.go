package follow

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

// watchLoop watches the control VMs, one at a time, and moves on to the next when a watch ends. The first one is
// chosen at random, so that VMs spread over them.
func (c *Client) watchLoop(ctx context.Context) {
	if len(c.clients) == 0 {
		return
	}
	index := c.intN(len(c.clients))
	pause := retryMin
	full := false
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := c.watch(ctx, c.clients[index], full)
		if ctx.Err() != nil {
			return
		}
		c.opts.Logr.V(1).Info("watch ended", "control", c.opts.ControlAddrs[index], "reason", errorText(err))
		full = !full && errors.Is(err, ErrDeltaMismatch)
		if full {
			continue
		}
		if time.Since(startedAt) > 2*silenceTimeout {
			pause = retryMin
		}
		index = (index + 1) % len(c.clients)
		sleep(ctx, pause/2+c.jitter(pause))
		pause = min(2*pause, retryMax)
	}
}

// watch receives events from one control VM until the stream ends or falls silent. With full set it asks for the full
// text of the configuration.
func (c *Client) watch(ctx context.Context, client daisyhatchv1connect.EntryServiceClient, full bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(silenceTimeout, func() { cancel(ErrSilent) })
	defer timer.Stop()
	ctx = withSilenceTimer(ctx, timer)
	req := &daisyhatchv1.WatchRequest{Vm: c.opts.VM, VersionInForce: c.Current().Version}
	if full {
		req.VersionInForce = 0
	}
	stream, err := client.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return causeOr(ctx, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := c.handleEvent(stream.Msg()); err != nil {
			return err
		}
	}
	return causeOr(ctx, stream.Err())
}

// heartbeatLoop sends a heartbeat every heartbeatInterval, to the same control VM until it fails to answer.
func (c *Client) heartbeatLoop(ctx context.Context) {
	if len(c.clients) == 0 {
		return
	}
	index := c.intN(len(c.clients))
	sequence := uint64(0)
	for ctx.Err() == nil {
		sequence++
		if !c.heartbeat(ctx, c.clients[index], sequence) {
			index = (index + 1) % len(c.clients)
		}
		sleep(ctx, heartbeatInterval*9/10+c.jitter(heartbeatInterval/5))
	}
}

// heartbeat sends one heartbeat and reports whether it was answered.
func (c *Client) heartbeat(ctx context.Context, client daisyhatchv1connect.EntryServiceClient, sequence uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := &daisyhatchv1.HeartbeatRequest{
		Vm:              c.opts.VM,
		Incarnation:     c.opts.Incarnation,
		FailureDomain:   c.opts.FailureDomain,
		Entry:           c.opts.Entry,
		Control:         c.opts.Control,
		VersionInForce:  c.Current().Version,
		SoftwareVersion: c.opts.SoftwareVersion,
		Draining:        c.draining.Load(),
		Sequence:        sequence,
	}
	if c.opts.FillHeartbeat != nil {
		c.opts.FillHeartbeat(req)
	}
	r, err := client.Heartbeat(ctx, connect.NewRequest(req))
	if err != nil {
		c.opts.Logr.V(1).Info("heartbeat not answered", "reason", err.Error())
		return false
	}
	c.raiseAccepted(r.Msg.GetAcceptedVersion())
	if c.opts.OnHeartbeatAnswered != nil {
		c.opts.OnHeartbeatAnswered(req)
	}
	return true
}

// intN returns a random number in [0, n).
func (c *Client) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// jitter returns a random duration below d.
func (c *Client) jitter(d time.Duration) time.Duration {
	return time.Duration(c.intN(int(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// causeOr returns the cause of ctx's cancellation, or err if ctx isn't cancelled.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// errorText describes why a watch ended; it ends without an error when the control VM closes it.
func errorText(err error) string {
	if err == nil {
		return "ended by the control VM"
	}
	return err.Error()
}
