package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

// stopNoticeTimeout limits how long a VM that stops waits for the changes to the control group, and so for how long after
// its notice it may still be heard.
const stopNoticeTimeout = 700 * time.Millisecond

// stopNotice is a control VM's notice of its stop.
type stopNotice struct {
	instance   string
	receivedAt time.Time
}

// PrepareStop hands leadership over and gives the other control VMs notice of the stop of this VM. It returns once their
// leader has made the changes to the control group that the stop calls for, or after stopNoticeTimeout. It doesn't end with ctx,
// since the group depends on it after a second signal as well.
func (c *Control) PrepareStop(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	c.opts.Node.HandOver(ctx, c.stoppingVMs()...)
	req := &daisyhatchv1.NoticeStopRequest{Vm: c.opts.VM, Instance: c.opts.Node.Instance()}
	told := c.callPeers(ctx, stopNoticeTimeout, func(ctx context.Context, cl daisyhatchv1connect.FleetServiceClient) error {
		_, err := cl.NoticeStop(ctx, connect.NewRequest(req))
		return err
	})
	c.opts.Log.Info("notice of the stop given", "control_vms", told)
}

// NoticeStop implements FleetService.
func (c *Control) NoticeStop(
	ctx context.Context, req *connect.Request[daisyhatchv1.NoticeStopRequest],
) (*connect.Response[daisyhatchv1.NoticeStopResponse], error) {
	c.mu.Lock()
	c.stopping[req.Msg.GetVm()] = stopNotice{instance: req.Msg.GetInstance(), receivedAt: time.Now()}
	c.mu.Unlock()
	for c.planMembership(ctx) {
		// One stop may call for several removals.
	}
	return connect.NewResponse(&daisyhatchv1.NoticeStopResponse{}), nil
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
