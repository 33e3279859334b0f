package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

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
	partsRefused    = metrics.NewCounter("daisyhatch_quarantine_parts_refused_total")
	partTrials      = metrics.NewCounter("daisyhatch_quarantine_part_trials_total")
	runLeases       = metrics.NewCounter("daisyhatch_quarantine_run_leases_total")
)

// TrackerOptions are the dependencies of a Tracker.
type TrackerOptions struct {
	// Reporter reports crashes to the control VMs; nil keeps them on this VM.
	Reporter Reporter
	// Clear commits that suspects were served; it must be set when Reporter is.
	Clear func(ctx context.Context, c *daisyhatchv1.ClearSuspectsCommand) error
	// TryPart asks the control VMs for the trial of a refused part; it must be set when Reporter is.
	TryPart func(ctx context.Context, part uint64) (*daisyhatchv1.PartTrialResult, error)
	// LeaseRun asks the control VMs for the right to send a request of which one copy at a time may run; it must be set when
	// Reporter is.
	LeaseRun func(ctx context.Context, fingerprint uint64) (*daisyhatchv1.RunLeaseResult, error)
	// InContact reports whether the control group confirmed this VM's state lately; nil means that it did not.
	InContact func() bool
	Log       logr.Logger
}

// Tracker refuses requests under which servers ended one after the other. Unlike a Quarantine it delays no request: the
// first retry starts at once, and from the third crash on the request is refused on all VMs. A crash doesn't count
// against a request that was served lately, and servers that end at about the same time count as one crash. Once
// suspect.LeasedEnds servers have ended under a request, however close together, one copy of it runs at a time on all VMs. A
// Tracker also refuses requests whose prompts have a part that explains the crashes under requests which are not alike; one request is let
// through from time to time to find out whether the part still crashes servers. It is safe for concurrent use.
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
	// ended is when the request left the server; 0 while it is there.
	ended time.Duration
	// givenUp is true if this VM closed the connection before the answer was complete.
	givenUp bool
}

// Begin records that a request starts on a server. parts are the fingerprints of the parts of its prompt that other prompts
// may have. Call End on the result when the request is no longer there.
func (t *Tracker) Begin(target engine.Target, fingerprint uint64, parts ...uint64) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Run{tracker: t, target: target, request: t.state.startRun(target, fingerprint, parts, time.Since(t.start))}
}

// AnswerBegun records that the answer to the request has begun: the parts of its prompt don't crash the server.
func (r *Run) AnswerBegun() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Since(t.start)
	answered := make(map[uint64]time.Duration)
	for _, part := range t.state.markAnswered(r.request.parts, now) {
		answered[part] = now
	}
	t.shareAnswered(answered)
}

// GiveUp records that this VM closes the request's connection before the answer is complete. The server may go on with the
// request for a while, which Settled ends; End has no effect any more. What became of the server is told by Crashed, Survived or
// Undecided.
func (r *Run) GiveUp() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended == 0 {
		r.ended, r.givenUp = time.Since(r.tracker.start), true
		r.tracker.state.survivals.await(r.request, serverKeyOf(r.target), r.ended)
	}
}

// Settled records that the server does not work on a request any more that was given up. It may be called more than once.
func (r *Run) Settled() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.tracker.state.end(serverKeyOf(r.target), r.request.id)
}

// Survived records that the server went on well after the request was given up there. Some such runs clear a suspect on all
// VMs.
func (r *Run) Survived() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.survivals.decided(r.request)
	if t.state.markSurvived(r.request.fingerprint, time.Since(t.start)) {
		t.opts.Log.Info("suspect left servers well", "fingerprint", formatFingerprint(r.request.fingerprint))
		t.shareServed([]uint64{r.request.fingerprint})
	}
}

// Undecided records that it can't be found out what became of the server.
func (r *Run) Undecided() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.tracker.state.survivals.decided(r.request)
}

// End records that the request is no longer on the server. It may be called more than once.
func (r *Run) End() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.givenUp {
		return
	}
	if r.ended == 0 {
		r.ended = time.Since(r.tracker.start)
	}
	r.tracker.state.end(serverKeyOf(r.target), r.request.id)
}

// Crashed records that the server ended during the run; it may be called after End. The crash counts on this VM at once
// and is reported to the control VMs in the background.
func (r *Run) Crashed() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Since(t.start)
	if r.ended != 0 {
		at = r.ended
	}
	t.state.endTrials(r.request)
	delete(t.state.leases, r.request.fingerprint)
	t.state.survivals.decided(r.request)
	c, held, err := t.state.serverCrashed(r.target, r.request, at, time.Since(t.start))
	for _, h := range held {
		time.AfterFunc(verdictTime, func() { t.countHeld(h) })
	}
	t.send(serverKeyOf(r.target), c, at, err)
}

// countHeld counts a crash that was held back.
func (t *Tracker) countHeld(h heldCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.state.countHeld(h, time.Since(t.start))
	t.send(h.key, c, h.at, err)
}

// send starts the report of a crash that was counted on this VM; c is nil if there is nothing to report. t.mu must be held.
func (t *Tracker) send(k serverKey, c *daisyhatchv1.CrashCommand, at time.Duration, err error) {
	if err != nil {
		t.opts.Log.Error(err, "crash can't be counted", "server", k.server, "incarnation", k.incarnation)
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
	go t.report(c, at)
}

// report commits the report of a crash that was detected at the given time since the Tracker's start.
func (t *Tracker) report(c *daisyhatchv1.CrashCommand, at time.Duration) {
	crashesReported.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), trackerReportTimeout)
	defer cancel()
	res, err := retryWithBackoff(ctx, trackerMaxBackoff, func() (*daisyhatchv1.CrashResult, error) {
		attempt := proto.CloneOf(c)
		attempt.AgeMs = (time.Since(t.start) - at).Milliseconds()
		return t.opts.Reporter.ReportCrash(ctx, attempt)
	})
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
		if s.GetEndedServers() >= suspects.SharedCrashes {
			repeatSuspects = append(repeatSuspects, fmt.Sprintf("%s:%d/%d", formatFingerprint(s.GetFingerprint()), s.GetCrashes(), s.GetEndedServers()))
		}
	}
	t.opts.Log.Info("server ended under requests", "server", c.GetServer(), "incarnation", c.GetServerIncarnation(),
		"requests", len(c.GetFingerprints()), "unanswered", len(c.GetUnanswered()), "suspects", repeatSuspects, "list", res.GetVersion())
}

// Served records that a request was served, which clears it on all VMs.
func (t *Tracker) Served(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.state.crashCount(fingerprint)
	if t.state.markServed(fingerprint, time.Since(t.start)) {
		t.opts.Log.Info("suspect answered", "fingerprint", formatFingerprint(fingerprint), "crashes", crashes)
		t.shareServed([]uint64{fingerprint})
	}
}

// shareServed reports suspects that were served to the control VMs in the background; t.mu must be held.
func (t *Tracker) shareServed(fingerprints []uint64) {
	if len(fingerprints) == 0 || t.opts.Reporter == nil || t.pendingReports >= maxReports {
		return
	}
	t.pendingReports++
	go t.clear(fingerprints, nil)
}

// shareAnswered reports answers to suspected parts, by the time since the Tracker's start, to the control VMs in the
// background; t.mu must be held.
func (t *Tracker) shareAnswered(answers map[uint64]time.Duration) {
	if len(answers) == 0 || t.opts.Reporter == nil || t.pendingReports >= maxReports {
		return
	}
	t.pendingReports++
	go t.clear(nil, answers)
}

func (t *Tracker) clear(fingerprints []uint64, answers map[uint64]time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
	defer cancel()
	_, err := retryWithBackoff(ctx, trackerMaxBackoff, func() (struct{}, error) {
		c := &daisyhatchv1.ClearSuspectsCommand{Fingerprints: fingerprints}
		for part, at := range answers {
			c.Answers = append(c.Answers, &daisyhatchv1.PartAnswer{Part: part, AgeMs: (time.Since(t.start) - at).Milliseconds() + 1})
		}
		return struct{}{}, t.opts.Clear(ctx, c)
	})
	for _, f := range fingerprints {
		suspectsCleared.Inc()
		t.opts.Log.Info("suspect was served", "fingerprint", formatFingerprint(f), "shared", err == nil)
	}
	for part := range answers {
		t.opts.Log.V(1).Info("suspected part was answered", "part", formatFingerprint(part), "shared", err == nil)
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
	t.shareAnswered(n.answered)
	for _, part := range n.refusedParts {
		partsRefused.Inc()
		t.opts.Log.Info("requests with this part are refused from now on", "part", formatFingerprint(part),
			"crashes", t.state.parts.suspects[part].GetCrashes(), "list", version)
	}
	for _, part := range n.acceptedParts {
		t.opts.Log.Info("requests with this part are not refused any more", "part", formatFingerprint(part), "list", version)
	}
	for _, f := range n.convicted {
		convictionsLearned.Inc()
		t.opts.Log.Info("request is refused from now on", "fingerprint", formatFingerprint(f), "crashes", t.state.crashCount(f), "list", version)
	}
	for _, f := range n.cleared {
		t.opts.Log.Info("request is not refused any more", "fingerprint", formatFingerprint(f), "list", version)
	}
}

// Refused returns how long a request is still refused, at least a second; false when it may run. parts are the
// fingerprints of the parts of its prompt.
func (t *Tracker) Refused(fingerprint uint64, parts ...uint64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait, refused, _ := t.refused(fingerprint, parts)
	return max(wait, minRefusal), refused
}

// refused returns how long a request is still refused, and whether it is. If it is refused for parts that may be tried now,
// it returns them. t.mu must be held.
func (t *Tracker) refused(fingerprint uint64, parts []uint64) (wait time.Duration, refused bool, due []refusedPart) {
	now := time.Now()
	if left, ok := t.state.refusedFor(fingerprint, now.Sub(t.start), now.UnixMilli()); ok {
		return left, true, nil
	}
	found := t.state.refusedParts(fingerprint, parts, now.Sub(t.start), now.UnixMilli())
	if len(found) == 0 {
		return 0, false, nil
	}
	if wait = trialWait(found); wait > 0 {
		return wait, true, nil
	}
	return 0, true, found
}

// Crashes returns how many crashes this VM knows to count against a request.
func (t *Tracker) Crashes(fingerprint uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.crashCount(fingerprint)
}

func formatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }
