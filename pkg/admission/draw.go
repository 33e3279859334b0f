package admission

import (
	"context"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// Timing of draws.
const (
	// drawTimeout is the timeout of one draw call.
	drawTimeout = time.Second
	// minDrawGap is the minimum time between two rounds of draws.
	minDrawGap = 10 * time.Millisecond
)

// Start starts drawing from the grantors, if the options name any. It never returns an error.
func (g *Gate) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	if g.opts.Limits != nil && g.opts.Grantors != nil {
		g.done.Add(1)
		go g.run(ctx)
	}
	return nil
}

// Stop stops drawing and waits for the calls in progress. Admitted requests continue. It never returns an error.
func (g *Gate) Stop(context.Context) error {
	if g.cancel != nil {
		g.cancel()
		g.done.Wait()
	}
	return nil
}

// requestDraw triggers a draw before the regular interval is over.
func (g *Gate) requestDraw() {
	select {
	case g.drawNow <- struct{}{}:
	default:
	}
}

func (g *Gate) run(ctx context.Context) {
	defer g.done.Done()
	t := time.NewTicker(drawInterval)
	defer t.Stop()
	for {
		regular := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			regular = true
		case <-g.drawNow:
		}
		g.drawAll(ctx, regular)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minDrawGap):
		}
	}
}

// drawAll starts a draw from each grantor of an organisation with recent requests, unless one is in progress.
func (g *Gate) drawAll(ctx context.Context, regular bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if regular {
		g.controller.Tick(now)
	}
	for _, grantor := range g.grantors() {
		if g.drawing[grantor] {
			continue
		}
		isGrantor := func(organisation string) bool {
			a, ok := g.opts.Grantors(grant.ShardOf(organisation))
			return ok && a == grantor
		}
		r := g.controller.Draw(grantor, isGrantor, regular, now)
		if r == nil {
			continue
		}
		g.drawing[grantor] = true
		g.done.Add(1)
		go g.draw(ctx, grantor, r)
	}
}

// grantors returns the addresses of the grantors of all organisations with recent requests.
func (g *Gate) grantors() []string {
	seen := make(map[string]bool)
	var out []string
	for name := range g.controller.organisations {
		if a, ok := g.opts.Grantors(grant.ShardOf(name)); ok && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

// draw calls one grantor, applies its response and then decides on the waiting requests.
func (g *Gate) draw(ctx context.Context, grantor string, r *daisyhatchv1.DrawRequest) {
	defer g.done.Done()
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	client := daisyhatchv1connect.NewGrantServiceClient(g.opts.HTTP, "http://"+grantor)
	out, err := client.Draw(ctx, connect.NewRequest(r))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drawing[grantor] = false
	now := time.Now()
	if err != nil {
		g.opts.Logger.V(1).Info("drawing limits from the grantor failed", "address", grantor, "error", err.Error())
	} else {
		g.controller.Apply(grantor, out.Msg, now)
	}
	for _, d := range r.Demands {
		g.releaseWaiting(d.Organisation, now)
	}
}
