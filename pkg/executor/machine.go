package executor

import (
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/deadline"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// Limits of the machine.
const (
	// maxAttempts bounds the attempts of one stage, hedges included.
	maxAttempts = 4
	// maxUnsent bounds the attempts that ended before anything was sent, and so count for nothing else.
	maxUnsent = 16
	// closeGrace is how long a request that was given up on waits for its cancelled attempts to tell whether
	// they sent anything.
	closeGrace = 20 * time.Millisecond
)

// machine is the state machine of one request. It is pure: methods take an event and the time, and
// return the actions that follow. It is not safe for concurrent use.
type machine struct {
	plan     *Plan
	deadline time.Time
	// claim is true when the request may run at most once; never repeat a stage marked so.
	claim     bool
	repeat    []bool
	streaming bool
	alone     bool
	advice    advisor
	inv       *invariant.Recorder

	phase    phase
	step     int
	stages   []stageState
	attempts []attempt
	// winner is the attempt whose tokens reach the caller; -1 while there is none.
	winner int
	tokens []string
	finish string
	usage  engine.Usage

	closeBy time.Time
	err     *apierr.Error
	replay  *dispatch.Outcome
	settle  settlement
	out     []action

	// Counts for metrics.
	dropped int
	resumed int
	retried int
	hedges  int
}

func newMachine(req *Request, advice advisor, inv *invariant.Recorder) *machine {
	m := &machine{
		plan:      req.Plan,
		deadline:  req.Deadline,
		claim:     req.NotRepeatable || !req.Plan.Repeatable(),
		streaming: req.Stream && req.Plan.CanStream(),
		advice:    advice,
		inv:       inv,
		stages:    make([]stageState, len(req.Plan.Stages)),
		repeat:    make([]bool, len(req.Plan.Stages)),
		winner:    -1,
	}
	for i, s := range req.Plan.Stages {
		m.repeat[i] = s.Spec.Repeatable && !req.NotRepeatable
	}
	return m
}

// take returns the actions that were put out since the last call.
func (m *machine) take() []action {
	out := m.out
	m.out = nil
	return out
}

// start begins the request with what the quarantine says of it.
func (m *machine) start(now time.Time, v dispatch.Verdict) []action {
	m.alone = v == dispatch.Suspect
	switch {
	case v == dispatch.Convicted:
		m.giveUp(now, m.errConvicted())
	case m.claim:
		m.phase = phaseClaiming
		m.out = append(m.out, action{kind: actClaim})
	default:
		m.phase = phaseRunning
		m.beginStep(now)
	}
	return m.take()
}

// claimed takes what the ledger said. err is nil, or says why the request must not run.
func (m *machine) claimed(now time.Time, c dispatch.Claim, err error) []action {
	if m.phase != phaseClaiming {
		return nil
	}
	switch {
	case err != nil:
		m.giveUp(now, apierr.From(err).WithRun(claimRun(err)))
	case c.Outcome != nil:
		m.replay = c.Outcome
		m.end()
	case !c.Granted:
		m.giveUp(now, errLedger())
	default:
		m.settle = settleAbandon
		m.phase = phaseRunning
		m.beginStep(now)
	}
	return m.take()
}

// acquired notes that an attempt has a slot on a server and is about to send.
func (m *machine) acquired(now time.Time, id int, server string) []action {
	a := &m.attempts[id]
	a.server = server
	s := &m.stages[a.stage]
	if m.phase != phaseRunning || a.cancelled || s.done || a.hedge || s.hedged || !s.hedgeAt.IsZero() {
		return nil
	}
	if d, ok := m.hedgeable(now, a.stage); ok {
		s.hedgeAt = now.Add(d)
	}
	return nil
}

func (m *machine) hedgeable(now time.Time, stage int) (time.Duration, bool) {
	if !m.repeat[stage] || !m.plan.Stages[stage].Spec.Hedge || m.alone {
		return 0, false
	}
	return m.advice.hedgeAfter(now, stage)
}

// faltered notes that an attempt failed whose cause is still being found and shared. No hedge starts meanwhile: the
// request may be what crashed the server.
func (m *machine) faltered(id int) []action {
	m.attempts[id].faltered = true
	m.stages[m.attempts[id].stage].hedgeAt = time.Time{}
	return nil
}

// token takes one event of a stream.
func (m *machine) token(now time.Time, id int, ev engine.Event) []action {
	a := &m.attempts[id]
	if m.phase != phaseRunning || a.cancelled || a.ended || (m.winner >= 0 && m.winner != id) {
		m.dropped++
		return nil
	}
	if ev.Usage != (engine.Usage{}) {
		m.usage = ev.Usage
	}
	if ev.FinishReason != "" {
		m.finish = ev.FinishReason
	}
	if ev.Text == "" {
		return nil
	}
	if ev.Index >= 0 && ev.Index < len(m.tokens) {
		if m.tokens[ev.Index] != ev.Text {
			m.broken(now, id, engine.WrongAttempt)
			return m.take()
		}
		m.dropped++
		return nil
	}
	if ev.Index < 0 || ev.Index > len(m.tokens) {
		m.broken(now, id, engine.Truncated)
		return m.take()
	}
	m.choose(id)
	a.used = true
	m.tokens = append(m.tokens, ev.Text)
	ev.End = false
	m.out = append(m.out, action{kind: actDeliver, event: ev})
	return m.take()
}

// choose makes an attempt the one whose tokens reach the caller and cancels the others.
func (m *machine) choose(id int) {
	if m.winner == id {
		return
	}
	m.winner = id
	m.stages[m.attempts[id].stage].hedgeAt = time.Time{}
	m.cancelOthers(id)
}

// broken ends a stream that can't be trusted any more: a token is missing or differs from the one delivered.
func (m *machine) broken(now time.Time, id int, k engine.Kind) {
	a := &m.attempts[id]
	a.ended = true
	a.sent = true
	a.cancelled = true
	m.out = append(m.out, action{kind: actCancel, attempt: id})
	m.failed(now, id, outcome{failure: &engine.Error{Kind: k, Server: a.server, Sent: true, Err: errStream}})
}

// ended takes how an attempt ended.
func (m *machine) ended(now time.Time, id int, o outcome) []action {
	a := &m.attempts[id]
	if a.ended {
		m.dropped++
		return nil
	}
	a.ended = true
	a.sent = o.sent()
	switch {
	case m.phase == phaseClosing:
		m.close(now)
	case m.phase != phaseRunning, a.cancelled, m.stages[a.stage].done:
		if o.failure == nil && o.slotErr == nil {
			m.dropped++
		}
	case o.slotErr != nil || o.failure != nil:
		m.failed(now, id, o)
	case m.streamed(a.stage) && o.tokens != len(m.tokens):
		m.failed(now, id, outcome{failure: &engine.Error{Kind: engine.Truncated, Server: a.server, Sent: true, Err: errStream}})
	default:
		m.answered(now, id, o.answer)
	}
	return m.take()
}

// answered completes a stage. The first whole answer wins.
func (m *machine) answered(now time.Time, id int, answer engine.Answer) {
	a := &m.attempts[id]
	s := &m.stages[a.stage]
	if !m.inv.Assert(!s.done, "stage-once", "stage %d completed twice", a.stage) {
		return
	}
	if m.streamed(a.stage) {
		m.choose(id)
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
	m.settleAnswered()
	m.end()
}

func (m *machine) settleAnswered() {
	if m.claim {
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

func (m *machine) cancel(id int) {
	a := &m.attempts[id]
	if a.ended || a.cancelled {
		return
	}
	a.cancelled = true
	m.out = append(m.out, action{kind: actCancel, attempt: id})
}

// beginStep starts the stages of the present step, or refuses when the deadline can't be met any more.
func (m *machine) beginStep(now time.Time) {
	needs := m.needs(now)
	if !m.meetable(now, needs) {
		m.giveUp(now, errUnmeetable())
		return
	}
	share := deadline.Of(now, m.deadline, needs[0], needs[1:])
	for _, i := range m.plan.Steps[m.step] {
		s := &m.stages[i]
		s.began = now
		s.cut = share.Cut
		s.target = share.Target
		m.advice.first(now)
		m.attempt(now, i, false)
	}
}

// needs returns what the present step and each one behind it need.
func (m *machine) needs(now time.Time) []deadline.Need {
	needs := make([]deadline.Need, 0, len(m.plan.Steps)-m.step)
	for _, step := range m.plan.Steps[m.step:] {
		var n deadline.Need
		for _, i := range step {
			one := m.advice.need(now, i)
			n.Minimum = max(n.Minimum, one.Minimum)
			n.Typical = max(n.Typical, one.Typical)
			n.High = max(n.High, one.High)
		}
		needs = append(needs, n)
	}
	return needs
}

// meetable reports whether going on makes sense. Before anything ran, what was learned counts; later only the
// configured minimum does, since the work done would be lost.
func (m *machine) meetable(now time.Time, needs []deadline.Need) bool {
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
	return m.step > 0 || m.advice.probe(now)
}

// attempt starts one more attempt at a stage.
func (m *machine) attempt(now time.Time, stage int, hedge bool) {
	s := &m.stages[stage]
	spec := attemptSpec{
		stage:  stage,
		hedge:  hedge,
		alone:  m.alone,
		target: s.target,
		cut:    s.cut,
		avoid:  m.avoid(stage),
	}
	spec.streamed = m.streamed(stage)
	if m.streamed(stage) && len(m.tokens) > 0 {
		spec.resumeFrom = len(m.tokens)
		spec.resumeText = strings.Join(m.tokens, "")
		m.resumed++
	}
	if !m.inv.Assert(m.repeat[stage] || !m.stageSent(stage), "not-repeatable-once", "stage %d may have run", stage) {
		m.giveUp(now, errBackend(&engine.Error{Kind: engine.Failed, Err: errStream}))
		return
	}
	s.attempts++
	m.attempts = append(m.attempts, attempt{stage: stage, hedge: hedge})
	m.out = append(m.out, action{kind: actAttempt, attempt: len(m.attempts) - 1, spec: spec})
}

// avoid names the servers that failed a stage or are at it now.
func (m *machine) avoid(stage int) []string {
	avoid := append([]string(nil), m.stages[stage].failed...)
	for _, a := range m.attempts {
		if a.stage == stage && !a.ended && a.server != "" {
			avoid = append(avoid, a.server)
		}
	}
	return avoid
}

// stageSent reports whether any byte of an attempt at the stage may have left.
func (m *machine) stageSent(stage int) bool {
	for _, a := range m.attempts {
		if a.stage == stage && (!a.ended || a.sent) {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether any byte of any stage call may have left.
func (m *machine) mayHaveRun() bool {
	for _, a := range m.attempts {
		if !a.ended || a.sent {
			return true
		}
	}
	return false
}
