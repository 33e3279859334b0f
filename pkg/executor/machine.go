package executor

import (
	"fmt"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/deadline"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/promise"
)

const (
	// maxAttempts bounds the counted attempts at one stage, hedges included.
	maxAttempts = 4
	// maxUnsent bounds the failed attempts at one stage that sent nothing; these do not count towards maxAttempts.
	maxUnsent = 16
	// closeGrace is how long an aborted request waits for its cancelled attempts to report whether they sent
	// anything.
	closeGrace = 20 * time.Millisecond
)

// machine is the state machine of one request. Its methods take an event and the current time, and return the
// actions to carry out; they do no I/O and start no goroutines. It is not safe for concurrent use.
type machine struct {
	plan     *Plan
	deadline time.Time
	// atMostOnce is true when the request may run at most once and therefore needs a claim in the ledger.
	atMostOnce bool
	// repeatable holds, for each stage, whether it may be sent more than once.
	repeatable []bool
	// streaming is true when the tokens of the last stage go to the caller as they arrive.
	streaming bool
	// alone is true when the request is a suspect: its attempts must be the only call on their server.
	alone  bool
	policy policy
	inv    *invariant.Recorder

	phase phase
	// step is the index of the current step in plan.Steps.
	step     int
	stages   []stageState
	attempts []attempt
	// winner is the index of the attempt whose tokens reach the caller; -1 while there is none.
	winner int
	// tokens holds the tokens delivered to the caller so far, and version is the software version of the server that made the
	// first one.
	tokens       []string
	version      string
	finishReason string
	usage        engine.Usage

	// closeBy is when phaseClosing ends even if attempts have not reported.
	closeBy time.Time
	err     *apierr.Error
	// replay is the stored outcome of an earlier run of the same idempotency key.
	replay *dispatch.Outcome
	// settle is what to do with the claim once the request has finished.
	settle settlement
	// out collects the actions that the current event causes.
	out []action

	// dropped counts ignored events: duplicate tokens, and tokens and answers of attempts that lost or were
	// cancelled.
	dropped int
	// resumed counts attempts that continue a broken stream.
	resumed int
	// retried counts retries; hedges, below, counts hedges that got a slot or are waiting for one.
	retried int
	hedges  int
}

func newMachine(req *Request, p policy, inv *invariant.Recorder) *machine {
	m := &machine{
		plan:       req.Plan,
		deadline:   req.Deadline,
		atMostOnce: req.NotRepeatable || !req.Plan.Repeatable(),
		streaming:  req.Stream && req.Plan.CanStream(),
		policy:     p,
		inv:        inv,
		stages:     make([]stageState, len(req.Plan.Stages)),
		repeatable: make([]bool, len(req.Plan.Stages)),
		winner:     -1,
	}
	for i, s := range req.Plan.Stages {
		m.repeatable[i] = s.Spec.Repeatable && !req.NotRepeatable
	}
	return m
}

// takeActions returns the actions emitted since the last call.
func (m *machine) takeActions() []action {
	out := m.out
	m.out = nil
	return out
}

// start begins the request, given the quarantine's verdict on its fingerprint.
func (m *machine) start(now time.Time, v dispatch.Verdict) []action {
	m.alone = v == dispatch.Suspect
	switch {
	case v == dispatch.Convicted:
		m.giveUp(now, m.errConvicted())
	case m.atMostOnce:
		m.phase = phaseClaiming
		m.out = append(m.out, action{kind: actClaim})
	default:
		m.phase = phaseRunning
		m.beginStep(now)
	}
	return m.takeActions()
}

// onClaimResult handles the ledger's reply. A non-nil err says why the request must not run.
func (m *machine) onClaimResult(now time.Time, c dispatch.Claim, err error) []action {
	if m.phase != phaseClaiming {
		return nil
	}
	switch {
	case err != nil:
		m.giveUp(now, apierr.From(err).WithRun(claimRunState(err)))
	case c.Outcome != nil:
		m.replay = c.Outcome
		m.finish()
	case !c.Granted:
		m.giveUp(now, errLedgerUnavailable())
	default:
		m.settle = settleAbandon
		m.phase = phaseRunning
		m.beginStep(now)
	}
	return m.takeActions()
}

// onSlotAcquired records that an attempt holds a slot on a server and is about to send. An attempt that is not
// itself a hedge schedules the stage's hedge.
func (m *machine) onSlotAcquired(now time.Time, id int, target engine.Target) []action {
	a := &m.attempts[id]
	a.server, a.version = target.Server, target.Version
	s := &m.stages[a.stage]
	if m.phase != phaseRunning || a.cancelled || s.done || a.hedge || s.hedged || !s.hedgeAt.IsZero() {
		return nil
	}
	if d, ok := m.hedgeDelay(now, a.stage); ok {
		s.hedgeAt = now.Add(d)
	}
	return nil
}

// hedgeDelay returns how long to wait before hedging a stage; ok is false when it must not be hedged.
func (m *machine) hedgeDelay(now time.Time, stage int) (time.Duration, bool) {
	if !m.repeatable[stage] || !m.plan.Stages[stage].Spec.Hedge || m.alone {
		return 0, false
	}
	return m.policy.hedgeAfter(now, stage)
}

// onDiagnosisStart records that an attempt failed and that its cause is being determined and reported. No hedge of
// the stage starts meanwhile: the request may be what crashed the server.
func (m *machine) onDiagnosisStart(id int) []action {
	m.attempts[id].diagnosing = true
	m.stages[m.attempts[id].stage].hedgeAt = time.Time{}
	return nil
}

// onToken handles one event of a stream. It drops duplicate tokens and fails the attempt on a gap or a differing
// token.
func (m *machine) onToken(now time.Time, id int, ev engine.Event) []action {
	a := &m.attempts[id]
	if m.phase != phaseRunning || a.cancelled || a.ended || (m.winner >= 0 && m.winner != id) {
		m.dropped++
		return nil
	}
	if ev.Usage != (engine.Usage{}) {
		m.usage = ev.Usage
	}
	if ev.FinishReason != "" {
		m.finishReason = ev.FinishReason
	}
	if ev.Text == "" {
		return nil
	}
	if ev.Index >= 0 && ev.Index < len(m.tokens) {
		if m.tokens[ev.Index] != ev.Text {
			m.failStream(now, id, engine.WrongAttempt)
			return m.takeActions()
		}
		m.dropped++
		return nil
	}
	if ev.Index < 0 || ev.Index > len(m.tokens) {
		m.failStream(now, id, engine.Truncated)
		return m.takeActions()
	}
	m.selectWinner(id)
	a.used = true
	if len(m.tokens) == 0 {
		m.version = a.version
	}
	m.tokens = append(m.tokens, ev.Text)
	ev.End = false
	m.out = append(m.out, action{kind: actDeliver, event: ev})
	return m.takeActions()
}

// selectWinner makes an attempt the one whose tokens reach the caller and cancels the others at its stage.
func (m *machine) selectWinner(id int) {
	if m.winner == id {
		return
	}
	m.winner = id
	m.stages[m.attempts[id].stage].hedgeAt = time.Time{}
	m.cancelOthers(id)
}

// failStream fails an attempt whose stream is inconsistent: a token is missing or differs from the one delivered.
func (m *machine) failStream(now time.Time, id int, k engine.Kind) {
	a := &m.attempts[id]
	a.ended = true
	a.sent = true
	a.cancelled = true
	m.out = append(m.out, action{kind: actCancel, attempt: id})
	m.handleFailure(now, id, outcome{failure: &engine.Error{Kind: k, Server: a.server, Sent: true, Err: errStreamMismatch}})
}

// onAttemptEnd handles the outcome of an attempt.
func (m *machine) onAttemptEnd(now time.Time, id int, o outcome) []action {
	a := &m.attempts[id]
	if a.ended {
		m.dropped++
		return nil
	}
	a.ended = true
	a.sent = o.sent()
	switch {
	case m.phase == phaseClosing:
		m.finishIfKnown(now)
	case m.phase != phaseRunning, a.cancelled, m.stages[a.stage].done:
		if o.failure == nil && o.slotErr == nil {
			m.dropped++
		}
	case o.slotErr != nil || o.failure != nil:
		m.handleFailure(now, id, o)
	case m.streamed(a.stage) && o.tokens != len(m.tokens):
		m.handleFailure(now, id, outcome{failure: &engine.Error{Kind: engine.Truncated, Server: a.server, Sent: true, Err: errStreamMismatch}})
	case !m.promiseHolds(o.answer.Status):
		m.handleFailure(now, id, outcome{failure: &engine.Error{
			Kind: engine.Failed, Server: a.server, Sent: true, Status: o.answer.Status, Body: o.answer.Body,
			Err: fmt.Errorf("status %d without a statement that the call was not started", o.answer.Status),
		}})
	default:
		m.completeStage(now, id, o.answer)
	}
	return m.takeActions()
}

// promiseHolds reports whether the caller of a request that was sent may be told a status: it promises nothing, or the request may run
// again.
func (m *machine) promiseHolds(status int) bool { return m.statusAfterSend(status) == status }

// statusAfterSend returns the status to tell the caller of a request that was sent, where the answer at hand has the given one.
func (m *machine) statusAfterSend(status int) int {
	return promise.Known{MayHaveRun: true, Repeatable: !m.atMostOnce}.Status(status)
}

// completeStage records the answer of a stage; the first complete answer wins. It starts the next step, or finishes
// the request, once all stages of the step are done.
func (m *machine) completeStage(now time.Time, id int, answer engine.Answer) {
	a := &m.attempts[id]
	s := &m.stages[a.stage]
	if !m.inv.Assert(!s.done, "stage-once", "stage %d completed twice", a.stage) {
		return
	}
	if m.streamed(a.stage) {
		m.selectWinner(id)
	}
	a.used = true
	s.done = true
	s.finished = now
	s.answer = answer
	s.server = a.server
	s.hedgeAt = time.Time{}
	m.cancelOthers(id)
	for _, i := range m.plan.Steps[m.step] {
		if !m.stages[i].done {
			return
		}
	}
	m.step++
	if m.step < len(m.plan.Steps) {
		m.beginStep(now)
		return
	}
	m.settleCompleted()
	m.finish()
}

// settleCompleted requests that the outcome be stored under the claim, if there is one.
func (m *machine) settleCompleted() {
	if m.atMostOnce {
		m.settle = settleComplete
	}
}

// streamed reports whether the tokens of a stage go to the caller.
func (m *machine) streamed(stage int) bool {
	return m.streaming && m.step == len(m.plan.Steps)-1 && m.plan.Steps[m.step][0] == stage
}

// cancelOthers cancels the other attempts at the same stage.
func (m *machine) cancelOthers(id int) {
	for i := range m.attempts {
		if i != id && m.attempts[i].stage == m.attempts[id].stage {
			m.cancel(i)
		}
	}
}

// cancel cancels an attempt that is still running.
func (m *machine) cancel(id int) {
	a := &m.attempts[id]
	if a.ended || a.cancelled {
		return
	}
	a.cancelled = true
	m.out = append(m.out, action{kind: actCancel, attempt: id})
}

// beginStep starts the stages of the current step, or fails the request when its deadline can no longer be met.
func (m *machine) beginStep(now time.Time) {
	needs := m.needs(now)
	if !m.canMeetDeadline(now, needs) {
		m.giveUp(now, errDeadlineUnmeetable())
		return
	}
	share := deadline.Of(now, m.deadline, needs[0], needs[1:])
	for _, i := range m.plan.Steps[m.step] {
		s := &m.stages[i]
		s.began = now
		s.cutoff = share.Cutoff
		s.target = share.Target
		m.policy.recordFirstAttempt(now)
		m.startAttempt(now, i, false)
	}
}

// needs returns the expected durations of the current step and of each later one.
func (m *machine) needs(now time.Time) []deadline.Need {
	needs := make([]deadline.Need, 0, len(m.plan.Steps)-m.step)
	for _, step := range m.plan.Steps[m.step:] {
		var n deadline.Need
		for _, i := range step {
			one := m.policy.need(now, i)
			n.Minimum = max(n.Minimum, one.Minimum)
			n.Typical = max(n.Typical, one.Typical)
			n.High = max(n.High, one.High)
		}
		needs = append(needs, n)
	}
	return needs
}

// canMeetDeadline reports whether to start the current step. Before the first step the learned latencies count.
// Later only the configured minimum does, because refusing then would discard the work done.
func (m *machine) canMeetDeadline(now time.Time, needs []deadline.Need) bool {
	if m.step == 0 && deadline.Meetable(now, m.deadline, needs) {
		return true
	}
	least := make([]deadline.Need, len(needs))
	for i, n := range needs {
		least[i].Minimum = n.Minimum
	}
	if !now.Before(m.deadline) || !deadline.Meetable(now, m.deadline, least) {
		return false
	}
	return m.step > 0 || m.policy.allowProbe(now)
}

// startAttempt starts another attempt at a stage.
func (m *machine) startAttempt(now time.Time, stage int, hedge bool) {
	s := &m.stages[stage]
	spec := attemptSpec{
		stage:  stage,
		hedge:  hedge,
		alone:  m.alone,
		target: s.target,
		cutoff: s.cutoff,
		avoid:  m.serversToAvoid(stage),
	}
	spec.streamed = m.streamed(stage)
	if m.streamed(stage) && len(m.tokens) > 0 {
		spec.resumeFrom = len(m.tokens)
		spec.resumeText = strings.Join(m.tokens, "")
		spec.version = m.version
		m.resumed++
	}
	if !m.inv.Assert(m.repeatable[stage] || !m.stageSent(stage), "not-repeatable-once", "stage %d may have run", stage) {
		m.giveUp(now, errBackend(&engine.Error{Kind: engine.Failed, Err: errStreamMismatch}))
		return
	}
	s.attempts++
	m.attempts = append(m.attempts, attempt{stage: stage, hedge: hedge})
	m.out = append(m.out, action{kind: actAttempt, attempt: len(m.attempts) - 1, spec: spec})
}

// serversToAvoid returns the servers that failed a stage or are running it now.
func (m *machine) serversToAvoid(stage int) []string {
	avoid := append([]string(nil), m.stages[stage].failedServers...)
	for _, a := range m.attempts {
		if a.stage == stage && !a.ended && a.server != "" {
			avoid = append(avoid, a.server)
		}
	}
	return avoid
}

// stageSent reports whether an attempt at the stage sent any byte, or may have because it has not ended.
func (m *machine) stageSent(stage int) bool {
	for _, a := range m.attempts {
		if a.stage == stage && (!a.ended || a.sent) {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether an attempt at any stage sent any byte, or may have because it has not ended.
func (m *machine) mayHaveRun() bool {
	for _, a := range m.attempts {
		if !a.ended || a.sent {
			return true
		}
	}
	return false
}
