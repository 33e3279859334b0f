package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

const (
	// trackerReportTimeout bounds the attempts to commit a Tracker's report. It is as long as a suspicion lasts, so
	// that a VM that was cut off from the control VMs still reports the crashes that it saw once it reaches them again.
	trackerReportTimeout = suspects.SuspicionMs * time.Millisecond
	// trackerMaxBackoff is the longest pause between the attempts to commit a Tracker's reports.
	trackerMaxBackoff = time.Second
	// clearTimeout bounds the attempts to commit that a suspect was served. If they fail, the next VM that serves the
	// suspect reports it.
	clearTimeout = 5 * time.Second
	// maxReports bounds the reports to the control VMs in progress.
	maxReports = 64
	// minRefusal is the shortest time that Tracker.Refused returns for a convicted request.
	minRefusal = time.Second
)

var (
	suspectsCleared = metrics.NewCounter("daisyhatch_quarantine_suspects_cleared_total")
	reportsDropped  = metrics.NewCounter("daisyhatch_quarantine_reports_dropped_total")
)

// TrackerOptions are the dependencies of a Tracker.
type TrackerOptions struct {
	// Reporter reports crashes to the control VMs; nil keeps them on this VM.
	Reporter Reporter
	// Clear commits that suspects were served; it must be set when Reporter is.
	Clear func(ctx context.Context, fingerprints []uint64) error
	Log   logr.Logger
}

// Tracker refuses requests under which servers ended one after the other. Unlike a Quarantine it delays no request: the
// first retry starts at once, and from the third crash on the request is refused on all VMs. A crash doesn't count
// against a request that was served lately, and servers that end at about the same time count as one crash. It is safe
// for concurrent use.
type Tracker struct {
	opts  TrackerOptions
	start time.Time

	mu    sync.Mutex
	state trackerState
	// pendingReports counts the calls to the control VMs in progress, at most maxReports.
	pendingReports int
}

// NewTracker returns a Tracker without suspects.
func NewTracker(o TrackerOptions) *Tracker {
	return &Tracker{opts: o, start: time.Now(), state: newTrackerState()}
}

// Run is one run of a request on a server.
type Run struct {
	tracker *Tracker
	target  engine.Target
	request runningRequest
}

// Begin records that a request starts on a server. Call End on the result when the request is no longer there.
func (t *Tracker) Begin(target engine.Target, fingerprint uint64) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Run{tracker: t, target: target, request: t.state.startRun(target, fingerprint, time.Since(t.start))}
}

// End records that the request is no longer on the server. It may be called more than once.
func (r *Run) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.tracker.state.end(serverKeyOf(r.target), r.request.id)
}

// Crashed records that the server ended during the run; it may be called after End. The crash counts on this VM at once
// and is reported to the control VMs in the background.
func (r *Run) Crashed() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.state.serverCrashed(r.target, r.request, time.Since(t.start))
	if err != nil {
		t.opts.Log.Error(err, "crash can't be counted", "server", r.target.Server, "incarnation", r.target.Incarnation)
	}
	if c == nil || t.opts.Reporter == nil {
		return
	}
	if t.pendingReports >= maxReports {
		reportsDropped.Inc()
		t.opts.Log.Info("crash not reported to the control VMs", "server", c.GetServer(), "incarnation", c.GetServerIncarnation(),
			"reason", "too many reports wait")
		return
	}
	t.pendingReports++
	go t.report(c)
}

func (t *Tracker) report(c *daisyhatchv1.CrashCommand) {
	crashesReported.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), trackerReportTimeout)
	defer cancel()
	res, err := retryWithBackoff(ctx, trackerMaxBackoff, func() (*daisyhatchv1.CrashResult, error) { return t.opts.Reporter.ReportCrash(ctx, c) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingReports--
	if err != nil {
		reportsFailed.Inc()
		t.opts.Log.Error(err, "crash not reported to the control VMs", "server", c.GetServer(), "incarnation", c.GetServerIncarnation())
		return
	}
	t.state.applyReportResult(c, res, time.Since(t.start))
	var repeatSuspects []string
	for _, s := range res.GetSuspects() {
		if s.GetCrashes() >= suspects.SharedCrashes {
			repeatSuspects = append(repeatSuspects, fmt.Sprintf("%s:%d", formatFingerprint(s.GetFingerprint()), s.GetCrashes()))
		}
	}
	t.opts.Log.Info("server ended under requests", "server", c.GetServer(), "incarnation", c.GetServerIncarnation(),
		"requests", len(c.GetFingerprints()), "suspects", repeatSuspects, "list", res.GetVersion())
}

// Served records that a request was served, which clears it on all VMs.
func (t *Tracker) Served(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.markServed(fingerprint, time.Since(t.start)) {
		t.shareServed([]uint64{fingerprint})
	}
}

// shareServed reports suspects that were served to the control VMs in the background; t.mu must be held.
func (t *Tracker) shareServed(fingerprints []uint64) {
	if len(fingerprints) == 0 || t.opts.Reporter == nil || t.pendingReports >= maxReports {
		return
	}
	t.pendingReports++
	go t.clear(fingerprints)
}

func (t *Tracker) clear(fingerprints []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
	defer cancel()
	_, err := retryWithBackoff(ctx, trackerMaxBackoff, func() (struct{}, error) {
		return struct{}{}, t.opts.Clear(ctx, fingerprints)
	})
	for _, f := range fingerprints {
		suspectsCleared.Inc()
		t.opts.Log.Info("suspect was served", "fingerprint", formatFingerprint(f), "shared", err == nil)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingReports--
}

// UpdateSuspects applies a control VM's list of suspects of the given version. It ignores lists older than the latest
// one.
func (t *Tracker) UpdateSuspects(version uint64, list []*daisyhatchv1.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.state.applyList(version, list, time.Since(t.start))
	t.shareServed(n.served)
	for _, f := range n.convicted {
		convictionsLearned.Inc()
		t.opts.Log.Info("request is refused from now on", "fingerprint", formatFingerprint(f), "crashes", t.state.crashCount(f), "list", version)
	}
	for _, f := range n.cleared {
		t.opts.Log.Info("request is not refused any more", "fingerprint", formatFingerprint(f), "list", version)
	}
}

// Refused returns how long a request is still refused, at least a second; false when it may run.
func (t *Tracker) Refused(fingerprint uint64) (time.Duration, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	left, ok := t.state.refusedFor(fingerprint, now.Sub(t.start), now.UnixMilli())
	if !ok {
		return 0, false
	}
	return max(left, minRefusal), true
}

// Crashes returns how many crashes this VM knows to count against a request.
func (t *Tracker) Crashes(fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.crashCount(fingerprint)
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
