package fleet

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/origin"
)

const (
	// originReportPause is the pause after a report of the streams that began. A VM that loses power takes the origins of
	// this time with it.
	originReportPause = 20 * time.Millisecond
	// originCheckInterval is how often a VM looks for streams that are to be reported because another version has come into
	// service, or another control VM is followed.
	originCheckInterval = 250 * time.Millisecond
	// originReportTimeout bounds one report.
	originReportTimeout = 500 * time.Millisecond
	// maxOriginsReported bounds the streams in one report; the rest goes with the next.
	maxOriginsReported = 4_096
	// maxOriginsKept bounds the streams that wait for a report; beyond it the oldest are never reported.
	maxOriginsKept = 65_536
	// findOriginTimeout bounds the question where a stream began.
	findOriginTimeout = 300 * time.Millisecond
)

var originsReported = metrics.NewCounter("daisyhatch_stream_origins_reported_total")

// beganStream is a stream that began at this VM.
type beganStream struct {
	stream uint64
	origin origin.Origin
	at     time.Time
}

// originLog holds the origins of streams that a VM knows.
type originLog struct {
	mu    sync.Mutex
	table *origin.Table
	// began are the streams that began at this VM within origin.MaxTakeUp, oldest first; dropped is the number of earlier
	// ones.
	began   []beganStream
	dropped uint64
	// news is signalled when a stream began at this VM.
	news chan struct{}
}

func newOriginLog() *originLog {
	return &originLog{table: origin.NewTable(), news: make(chan struct{}, 1)}
}

// record remembers the origin of a stream; own is true if it began at this VM.
func (l *originLog) record(stream uint64, o origin.Origin, own bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(stream, o, now)
	if !own {
		return
	}
	l.began = append(l.began, beganStream{stream, o, now})
	expired := 0
	for expired < len(l.began) && (now.Sub(l.began[expired].at) > origin.MaxTakeUp || len(l.began)-expired > maxOriginsKept) {
		expired++
	}
	l.began = l.began[expired:]
	l.dropped += uint64(expired)
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// since returns the streams that began at this VM after the first count, at most maxOriginsReported, and the count to pass
// next time.
func (l *originLog) since(count uint64) ([]beganStream, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := max(count, l.dropped)
	list := l.began[min(from-l.dropped, uint64(len(l.began))):]
	list = list[:min(len(list), maxOriginsReported)]
	return append([]beganStream(nil), list...), from + uint64(len(list))
}

func (l *originLog) find(stream uint64, now time.Time) (origin.Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Find(stream, now)
}

// versions returns the software versions of a service that were in service within origin.MaxTakeUp.
func (s *State) versions(service string, now time.Time) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.dir.Versions(service, now.Add(-origin.MaxTakeUp))
}

// answerOrigin returns what this VM knows of a stream. followed is true if it knows of all servers now.
func (s *State) answerOrigin(stream uint64, service string, followed bool, now time.Time) origin.Answer {
	o, known := s.origins.find(stream, now)
	return origin.Answer{
		Origin: o, Known: known, Versions: s.versions(service, now),
		Complete: followed && now.Sub(s.startedAt) >= origin.MaxTakeUp,
	}
}

// ReportOrigins implements FleetService.
func (c *Control) ReportOrigins(
	_ context.Context, req *connect.Request[daisyhatchv1.ReportOriginsRequest],
) (*connect.Response[daisyhatchv1.ReportOriginsResponse], error) {
	now := time.Now()
	for _, g := range req.Msg.GetOrigins() {
		o := origin.Origin{Service: g.GetService(), Version: g.GetVersion()}
		for _, stream := range g.GetStreams() {
			c.opts.State.origins.record(stream, o, false, now)
		}
	}
	return connect.NewResponse(&daisyhatchv1.ReportOriginsResponse{}), nil
}

// FindOrigin implements FleetService.
func (c *Control) FindOrigin(
	_ context.Context, req *connect.Request[daisyhatchv1.FindOriginRequest],
) (*connect.Response[daisyhatchv1.FindOriginResponse], error) {
	now := time.Now()
	a := c.opts.State.answerOrigin(req.Msg.GetStream(), req.Msg.GetService(), c.recentlyConfirmed(now), now)
	return connect.NewResponse(&daisyhatchv1.FindOriginResponse{
		Known: a.Known, Service: a.Origin.Service, Version: a.Origin.Version, Versions: a.Versions, Complete: a.Complete,
	}), nil
}

// Origins records which software version began each stream of an entry VM, and finds out where a stream began that is taken
// up. It is safe for concurrent use.
type Origins struct{ follower *Follower }

// Origins returns the Origins of the follower's VM.
func (f *Follower) Origins() *Origins { return &Origins{f} }

// Began records that the first event of a caller's attempt comes from a server with this origin.
func (o *Origins) Began(attempt string, began origin.Origin) {
	o.follower.opts.State.origins.record(origin.StreamID(attempt), began, true, time.Now())
}

// Find returns where the stream goes on whose first event a caller's attempt brought; attempt is empty when the caller
// doesn't say. It asks the control VMs unless the stream began at this VM, and doesn't decide without them: a VM that is cut off,
// or has stood still, may not know of the version that began the stream. Errors are origin.ErrUnconfirmed and
// origin.ErrUnknown.
func (o *Origins) Find(ctx context.Context, attempt, service string) (origin.Origin, error) {
	stream, now, state := origin.StreamID(attempt), time.Now(), o.follower.opts.State
	own := state.answerOrigin(stream, service, state.followedFor(origin.MaxTakeUp, now), now)
	if own.Known {
		return own.Origin, nil
	}
	answers := o.ask(ctx, stream, service)
	if len(answers) == 0 {
		return origin.Origin{}, origin.ErrUnconfirmed
	}
	return origin.Decide(service, append(answers, own))
}

// ask asks all control VMs about a stream, and returns their answers once one of them knows it, or all have answered.
func (o *Origins) ask(ctx context.Context, stream uint64, service string) []origin.Answer {
	ctx, cancel := context.WithTimeout(ctx, findOriginTimeout)
	defer cancel()
	addresses := o.follower.opts.Roster.Addresses(time.Now())
	found := make(chan *origin.Answer, len(addresses))
	for _, a := range addresses {
		go func() { found <- o.askOne(ctx, a, stream, service) }()
	}
	var out []origin.Answer
	for range addresses {
		if a := <-found; a != nil {
			out = append(out, *a)
			if a.Known {
				break
			}
		}
	}
	return out
}

// askOne asks one control VM; it returns nil when there is no answer.
func (o *Origins) askOne(ctx context.Context, address string, stream uint64, service string) *origin.Answer {
	client := daisyhatchv1connect.NewFleetServiceClient(o.follower.opts.HTTP, "http://"+address)
	res, err := client.FindOrigin(ctx, connect.NewRequest(&daisyhatchv1.FindOriginRequest{Stream: stream, Service: service}))
	if err != nil {
		o.follower.opts.Log.V(1).Info("control VM not asked where a stream began", "control", address, "reason", err.Error())
		return nil
	}
	m := res.Msg
	return &origin.Answer{
		Origin: origin.Origin{Service: m.GetService(), Version: m.GetVersion()}, Known: m.GetKnown(), Versions: m.GetVersions(),
		Complete: m.GetComplete(),
	}
}

// reportOrigins tells the control VMs that this VM follows where its streams began, until ctx ends.
func (f *Follower) reportOrigins(ctx context.Context) {
	check := time.NewTicker(originCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case <-f.opts.State.origins.news:
		}
		var wg sync.WaitGroup
		for a, s := range f.openStreams() {
			wg.Go(func() { f.reportOriginsTo(ctx, a, s) })
		}
		wg.Wait()
		time.Sleep(originReportPause)
	}
}

// reportOriginsTo reports the streams that one control VM wasn't told of. Streams of services with one version wait until
// another version is in service: until then nobody asks for them. Only one call for a stream runs at a time.
func (f *Follower) reportOriginsTo(ctx context.Context, address string, s *followStream) {
	list, count := f.opts.State.origins.since(s.originsReported)
	if len(list) == 0 || !f.severalVersions(list, time.Now()) {
		return
	}
	groups := make(map[origin.Origin]*daisyhatchv1.StreamOrigins)
	req := &daisyhatchv1.ReportOriginsRequest{}
	for _, b := range list {
		g := groups[b.origin]
		if g == nil {
			g = &daisyhatchv1.StreamOrigins{Service: b.origin.Service, Version: b.origin.Version}
			groups[b.origin] = g
			req.Origins = append(req.Origins, g)
		}
		g.Streams = append(g.Streams, b.stream)
	}
	ctx, cancel := context.WithTimeout(ctx, originReportTimeout)
	defer cancel()
	client := daisyhatchv1connect.NewFleetServiceClient(f.opts.HTTP, "http://"+address)
	if _, err := client.ReportOrigins(ctx, connect.NewRequest(req)); err != nil {
		f.opts.Log.Info("origins of streams not reported", "control", address, "streams", len(list), "reason", err.Error())
		return
	}
	originsReported.Add(len(list))
	s.originsReported = count
}

// severalVersions reports whether one of the streams' services has had several versions in service within
// origin.MaxTakeUp, or this VM hasn't known it for that long.
func (f *Follower) severalVersions(list []beganStream, now time.Time) bool {
	if now.Sub(f.opts.State.startedAt) < origin.MaxTakeUp {
		return true
	}
	asked := make(map[string]bool)
	for _, b := range list {
		if asked[b.origin.Service] {
			continue
		}
		asked[b.origin.Service] = true
		if len(f.opts.State.versions(b.origin.Service, now)) > 1 {
			return true
		}
	}
	return false
}
