package executor

import (
	"flag"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/deadline"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/promise"
)

// TestMain fixes rapid's seed and number of checks so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// eagerPolicy hedges after 10 ms and allows every retry.
type eagerPolicy struct{}

func (eagerPolicy) need(time.Time, int) deadline.Need { return deadline.Need{} }
func (eagerPolicy) hedgeAfter(time.Time, int) (time.Duration, bool) {
	return 10 * time.Millisecond, true
}
func (eagerPolicy) recordFirstAttempt(time.Time) {}
func (eagerPolicy) takeRetry(time.Time) bool     { return true }
func (eagerPolicy) returnRetry()                 {}
func (eagerPolicy) allowProbe(time.Time) bool    { return true }

// oracle drives a machine with random events and tracks what each attempt sent.
type oracle struct {
	t   *rapid.T
	m   *machine
	now time.Time
	inv *invariant.Recorder
	// openAttempts holds the attempts that have not ended; sent records, for each attempt, whether a byte was sent.
	openAttempts map[int]attemptSpec
	sent         map[int]bool
	specs        []attemptSpec
	// nextIndex is the index of each attempt's next token.
	nextIndex map[int]int
	// delivered counts the tokens delivered to the caller.
	delivered int
	claiming  bool
	granted   bool
	finished  bool
}

// deadlines includes some that are short enough for requests to exceed them.
var deadlines = []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, time.Second}

// newOracle starts a machine for a random plan.
func newOracle(t *rapid.T) *oracle {
	plan := &Plan{Name: "p"}
	names := rapid.IntRange(1, 3).Draw(t, "steps")
	for range names {
		var step []int
		for range rapid.IntRange(1, 2).Draw(t, "width") {
			step = append(step, len(plan.Stages))
			spec := &config.Stage{Operation: "chat", Hedge: true, Repeatable: rapid.IntRange(0, 3).Draw(t, "repeatable") > 0}
			plan.Stages = append(plan.Stages, PlanStage{Spec: spec, Pool: &config.Pool{}})
		}
		plan.Steps = append(plan.Steps, step)
	}
	o := &oracle{
		t: t, now: time.Unix(0, 0), inv: invariant.NewRecorder(logr.Discard()),
		openAttempts: map[int]attemptSpec{}, sent: map[int]bool{}, nextIndex: map[int]int{},
	}
	req := &Request{Plan: plan, Deadline: o.now.Add(rapid.SampledFrom(deadlines).Draw(t, "deadline")), Stream: rapid.Bool().Draw(t, "stream")}
	o.m = newMachine(req, eagerPolicy{}, o.inv)
	o.apply(o.m.start(o.now, dispatch.Clear))
	return o
}

// apply checks the machine's actions and updates the oracle's view.
func (o *oracle) apply(out []action) {
	for _, a := range out {
		require.False(o.t, o.finished, "action after the request finished")
		switch a.kind {
		case actClaim:
			o.claiming = true
		case actAttempt:
			o.startAttempt(a.attempt, a.spec)
		case actDeliver:
			require.Equal(o.t, o.delivered, a.event.Index, "token out of order")
			o.delivered++
		case actFinish:
			o.finished = true
			o.checkEnd()
		}
	}
	violations, _ := o.inv.Violations()
	require.Empty(o.t, violations)
}

// startAttempt records a new attempt. It fails if a non-repeatable stage has already been sent.
func (o *oracle) startAttempt(id int, spec attemptSpec) {
	require.True(o.t, !o.m.atMostOnce || o.granted, "attempt started before the claim was granted")
	for i, s := range o.specs {
		if s.stage == spec.stage && !o.m.repeatable[spec.stage] {
			require.False(o.t, o.sent[i], "non-repeatable stage was sent twice")
		}
	}
	o.openAttempts[id] = spec
	o.specs = append(o.specs, spec)
	o.nextIndex[id] = spec.resumeFrom
}

func (o *oracle) anySent() bool {
	for _, s := range o.sent {
		if s {
			return true
		}
	}
	return false
}

// checkEnd checks the run state and the claim's settlement of a finished request.
func (o *oracle) checkEnd() {
	if o.m.err == nil {
		require.Equal(o.t, o.m.atMostOnce, o.m.settle == settleComplete)
		return
	}
	if o.m.err.Run == apierr.NotRun {
		require.False(o.t, o.anySent(), "reported not_run although a byte was sent")
	}
	if o.anySent() && o.m.atMostOnce {
		require.Equal(o.t, settleUnknown, o.m.settle)
		require.False(o.t, promise.Made(o.m.err.Status), "status %d promises that the request has not run", o.m.err.Status)
	}
}

// step applies one random event.
func (o *oracle) step() {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(o.t, "ms")) * time.Millisecond)
	if !o.now.Before(o.m.nextTimer()) {
		o.apply(o.m.onTimer(o.now))
		return
	}
	switch kind := rapid.IntRange(0, 19).Draw(o.t, "event"); {
	case o.claiming:
		o.claiming = false
		o.granted = kind > 2
		o.apply(o.m.onClaimResult(o.now, dispatch.Claim{Granted: o.granted}, nil))
	case kind == 0:
		o.apply(o.m.onCallerGone(o.now))
	case len(o.openAttempts) == 0:
	default:
		o.stepAttempt(kind)
	}
}

// stepAttempt applies a random event to one open attempt.
func (o *oracle) stepAttempt(kind int) {
	ids := make([]int, 0, len(o.openAttempts))
	for id := range len(o.specs) {
		if _, ok := o.openAttempts[id]; ok {
			ids = append(ids, id)
		}
	}
	id := rapid.SampledFrom(ids).Draw(o.t, "attempt")
	spec := o.openAttempts[id]
	switch {
	case kind < 4:
		o.apply(o.m.onSlotAcquired(o.now, id, engine.Target{Server: "s" + strconv.Itoa(id%3)}))
	case kind < 12 && spec.streamed:
		o.sent[id] = true
		index := o.nextIndex[id] + rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1}).Draw(o.t, "skew")
		o.nextIndex[id] = index + 1
		o.apply(o.m.onToken(o.now, id, engine.Event{Index: index, Text: "t" + strconv.Itoa(index)}))
	case kind < 16:
		o.failAttempt(id, rapid.Bool().Draw(o.t, "sent"))
	default:
		o.sent[id] = true
		delete(o.openAttempts, id)
		o.apply(o.m.onAttemptEnd(o.now, id, outcome{tokens: max(o.nextIndex[id], 0)}))
	}
}

// failAttempt ends an attempt with a random failure.
func (o *oracle) failAttempt(id int, sent bool) {
	sent = sent || o.sent[id]
	spec := o.openAttempts[id]
	o.sent[id] = sent
	delete(o.openAttempts, id)
	if spec.hedge && !sent && rapid.Bool().Draw(o.t, "no free slot") {
		o.apply(o.m.onAttemptEnd(o.now, id, outcome{slotErr: apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no free slot")}))
		return
	}
	kinds := []engine.Kind{engine.Refused, engine.Overloaded, engine.Crashed, engine.Silent, engine.Failed, engine.Rejected, engine.Canceled}
	k := rapid.SampledFrom(kinds).Draw(o.t, "kind")
	status := rapid.SampledFrom([]int{0, 400, 408, 421, 429, 503}).Draw(o.t, "status")
	o.apply(o.m.onAttemptEnd(o.now, id, outcome{failure: &engine.Error{Kind: k, Sent: sent, Status: status}}))
}

// TestMachineInvariants drives the machine with random events and checks that it finishes by its deadline.
func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		latest := o.m.deadline.Add(closeGrace)
		for !o.finished && !o.now.After(latest) {
			o.step()
		}
		for range 2 {
			if !o.finished {
				o.apply(o.m.onTimer(o.now))
				o.now = o.now.Add(closeGrace)
			}
		}
		require.True(t, o.finished, "not finished by the deadline")
		for id := range o.openAttempts {
			o.apply(o.m.onAttemptEnd(o.now, id, outcome{}))
		}
	})
}

// hedgedMachine returns a machine with one stage whose hedge has been started, and the current time.
func hedgedMachine(t *testing.T) (*machine, time.Time) {
	now := time.Unix(0, 0)
	spec := &config.Stage{Operation: "retrieve", Hedge: true, Repeatable: true}
	plan := &Plan{Name: "p", Stages: []PlanStage{{Spec: spec, Pool: &config.Pool{}}}, Steps: [][]int{{0}}}
	m := newMachine(&Request{Plan: plan, Deadline: now.Add(time.Second)}, eagerPolicy{}, invariant.NewRecorder(logr.Discard()))
	m.start(now, dispatch.Clear)
	m.onSlotAcquired(now, 0, engine.Target{Server: "s0"})
	now = m.nextTimer()
	require.True(t, m.onTimer(now)[0].spec.hedge)
	return m, now
}

// TestHedgeWithoutSlotIsRetried checks that a hedge that got no slot is retried while the first attempt runs, but
// not once that attempt's failure is being diagnosed.
func TestHedgeWithoutSlotIsRetried(t *testing.T) {
	noRoom := outcome{slotErr: apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no free slot")}
	m, now := hedgedMachine(t)
	require.Empty(t, m.onAttemptEnd(now, 1, noRoom))
	now = m.nextTimer()
	require.True(t, now.Before(m.deadline))
	require.True(t, m.onTimer(now)[0].spec.hedge)
	m.onDiagnosisStart(0)
	require.Empty(t, m.onAttemptEnd(now, 2, noRoom))
	require.Equal(t, m.deadline, m.nextTimer())
}

// TestFailureDecidesWhenHedgeGetsNoSlot checks that the first attempt's failure leads to a retry when its hedge then
// gets no slot.
func TestFailureDecidesWhenHedgeGetsNoSlot(t *testing.T) {
	m, now := hedgedMachine(t)
	require.Empty(t, m.onAttemptEnd(now, 0, outcome{failure: &engine.Error{Kind: engine.Failed, Server: "s0", Sent: true}}))
	out := m.onAttemptEnd(now, 1, outcome{slotErr: apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no free slot")})
	require.Len(t, out, 1)
	require.Equal(t, actAttempt, out[0].kind)
	require.False(t, out[0].spec.hedge)
	require.Equal(t, []string{"s0"}, out[0].spec.avoid)
}

// TestUnsentAttemptsAreCountedSeparately checks that attempts that sent nothing do not count towards maxAttempts,
// but are bounded by maxUnsent.
func TestUnsentAttemptsAreCountedSeparately(t *testing.T) {
	m, now := hedgedMachine(t)
	require.Empty(t, m.onAttemptEnd(now, 1, outcome{slotErr: apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no free slot")}))
	refused := outcome{failure: &engine.Error{Kind: engine.Refused, Server: "dead"}}
	id, retries := 0, 0
	for out := m.onAttemptEnd(now, id, refused); out[0].kind == actAttempt; out = m.onAttemptEnd(now, id, refused) {
		id = out[0].attempt
		retries++
	}
	require.Equal(t, phaseFinished, m.phase)
	require.Equal(t, apierr.NotRun, m.err.Run)
	require.Greater(t, retries, maxAttempts)
	require.LessOrEqual(t, retries, maxUnsent+maxAttempts)
}

// TestConvictedRequestWithKeyReportsMayHaveRun guards against reporting not_run for a convicted request with an
// idempotency key: it ran before and crashed servers.
func TestConvictedRequestWithKeyReportsMayHaveRun(t *testing.T) {
	stage := &config.Stage{Name: "book", Pool: "p", Operation: "http"}
	plan := &Plan{Name: "p", Steps: [][]int{{0}}, Stages: []PlanStage{{Spec: stage, Pool: &config.Pool{Name: "p"}}}}
	now := time.Unix(1000, 0)
	for repeatable, want := range map[bool]apierr.Run{false: apierr.MayHaveRun, true: apierr.NotRun} {
		stage.Repeatable = repeatable
		m := newMachine(&Request{Plan: plan, Deadline: now.Add(time.Second)}, eagerPolicy{}, invariant.NewRecorder(logr.Discard()))
		m.start(now, dispatch.Convicted)
		require.Equal(t, apierr.RequestQuarantined, m.err.Code)
		require.Equal(t, want, m.err.Run)
	}
}
