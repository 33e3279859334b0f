package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/arrival"
)

const (
	// stopNoticeTimeout limits how long a notice waits for the changes to the control group, and so for how long after it the VM
	// may still be heard.
	stopNoticeTimeout = 700 * time.Millisecond
	// A VM that stops repeats its notice at stopNoticeInterval until a VM that goes on leads, and begins none after stopNoticesLimit
	// (Control.stopLimit): two elections.
	stopNoticeInterval = 50 * time.Millisecond
	stopNoticesLimit   = 2 * time.Second
)

// stopNotice is a control VM's notice of its stop.
type stopNotice struct {
	instance   string
	receivedAt time.Time
}

// PrepareStop gives the other control VMs notice of the stop of this VM and hands leadership over, to one that doesn't stop itself if
// there is such. It returns once a leader that goes on has made the changes to the control group that the stop calls for, once none is
// left to do so, or after about stopNoticesLimit. It doesn't end with ctx, since the group depends on it after a second signal as well.
func (c *Control) PrepareStop(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	c.stops.Store(true)
	told, led := 0, false
	for begun := time.Now(); time.Since(begun) < c.stopLimit; time.Sleep(stopNoticeInterval) {
		told, led = c.giveStopNotice(ctx)
		// If all that know it stop as well, nobody is left to make changes.
		if led || told <= len(c.stoppingVMs()) {
			break
		}
		// The notices came first, so that VMs that stop at the same time don't hand over to each other.
		c.opts.Node.HandOver(ctx, c.stoppingVMs()...)
	}
	c.opts.Log.Info("notice of the stop given", "control_vms", told, "led", led)
}

// giveStopNotice tells the other control VMs that this one stops. It returns how many know it, and whether one of them leads, goes on
// and has made the changes that the stop calls for.
func (c *Control) giveStopNotice(ctx context.Context) (told int, led bool) {
	var leads atomic.Bool
	req := &daisyhatchv1.NoticeStopRequest{Vm: c.opts.VM, Instance: c.opts.Node.Instance()}
	told = c.callPeers(ctx, stopNoticeTimeout, func(ctx context.Context, cl daisyhatchv1connect.FleetServiceClient) error {
		res, err := cl.NoticeStop(ctx, connect.NewRequest(req))
		if err == nil && res.Msg.GetLed() {
			leads.Store(true)
		}
		return err
	})
	return told, leads.Load()
}

// NoticeStop implements FleetService. A notice that was read late counts from its arrival: the VM may have started again since.
func (c *Control) NoticeStop(
	ctx context.Context, req *connect.Request[daisyhatchv1.NoticeStopRequest],
) (*connect.Response[daisyhatchv1.NoticeStopResponse], error) {
	c.mu.Lock()
	c.stopping[req.Msg.GetVm()] = stopNotice{instance: req.Msg.GetInstance(), receivedAt: arrival.Of(ctx).Arrived()}
	c.mu.Unlock()
	// One stop may call for several removals.
	removed, err := c.planMembership(ctx)
	for removed {
		removed, err = c.planMembership(ctx)
	}
	return connect.NewResponse(&daisyhatchv1.NoticeStopResponse{Led: err == nil && !c.stops.Load()}), nil
}

// stoppingVMs returns the VMs that gave notice of their stop within stopNoticeTimeout.
func (c *Control) stoppingVMs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for vm, n := range c.stopping {
		if time.Since(n.receivedAt) < stopNoticeTimeout {
			out = append(out, vm)
		}
	}
	return out
}

// isStopping reports whether a member gave notice of its stop and wasn't heard later. The notice of one that was is dropped.
func (c *Control) isStopping(m Member, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.stopping[m.VM]
	if !ok {
		return false
	}
	if n.instance != m.Instance || m.Silence+stopNoticeTimeout < now.Sub(n.receivedAt) {
		delete(c.stopping, m.VM)
		return false
	}
	return true
}
