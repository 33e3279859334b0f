package fleet

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

const (
	// limitReportDelay is the pause after a report, so that limits named in quick succession are reported together.
	limitReportDelay = 100 * time.Millisecond
	// limitReportRetry is the time until a report that failed is made again.
	limitReportRetry = time.Second
	// limitReportTimeout limits one report.
	limitReportTimeout = 500 * time.Millisecond
)

func limitsToWire(limits []serverlimit.Limit, now time.Time) []*daisyhatchv1.ServerLimit {
	out := make([]*daisyhatchv1.ServerLimit, 0, len(limits))
	for _, l := range limits {
		out = append(out, &daisyhatchv1.ServerLimit{
			Server: l.Server, BornUnixMs: l.Born, Rate: l.Rate, Ended: l.Ended, AgeMs: now.Sub(l.At).Milliseconds(),
		})
	}
	return out
}

func limitsFromWire(limits []*daisyhatchv1.ServerLimit, now time.Time) []serverlimit.Limit {
	out := make([]serverlimit.Limit, 0, len(limits))
	for _, l := range limits {
		out = append(out, serverlimit.Limit{
			Server: l.GetServer(), Born: l.GetBornUnixMs(), Rate: l.GetRate(), Ended: l.GetEnded(),
			At: now.Add(-time.Duration(max(l.GetAgeMs(), 0)) * time.Millisecond),
		})
	}
	return out
}

// logLimits logs limits that another VM told and that changed what this VM knows.
func logLimits(log logr.Logger, changed []serverlimit.Limit, from string, now time.Time) {
	for _, l := range changed {
		log.Info("server limit changed", append([]any{"from", from}, l.LogFields(now)...)...)
	}
}

// ReportLimits implements FleetService.
func (c *Control) ReportLimits(
	_ context.Context, req *connect.Request[daisyhatchv1.ReportLimitsRequest],
) (*connect.Response[daisyhatchv1.ReportLimitsResponse], error) {
	now := time.Now()
	changed := c.opts.State.mergeLimits(limitsFromWire(req.Msg.GetLimits(), now), true)
	logLimits(c.opts.Log, changed, req.Peer().Addr, now)
	return connect.NewResponse(&daisyhatchv1.ReportLimitsResponse{}), nil
}

// reportLimits tells the control VMs that this VM follows what servers say of their limits, until ctx ends. It tells all
// of them, since one may be cut off from the others.
func (f *Follower) reportLimits(ctx context.Context) {
	for {
		retry := time.Duration(0)
		if !f.reportLimitsOnce(ctx) {
			retry = limitReportRetry
		}
		if !waitForNews(ctx, f.opts.State.limitNews.ownChanged, retry) {
			return
		}
	}
}

// waitForNews waits limitReportDelay, and then for news or, if it is not 0, for retry. It returns false when ctx ends.
func waitForNews(ctx context.Context, news <-chan struct{}, retry time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(limitReportDelay):
	}
	var again <-chan time.Time
	if retry > 0 {
		again = time.After(retry)
	}
	select {
	case <-ctx.Done():
		return false
	case <-news:
	case <-again:
	}
	return true
}

// reportLimitsOnce reports what each control VM wasn't told yet, and reports whether all of them were reached.
func (f *Follower) reportLimitsOnce(ctx context.Context) bool {
	open := f.openStreams()
	ok := len(open) > 0
	var wg sync.WaitGroup
	failed := make(chan string, len(open))
	for a, s := range open {
		wg.Go(func() {
			if err := f.reportLimitsTo(ctx, a, s); err != nil && ctx.Err() == nil {
				f.opts.Log.Info("server limits not reported", "control", a, "reason", err.Error())
				failed <- a
			}
		})
	}
	wg.Wait()
	return ok && len(failed) == 0
}

// openStreams returns the streams that are open, by the address of their control VM.
func (f *Follower) openStreams() map[string]*followStream {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := make(map[string]*followStream, len(f.streams))
	for a, s := range f.streams {
		if !s.openedAt.IsZero() {
			open[a] = s
		}
	}
	return open
}

// reportLimitsTo reports to one control VM. Only one call for a stream runs at a time.
func (f *Follower) reportLimitsTo(ctx context.Context, address string, s *followStream) error {
	limits, count := f.opts.State.limitsSince(s.limitsReported, true)
	if len(limits) == 0 {
		s.limitsReported = count
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limitReportTimeout)
	defer cancel()
	client := daisyhatchv1connect.NewFleetServiceClient(f.opts.HTTP, "http://"+address)
	req := &daisyhatchv1.ReportLimitsRequest{Limits: limitsToWire(limits, time.Now())}
	if _, err := client.ReportLimits(ctx, connect.NewRequest(req)); err != nil {
		return err
	}
	s.limitsReported = count
	return nil
}
