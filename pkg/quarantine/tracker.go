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
	// trackerReportTimeout bounds the tries to commit a Tracker's report: as long as the suspicion lasts. A VM that was cut
	// off tells of the crashes that it saw when it is back.
	trackerReportTimeout = suspects.SuspicionMs * time.Millisecond
	trackerMostPause     = time.Second
	// clearTimeout bounds the tries to commit that a suspect was served: the next VM that serves it tells it again.
	clearTimeout = 5 * time.Second
	// maxReports bounds the reports under way.
	maxReports = 64
	// leastRefusal is the shortest time for which a convicted request is refused.
	leastRefusal = time.Second
)

var (
	suspectsCleared = metrics.NewCounter("daisyhatch_quarantine_suspects_cleared_total")
	reportsDropped  = metrics.NewCounter("daisyhatch_quarantine_reports_dropped_total")
)

// TrackerOptions are the parts that a Tracker stands on.
type TrackerOptions struct {
	// Reporter shares what this VM sees; nil keeps it here.
	Reporter Reporter
	// Clear commits that suspects were served; set with Reporter.
	Clear func(ctx context.Context, fingerprints []uint64) error
	Log   logr.Logger
}

// Tracker keeps requests under which servers ended one after the other from being run again. Unlike a Quarantine it makes no
// request wait: the first repeat goes out at once, and from the third crash on the request is refused on all VMs. What
// others of its kind survive, and what ended several servers at about the same time, doesn't count. It is safe for concurrent use.
type Tracker struct {
	opts  TrackerOptions
	start time.Time

	mu      sync.Mutex
	memory  memory
	reports int
}

// NewTracker returns a Tracker without suspects.
func NewTracker(o TrackerOptions) *Tracker {
	return &Tracker{opts: o, start: time.Now(), memory: newMemory()}
}

// Run is one run of a request on a server.
type Run struct {
	tracker *Tracker
	target  engine.Target
	flight  flight
}

// Begin notes that a request starts on a server. End must be called.
func (t *Tracker) Begin(target engine.Target, fingerprint uint64) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Run{tracker: t, target: target, flight: t.memory.start(target, fingerprint, time.Since(t.start))}
}

// End notes that the request is not on the server any more. It may be called again.
func (r *Run) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.tracker.memory.end(keyOf(r.target), r.flight.id)
}

// Crashed notes that the server ended under the run, also some time after End. It counts on this VM at once; the other VMs
// are told in the background.
func (r *Run) Crashed() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.memory.ended(r.target, r.flight, time.Since(t.start))
	if err != nil {
		t.opts.Log.Error(err, "crash can't be counted", "server", r.target.Server, "incarnation", r.target.Incarnation)
	}
	if c == nil || t.opts.Reporter == nil {
		return
	}
	if t.reports >= maxReports {
		reportsDropped.Inc()
		t.opts.Log.Info("crash not reported to the control VMs", "server", c.GetServer(), "incarnation", c.GetServerIncarnation(),
			"reason", "too many reports wait")
		return
	}
	t.reports++
	go t.report(c)
}

func (t *Tracker) report(c *daisyhatchv1.CrashCommand) {
	crashesReported.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), trackerReportTimeout)
	defer cancel()
	res, err := persist(ctx, trackerMostPause, func() (*daisyhatchv1.CrashResult, error) { return t.opts.Reporter.ReportCrash(ctx, c) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports--
	if err != nil {
		reportsFailed.Inc()
		t.opts.Log.Error(err, "crash not reported to the control VMs", "server", c.GetServer(), "incarnation", c.GetServerIncarnation())
		return
	}
	t.memory.committed(c, res, time.Since(t.start))
	var again []string
	for _, s := range res.GetSuspects() {
		if s.GetCrashes() >= suspects.SharedCrashes {
			again = append(again, fmt.Sprintf("%s:%d", hex(s.GetFingerprint()), s.GetCrashes()))
		}
	}
	t.opts.Log.Info("server ended under requests", "server", c.GetServer(), "incarnation", c.GetServerIncarnation(),
		"requests", len(c.GetFingerprints()), "suspects", again, "list", res.GetVersion())
}

// Served notes that a request was served, which clears it on all VMs.
func (t *Tracker) Served(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.memory.serve(fingerprint, time.Since(t.start)) {
		t.tellServed([]uint64{fingerprint})
	}
}

// tellServed tells the other VMs of suspects that were served; t.mu is held.
func (t *Tracker) tellServed(fingerprints []uint64) {
	if len(fingerprints) == 0 || t.opts.Reporter == nil || t.reports >= maxReports {
		return
	}
	t.reports++
	go t.clear(fingerprints)
}

func (t *Tracker) clear(fingerprints []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
	defer cancel()
	_, err := persist(ctx, trackerMostPause, func() (struct{}, error) {
		return struct{}{}, t.opts.Clear(ctx, fingerprints)
	})
	for _, f := range fingerprints {
		suspectsCleared.Inc()
		t.opts.Log.Info("suspect was served", "fingerprint", hex(f), "shared", err == nil)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports--
}

// Learn takes over the list of suspects of a version from a control VM; older ones change nothing.
func (t *Tracker) Learn(version uint64, list []*daisyhatchv1.Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.memory.learn(version, list, time.Since(t.start))
	t.tellServed(n.served)
	for _, f := range n.convicted {
		convictedKnown.Inc()
		t.opts.Log.Info("request is refused from now on", "fingerprint", hex(f), "crashes", t.memory.crashCount(f), "list", version)
	}
	for _, f := range n.cleared {
		t.opts.Log.Info("request is not refused any more", "fingerprint", hex(f), "list", version)
	}
}

// Refused returns when a request under which too many servers ended may come back; false when it may run.
func (t *Tracker) Refused(fingerprint uint64) (time.Duration, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	left, ok := t.memory.convicted(fingerprint, now.Sub(t.start), now.UnixMilli())
	if !ok {
		return 0, false
	}
	return max(left, leastRefusal), true
}

// Crashes returns how many crashes count against a request, as far as this VM knows.
func (t *Tracker) Crashes(fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory.crashCount(fingerprint)
}

func hex(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
