package daemon

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/orders"
)

// newReconciler makes the reconciler that keeps backend servers at what operators ordered.
func newReconciler(k *kernel.Kernel, r *replicated, g *grantor) *orders.Reconciler {
	return orders.NewReconciler(orders.Options{
		Servers:    g.held,
		Orders:     r.machine.Orders,
		Engine:     openai.New(openai.Options{Dial: r.network.Dial}),
		Record:     r.recordOrder,
		Invariants: r.invariants,
		Log:        k.Log().WithName("orders"),
	})
}

// held returns the backend servers whose leases this VM holds.
func (g *grantor) held() []orders.Held {
	var out []orders.Held
	for _, h := range g.service.Held() {
		a := h.Announcement
		out = append(out, orders.Held{
			Target: engine.Target{
				Server:        a.GetServer(),
				Incarnation:   a.GetIncarnation(),
				Pool:          a.GetPool(),
				Address:       a.GetAddress(),
				FailureDomain: a.GetFailureDomain(),
				ChecksFence:   a.GetChecksFence(),
				Capabilities:  a.GetCapabilities(),
				Role:          a.GetRole(),
			},
			Lease: orders.Lease{Held: true, Fence: h.Fence, Until: h.Until},
		})
	}
	return out
}

// recordOrder proposes what was read back after an order.
func (r *replicated) recordOrder(ctx context.Context, c *daisyhatchv1.OrderResultCommand) error {
	data, err := proto.Marshal(&daisyhatchv1.Command{
		TimeUnixMs: time.Now().UnixMilli(),
		Proposer:   r.settings.VM.Name,
		Body:       &daisyhatchv1.Command_OrderResult{OrderResult: c},
	})
	if err != nil {
		return fmt.Errorf("daemon: encode order result: %w", err)
	}
	if _, err := r.node.Propose(ctx, data); err != nil {
		return fmt.Errorf("daemon: record order result: %w", err)
	}
	return nil
}
