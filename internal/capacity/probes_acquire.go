package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

// grantorName is the one grantor that the measured holder asks.
const grantorName = "grantor"

// exchange is one real holder that asks one real grantor of 127 servers over loopback. Time is virtual.
type exchange struct {
	daisyhatchv1connect.UnimplementedGrantServiceHandler
	wire   *wire
	client daisyhatchv1connect.GrantServiceClient
	holder *grant.Holder

	mu      sync.Mutex
	grantor *grant.Grantor
	now     time.Time
	round   int
	// announced is when the servers last announced themselves.
	announced time.Time
}

func newExchange() (*exchange, error) {
	g, err := newGrantor(replicas / controlVMs)
	if err != nil {
		return nil, err
	}
	id := grant.Identity{VM: "vm-001", Incarnation: "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b", FailureDomain: "domain-1"}
	e := &exchange{holder: grant.NewHolder(id, nil), grantor: g, now: epoch}
	e.wire, err = newWire(false, func() (string, http.Handler) {
		return daisyhatchv1connect.NewGrantServiceHandler(e, compressLarge)
	})
	if err != nil {
		return nil, err
	}
	e.client = daisyhatchv1connect.NewGrantServiceClient(e.wire.client, e.wire.url())
	return e, nil
}

// Acquire implements GrantService.
func (e *exchange) Acquire(_ context.Context, r *connect.Request[daisyhatchv1.AcquireRequest]) (*connect.Response[daisyhatchv1.AcquireResponse], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out, err := e.grantor.Acquire(r.Msg, e.now)
	if err != nil {
		return nil, connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewResponse(out), nil
}

// askEvery is the interval between two requests to one grantor at the design size.
var askEvery = slots.AskInterval(controlVMs)

// advance moves time by one interval, renews all leases, and lets each server announce another load from time to time.
func (e *exchange) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.round++
	e.now = e.now.Add(askEvery)
	for shard := range uint32(grant.Shards) {
		e.grantor.LeaseRenewed(shard, 1, true, e.now, e.now)
	}
	if e.now.Sub(e.announced) < grant.AnnounceInterval(replicas) {
		return
	}
	e.announced = e.now
	for i := range replicas / controlVMs {
		a := announcement(i)
		a.Load.Running = uint32((i + e.round) % 16)
		a.Load.AgeMs = int64(100 + (i*37+e.round*13)%900)
		e.grantor.Announce(a, e.now)
	}
}

// ask sends one request with demands for all pools, units in sum, and applies the answer. One call ends and one
// starts on each server held.
func (e *exchange) ask(units int) error {
	e.advance()
	demands := make([]grant.Demand, pipelines)
	for p := range demands {
		demands[p] = grant.Demand{Pool: fmt.Sprint("pool-", p), Units: (units + pipelines - 1 - p) / pipelines}
	}
	for _, d := range demands {
		e.work(d.Pool)
	}
	r := e.holder.Ask(grantorName, func(uint32) bool { return true }, demands, e.now)
	out, err := e.client.Acquire(context.Background(), connect.NewRequest(r))
	if err != nil {
		return err
	}
	e.holder.Apply(grantorName, out.Msg, e.now)
	return nil
}

// work ends the calls in flight in a pool and starts one on each server held.
func (e *exchange) work(pool string) {
	var held []*grant.HeldGrant
	e.holder.Each(pool, e.now, func(g *grant.HeldGrant) { held = append(held, g) })
	for _, g := range held {
		for range g.InFlight {
			e.holder.Done(g.Server.GetServer(), g.Server.GetIncarnation(), grant.Outcome{OK: true, FirstToken: 200 * time.Millisecond}, e.now)
		}
		e.holder.Start(g.Server.GetServer(), e.now)
	}
}

// measureAcquireWire returns the bytes of one request for units of 10 pools and its answer, each unit on a server of
// its own.
func measureAcquireWire(units int) (float64, error) {
	e, err := newExchange()
	if err != nil {
		return 0, err
	}
	defer e.wire.close()
	return e.wire.perCall(func() error { return e.ask(units) })
}
