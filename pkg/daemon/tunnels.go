package daemon

import (
	"context"
	"net"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/path"
	"github.com/daisyhatch/daisyhatch/pkg/tunnel"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// usePaths makes the process reach backend servers through control VMs where its own path to them is lost.
func (f *fleetShared) usePaths() {
	throughTunnel := func(ctx context.Context, address string) (net.Conn, error) {
		if f.tunnels == nil {
			return nil, tunnel.ErrNoVM
		}
		return f.tunnels.Dial(ctx, address)
	}
	f.paths = path.NewDialer(upstream.DialTCP, throughTunnel, logr.Discard())
	f.pool = upstream.NewCheckedPool(f.paths.Dial, f.paths.Usable)
}

// fleetTunnels connects entry VMs that lost their own paths to backend servers. It stops after the control service, which
// takes less than the stop limit, so that requests on open tunnels have the rest of it.
type fleetTunnels struct {
	*fleetShared
	handler *tunnel.Handler
	log     logr.Logger
}

func (f *fleetTunnels) Name() string                { return serviceFleetTunnels }
func (f *fleetTunnels) Requires() []string          { return []string{servicePeers} }
func (f *fleetTunnels) Validate() error             { return nil }
func (f *fleetTunnels) Start(context.Context) error { return nil }

// Provision implements kernel.Service.
func (f *fleetTunnels) Provision(k *kernel.Kernel) error {
	var p *peers
	if err := k.LookupAll(kernel.Into(servicePeers, &p)); err != nil {
		return err
	}
	f.log = k.Log().WithName("tunnels")
	f.handler = tunnel.NewHandler(tunnel.HandlerOptions{Known: f.state.IsServer, Log: f.log})
	p.handleStream(f.handler.Handler())
	return nil
}

// tunnelStopMargin is how long before the stop limit open tunnels are no longer waited for.
const tunnelStopMargin = 300 * time.Millisecond

// Stop implements kernel.Service.
func (f *fleetTunnels) Stop(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-tunnelStopMargin))
		defer cancel()
	}
	if left := f.handler.Drain(ctx); left > 0 {
		f.log.Info("tunnels cut off at the stop limit", "count", left)
	}
	return nil
}
