package slots

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// Timing of requests to grantors.
const (
	// askTimeout bounds one call to a grantor.
	askTimeout = time.Second
	// askIntervalWaiting is the interval between requests while calls are queued.
	askIntervalWaiting = 100 * time.Millisecond
	// minAskGap is the shortest time between two rounds of requests, also when a queued call triggers one early.
	minAskGap = 20 * time.Millisecond
	// maxUnscaledGrantors is the number of grantors up to which intervals are not lengthened. Beyond it they grow in
	// proportion to the number of grantors, which bounds the request rate of one VM.
	maxUnscaledGrantors = 11
	// maxAskInterval leaves a third of a grant's lifetime for the response to its renewal request. It is also shorter
	// than the idle time after which a connection is pinged.
	maxAskInterval = 950 * time.Millisecond
)

// AskInterval returns the regular interval between two requests to the same grantor, for the given number of grantors.
func AskInterval(grantors int) time.Duration { return scaledInterval(grant.RenewInterval, grantors) }

// scaledInterval lengthens an interval when there are more than maxUnscaledGrantors grantors.
func scaledInterval(d time.Duration, grantors int) time.Duration {
	return min(d*time.Duration(max(grantors, maxUnscaledGrantors))/maxUnscaledGrantors, maxAskInterval)
}

// Start begins to send requests to the grantors in the background. The context is not used; call Stop to end the
// requests.
func (s *Slots) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go s.run(ctx)
	return nil
}

// Stop refuses new calls and releases all grants. Calls in flight keep their slots. Grants whose grantor can't be
// reached expire on their own, which is no error; Stop always returns nil.
func (s *Slots) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	for _, address := range s.grantors() {
		if err := s.releaseAll(ctx, address); err != nil {
			s.opts.Logger.Info("grants not released; they will expire", "grantor", address, "reason", err.Error())
		}
	}
	return nil
}

// releaseAll releases everything that this VM holds of the grantor at address.
func (s *Slots) releaseAll(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.mu.Lock()
	r := s.holder.Release(address, s.ownsShard(address), time.Now())
	s.mu.Unlock()
	_, err := s.client(address).Acquire(ctx, connect.NewRequest(r))
	return err
}

// grantors returns the distinct addresses of all grantors known now.
func (s *Slots) grantors() []string {
	seen := make(map[string]bool)
	var out []string
	for shard := range uint32(grant.Shards) {
		a, ok := s.opts.Grantors(shard)
		if ok && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}

// ownsShard returns a function that reports whether the grantor at address grants a shard.
func (s *Slots) ownsShard(address string) func(uint32) bool {
	return func(shard uint32) bool {
		a, ok := s.opts.Grantors(shard)
		return ok && a == address
	}
}

func (s *Slots) client(address string) daisyhatchv1connect.GrantServiceClient {
	return daisyhatchv1connect.NewGrantServiceClient(s.opts.HTTP, "http://"+address)
}

// wake triggers a round of requests to the grantors before the next regular interval.
func (s *Slots) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// run sends requests to the grantors at the current interval and whenever wake is called.
func (s *Slots) run(ctx context.Context) {
	defer s.done.Done()
	decayAt := time.Now().Add(grant.RenewInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.interval()):
		case <-s.wakeup:
		}
		if now := time.Now(); !now.Before(decayAt) {
			periods := 1 + int(now.Sub(decayAt)/grant.RenewInterval)
			decayAt = now.Add(grant.RenewInterval)
			s.decay(periods)
		}
		s.askAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minAskGap):
		}
	}
}

// interval returns the time until the next regular round of requests: shorter while calls are queued or grants are
// contended.
func (s *Slots) interval() time.Duration {
	grantors := len(s.grantors())
	s.mu.Lock()
	defer s.mu.Unlock()
	d := grant.RenewInterval
	if time.Now().Before(s.contendedUntil) {
		d = grant.ContendedRenewInterval
	}
	for _, p := range s.pools {
		if p.queue.Len()+p.aloneQueue.Len() > 0 {
			d = min(d, askIntervalWaiting)
		}
	}
	return scaledInterval(d, grantors)
}

// decay lowers the peak demand of each pool for the given number of grant.RenewInterval periods and drops the routing state of
// servers that are not held any more.
func (s *Slots) decay(periods int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Tick(time.Now())
	for _, p := range s.pools {
		p.peakDemand *= math.Pow(peakDecay, float64(periods))
		p.picker.Retain(func(server string) bool {
			_, held := s.holder.Get(server)
			return held
		})
	}
}

// askAll sends a request to each grantor that has none pending.
func (s *Slots) askAll(ctx context.Context) {
	grantors := s.grantors()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	demands := make([][]grant.Demand, len(grantors))
	for _, p := range s.pools {
		p.dropIdleDemand(now)
		for i, d := range p.demands(s.holder, grantors, now) {
			demands[i] = append(demands[i], d)
		}
	}
	for i, address := range grantors {
		if s.pending[address] {
			continue
		}
		s.pending[address] = true
		r := s.holder.Ask(address, s.ownsShard(address), demands[i], now)
		s.done.Add(1)
		go s.ask(ctx, address, demands[i], r)
	}
}

// ask sends one request to a grantor and applies its response. A grantor that refuses the session's numbers
// (FailedPrecondition) is asked again in a new session.
func (s *Slots) ask(ctx context.Context, address string, demands []grant.Demand, r *daisyhatchv1.AcquireRequest) {
	defer s.done.Done()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out, err := s.client(address).Acquire(ctx, connect.NewRequest(r))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[address] = false
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		s.holder.EndSession(address)
		s.wake()
		return
	}
	if err != nil {
		s.opts.Logger.V(1).Info("request to grantor failed", "address", address, "error", err.Error())
		return
	}
	s.apply(address, demands, out.Msg, time.Now())
}

// apply processes a grantor's response and gives slots to queued calls.
func (s *Slots) apply(address string, demands []grant.Demand, out *daisyhatchv1.AcquireResponse, now time.Time) {
	s.forgetRestarted(out)
	if !s.holder.Apply(address, out, now) {
		return
	}
	if out.RenewMs > 0 && out.RenewMs < grant.RenewInterval.Milliseconds() {
		s.contendedUntil = now.Add(grant.RenewInterval)
	}
	for _, d := range demands {
		if d.Units > 0 {
			s.pool(d.Pool).recordSupply(address, out, now)
		}
	}
	for _, g := range out.Grants {
		held, ok := s.holder.Get(g.Server.Server)
		if ok && held.Load != nil {
			s.pool(held.Server.Pool).picker.Report(g.Server.Server, int(held.Load.Running), int(held.Load.Queued), held.LoadAt)
		}
	}
	for _, p := range s.pools {
		s.assignSlots(p, now)
	}
}

// forgetRestarted drops the cache index and the load of servers that are granted with a new incarnation.
func (s *Slots) forgetRestarted(out *daisyhatchv1.AcquireResponse) {
	for _, g := range out.Grants {
		held, ok := s.holder.Get(g.Server.GetServer())
		if ok && g.Server.Incarnation != "" && g.Server.Incarnation != held.Server.Incarnation {
			s.pool(held.Server.Pool).picker.Forget(g.Server.Server)
		}
	}
}

// Announce forwards a backend server's announcement to the grantor of its shard. Errors are *apierr.Error.
func (s *Slots) Announce(ctx context.Context, a *daisyhatchv1.Announcement) error {
	address, ok := s.opts.Grantors(grant.ShardOf(a.GetServer()))
	if !ok {
		return apierr.New(http.StatusServiceUnavailable, apierr.NotReady,
			"no control VM grants slots on this server yet").After(grant.BaseAnnounceInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := s.client(address).Announce(ctx, connect.NewRequest(&daisyhatchv1.AnnounceRequest{Announcement: a}))
	if err != nil {
		return apierr.New(http.StatusServiceUnavailable, apierr.NotReady,
			"the announcement could not be forwarded to its control VM").After(grant.BaseAnnounceInterval).Wrap(err)
	}
	return nil
}
