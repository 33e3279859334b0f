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
	// askTimeout bounds one request to a grantor.
	askTimeout = time.Second
	// askWaiting is the interval while calls wait.
	askWaiting = 100 * time.Millisecond
	// kickGap is the least time between two requests outside the regular interval.
	kickGap = 20 * time.Millisecond
	// manyGrantors is the count of grantors above which all intervals grow in proportion, which bounds the requests of
	// one VM.
	manyGrantors = 11
	// longestInterval leaves a grant a third of its lifetime for the answer to a request for its renewal, and is shorter
	// than the silence after which a connection is pinged.
	longestInterval = 950 * time.Millisecond
)

// AskEvery returns the regular interval between two requests to the same one of grantors.
func AskEvery(grantors int) time.Duration { return paced(grant.RenewInterval, grantors) }

// paced stretches an interval when there are many grantors.
func paced(d time.Duration, grantors int) time.Duration {
	return min(d*time.Duration(max(grantors, manyGrantors))/manyGrantors, longestInterval)
}

// Start begins to ask grantors.
func (s *Slots) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go s.run(ctx)
	return nil
}

// Stop releases all grants. Calls that still run keep their slots; new ones are refused. Grants of a grantor that can't
// be reached are left to run out; that is no error.
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
			s.opts.Logger.Info("grants not released; they run out", "grantor", address, "reason", err.Error())
		}
	}
	return nil
}

func (s *Slots) releaseAll(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.mu.Lock()
	r := s.holder.Release(address, s.owner(address), time.Now())
	s.mu.Unlock()
	_, err := s.client(address).Acquire(ctx, connect.NewRequest(r))
	return err
}

// grantors returns the addresses of all grantors known now.
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

func (s *Slots) owner(address string) func(uint32) bool {
	return func(shard uint32) bool {
		a, ok := s.opts.Grantors(shard)
		return ok && a == address
	}
}

func (s *Slots) client(address string) daisyhatchv1connect.GrantServiceClient {
	return daisyhatchv1connect.NewGrantServiceClient(s.opts.HTTP, "http://"+address)
}

// wake asks the grantors before the next regular interval.
func (s *Slots) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run asks the grantors at regular intervals, more often while calls wait or a grantor wishes so, and when a call comes
// that has to wait.
func (s *Slots) run(ctx context.Context) {
	defer s.done.Done()
	decayAt := time.Now().Add(grant.RenewInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.interval()):
		case <-s.kick:
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
		case <-time.After(kickGap):
		}
	}
}

// interval returns the time until the next regular request.
func (s *Slots) interval() time.Duration {
	grantors := len(s.grantors())
	s.mu.Lock()
	defer s.mu.Unlock()
	d := grant.RenewInterval
	if time.Now().Before(s.contendedUntil) {
		d = grant.ContendedRenewInterval
	}
	for _, p := range s.pools {
		if p.queue.Len()+p.alone.Len() > 0 {
			d = min(d, askWaiting)
		}
	}
	return paced(d, grantors)
}

// decay forgets what was not used in so many periods of grant.RenewInterval.
func (s *Slots) decay(periods int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Tick(time.Now())
	for _, p := range s.pools {
		p.peak *= math.Pow(peakDecay, float64(periods))
		p.picker.Retain(func(server string) bool {
			_, held := s.holder.Get(server)
			return held
		})
	}
}

// askAll sends a request to each grantor that has no request under way.
func (s *Slots) askAll(ctx context.Context) {
	grantors := s.grantors()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	demands := make([][]grant.Demand, len(grantors))
	for _, p := range s.pools {
		p.settle(now)
		for i, d := range p.demands(s.holder, grantors, now) {
			demands[i] = append(demands[i], d)
		}
	}
	for i, address := range grantors {
		if s.asking[address] {
			continue
		}
		s.asking[address] = true
		r := s.holder.Ask(address, s.owner(address), demands[i], now)
		s.done.Add(1)
		go s.ask(ctx, address, demands[i], r)
	}
}

func (s *Slots) ask(ctx context.Context, address string, demands []grant.Demand, r *daisyhatchv1.AcquireRequest) {
	defer s.done.Done()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out, err := s.client(address).Acquire(ctx, connect.NewRequest(r))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking[address] = false
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		s.holder.EndSession(address)
		s.wake()
		return
	}
	if err != nil {
		s.opts.Logger.V(1).Info("grantor did not answer", "address", address, "error", err.Error())
		return
	}
	s.apply(address, demands, out.Msg, time.Now())
}

// apply takes over a grantor's answer and serves the calls that wait.
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
			s.pool(d.Pool).told(address, out, now)
		}
	}
	for _, g := range out.Grants {
		held, ok := s.holder.Get(g.Server.Server)
		if ok && held.Load != nil {
			s.pool(held.Server.Pool).picker.Report(g.Server.Server, int(held.Load.Running), int(held.Load.Queued), held.LoadAt)
		}
	}
	for _, p := range s.pools {
		s.serve(p, now)
	}
}

// forgetRestarted drops what is known of the caches and the load of servers that come with a new incarnation.
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
			"no control VM grants this server's work yet").After(grant.BaseAnnounceInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := s.client(address).Announce(ctx, connect.NewRequest(&daisyhatchv1.AnnounceRequest{Announcement: a}))
	if err != nil {
		return apierr.New(http.StatusServiceUnavailable, apierr.NotReady,
			"the announcement could not be passed on").After(grant.BaseAnnounceInterval).Wrap(err)
	}
	return nil
}
