package orders

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// tick is how often the reconciler looks for work.
const tick = 500 * time.Millisecond

// recordTimeout bounds the proposal of one result.
const recordTimeout = 5 * time.Second

var (
	ordersSent   = metrics.NewCounter("daisyhatch_orders_sent_total")
	ordersFailed = metrics.NewCounter("daisyhatch_order_calls_failed_total")
)

// Held is a backend server whose lease this VM holds.
type Held struct {
	Target engine.Target
	Lease  Lease
}

// Options are the parts that a Reconciler stands on.
type Options struct {
	// Servers returns the servers whose leases this VM holds.
	Servers func() []Held
	// Orders returns the standing orders; it is called at each tick.
	Orders func() []*daisyhatchv1.Order
	Engine engine.Client
	// Record proposes a result to the replicated log.
	Record     func(ctx context.Context, c *daisyhatchv1.OrderResultCommand) error
	Invariants *invariant.Recorder
	Log        logr.Logger
}

// Reconciler runs the orders of all servers whose leases this VM holds.
type Reconciler struct {
	opts    Options
	servers map[string]*Server
	results chan done
	calls   sync.WaitGroup
}

// done is the result of one step.
type done struct {
	server string
	result Result
}

// NewReconciler returns a Reconciler that is not running.
func NewReconciler(o Options) *Reconciler {
	return &Reconciler{opts: o, servers: make(map[string]*Server), results: make(chan done)}
}

// Run reconciles until ctx ends and its calls are over.
func (r *Reconciler) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	defer r.calls.Wait()
	for {
		select {
		case <-t.C:
			r.look(ctx, time.Now())
		case d := <-r.results:
			r.take(ctx, d)
		case <-ctx.Done():
			return
		}
	}
}

// look takes over leases and intents, and starts the steps that are due. Servers without orders are followed too, so that
// the wait of a new lease holder is over when the first order comes.
func (r *Reconciler) look(ctx context.Context, now time.Time) {
	orders := r.opts.Orders()
	held := make(map[string]bool)
	for _, h := range r.opts.Servers() {
		held[h.Target.Server] = true
		s := r.servers[h.Target.Server]
		if s == nil {
			s = NewServer(h.Target, r.opts.Invariants)
			r.servers[h.Target.Server] = s
		}
		s.SetTarget(now, h.Target)
		s.SetLease(now, h.Lease)
		s.SetIntents(now, concerning(orders, h.Target))
		r.next(ctx, now, h.Target.Server)
	}
	for name, s := range r.servers {
		if held[name] {
			continue
		}
		s.SetLease(now, Lease{})
		if s.Idle() {
			delete(r.servers, name)
		}
	}
}

// concerning returns the orders for a server or its whole pool.
func concerning(orders []*daisyhatchv1.Order, t engine.Target) []*daisyhatchv1.Order {
	var out []*daisyhatchv1.Order
	for _, o := range orders {
		if o.GetServer() == t.Server || (o.GetServer() == "" && o.GetPool() == t.Pool) {
			out = append(out, o)
		}
	}
	return out
}

// next starts the server's next step, if one is due.
func (r *Reconciler) next(ctx context.Context, now time.Time, server string) {
	step, ok := r.servers[server].Next(now)
	if !ok {
		return
	}
	if step.Send != nil {
		ordersSent.Inc()
		r.opts.Log.Info("order sent", "server", server, "kind", step.Kind, "value", step.Send.Value, "fence", step.Send.Fence)
	}
	r.calls.Go(func() {
		result := Do(ctx, r.opts.Engine, step)
		select {
		case r.results <- done{server: server, result: result}:
		case <-ctx.Done():
		}
	})
}

// take feeds a result back and records what changed.
func (r *Reconciler) take(ctx context.Context, d done) {
	if d.result.Err != nil {
		ordersFailed.Inc()
		r.opts.Log.V(1).Info("order call failed", "server", d.server, "error", d.result.Err.Error())
	}
	s := r.servers[d.server]
	if s == nil {
		return
	}
	now := time.Now()
	if c, changed := s.Done(now, d.result); changed {
		r.calls.Go(func() { r.record(ctx, c) })
	}
	r.next(ctx, now, d.server)
}

func (r *Reconciler) record(ctx context.Context, c *daisyhatchv1.OrderResultCommand) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := r.opts.Record(ctx, c); err != nil {
		r.opts.Log.Error(err, "order result not recorded", "order", c.GetOrderId(), "server", c.GetServer())
	}
}
