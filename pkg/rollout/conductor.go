package rollout

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// absentAfter is how long after its latest report a process of an entry VM is not waited for any longer.
const absentAfter = 3 * time.Second

// weighInterval is the least time between two verdicts, which take milliseconds after a minute of many servers' answers.
const weighInterval = 200 * time.Millisecond

// Conductor leads one roll-out on the judging control VM: it takes reports, deals out grants, and says which phase follows.
// It keeps no state that the next judge needs: reports are sums since the order, and leave out only what this judge has confirmed. It
// isn't safe for concurrent use.
type Conductor struct {
	rollout *daisyhatchv1.Rollout
	// startedAt, phaseAt and judgingSince are when the order was given, its phase was entered, and this VM began to judge, by
	// this VM's clock.
	startedAt, phaseAt, judgingSince time.Time
	dealer                           *Dealer
	judge                            *Judge
	processes                        map[process]*reporter
	verdict                          Verdict
	// weighedAt is when verdict was made; news is true if answers were reported since.
	weighedAt time.Time
	news      bool
	// servers is the number of servers of the version; othersSeen is true once one of another version was known.
	servers    int
	othersSeen bool
}

// reporter is what a process of an entry VM reported last.
type reporter struct {
	at               time.Time
	answers          map[answerKey]*daisyhatchv1.RolloutAnswers
	phase            daisyhatchv1.RolloutPhase
	runningElsewhere uint64
	// confirmed is the sequence of the latest report up to which all answers are known.
	confirmed uint64
	// partial is true while the latest report left out answers that this judge doesn't know.
	partial bool
}

// NewConductor returns the Conductor of a roll-out that was ordered age ago, or longer if a VM reports that it has known it for longer. cached is as for NewJudge.
func NewConductor(r *daisyhatchv1.Rollout, b Bounds, cached bool, age time.Duration, now time.Time) *Conductor {
	return &Conductor{
		rollout: r, startedAt: now.Add(-max(age, 0)), phaseAt: now, judgingSince: now, dealer: NewDealer(b, r.GetReserved()),
		judge: NewJudge(cached), processes: make(map[process]*reporter),
	}
}

// Number returns the number of the order.
func (c *Conductor) Number() uint64 { return c.rollout.GetNumber() }

func (c *Conductor) duration() time.Duration {
	return time.Duration(c.rollout.GetDurationMs()) * time.Millisecond
}

// Committed takes over the roll-out's record in the replicated log.
func (c *Conductor) Committed(r *daisyhatchv1.Rollout, now time.Time) {
	if r.GetPhase() != c.rollout.GetPhase() {
		c.phaseAt = now
	}
	c.rollout = r
	c.dealer.ReservedInAll(r.GetReserved())
}

// Servers takes over how many servers of the version, and of others, take requests.
func (c *Conductor) Servers(candidates, others int) {
	c.servers = candidates
	c.othersSeen = c.othersSeen || others > 0
}

// Report takes over a report and returns the grant that answers it.
func (c *Conductor) Report(r *daisyhatchv1.RolloutReport, now time.Time) *daisyhatchv1.RolloutGrant {
	if learned := now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond); learned.Before(c.startedAt) {
		c.startedAt = learned
	}
	stop := c.rollout.GetPhase() != Trial || c.verdict.Bad
	granted, latest := c.dealer.Deal(r, stop)
	p := c.reporter(r)
	if latest {
		c.record(p, r, now)
	}
	focus, round := c.dealer.Focus(c.servers, now.Sub(c.startedAt))
	return &daisyhatchv1.RolloutGrant{
		Service: c.rollout.GetService(), Number: c.rollout.GetNumber(), Granted: granted, ValidMs: GrantLifetime.Milliseconds(),
		Fraction: c.dealer.Fraction(now.Sub(c.startedAt), c.duration()), Focus: uint32(focus), Round: round,
		Confirmed: p.confirmed,
	}
}

// reporter returns what the process of a report has reported.
func (c *Conductor) reporter(r *daisyhatchv1.RolloutReport) *reporter {
	k := process{r.GetVm(), r.GetIncarnation()}
	p := c.processes[k]
	if p == nil {
		p = &reporter{answers: make(map[answerKey]*daisyhatchv1.RolloutAnswers)}
		c.processes[k] = p
	}
	return p
}

// record adds what a report has counted since the one before of its process. A report that leaves out answers that this judge
// doesn't know adds none: it may tell of one version only. All answers come with the next report, which is given no such base.
func (c *Conductor) record(p *reporter, r *daisyhatchv1.RolloutReport, now time.Time) {
	p.at, p.phase, p.runningElsewhere = now, r.GetPhase(), r.GetRunningElsewhere()
	if p.partial = r.GetBase() > p.confirmed; p.partial {
		c.othersSeen = c.othersSeen || slices.ContainsFunc(r.GetAnswers(), func(a *daisyhatchv1.RolloutAnswers) bool { return !a.GetCandidate() })
		return
	}
	p.confirmed = r.GetSequence()
	for _, a := range r.GetAnswers() {
		key := answerKey{route: a.GetRoute(), server: a.GetServer(), candidate: a.GetCandidate()}
		before := p.answers[key]
		if before == nil && len(p.answers) >= maxAnswerKeys {
			continue
		}
		p.answers[key] = a
		if d := difference(a, before); d.GetGood()+d.GetFailed() > 0 {
			// A judge that began after a fault may not have heard of all servers yet.
			c.othersSeen = c.othersSeen || !d.GetCandidate()
			c.judge.Add(d, now.Sub(c.startedAt))
			c.news = true
		}
	}
}

// difference returns what was counted between two reports.
func difference(a, before *daisyhatchv1.RolloutAnswers) *daisyhatchv1.RolloutAnswers {
	return &daisyhatchv1.RolloutAnswers{
		Route: a.GetRoute(), Candidate: a.GetCandidate(), Server: a.GetServer(),
		Good: less(a.GetGood(), before.GetGood()), Failed: less(a.GetFailed(), before.GetFailed()),
		First: lessEach(a.GetFirst(), before.GetFirst()), Whole: lessEach(a.GetWhole(), before.GetWhole()),
	}
}

func less(a, b uint64) uint64 { return a - min(a, b) }

func lessEach(a, b map[uint32]uint64) map[uint32]uint64 {
	out := make(map[uint32]uint64)
	for k, n := range a {
		if d := less(n, b[k]); d > 0 {
			out[k] = d
		}
	}
	return out
}

// Reserve returns the reservation to propose; false when none is called for.
func (c *Conductor) Reserve() (*daisyhatchv1.RolloutReservation, bool) {
	if c.rollout.GetPhase() != Trial {
		return nil, false
	}
	n, ok := c.dealer.Reserve()
	return &daisyhatchv1.RolloutReservation{
		Service: c.rollout.GetService(), Number: c.Number(), Base: c.dealer.reserved, Reserved: n,
	}, ok
}

// Reserved takes over a reservation that Reserve returned and the replicated log has accepted.
func (c *Conductor) Reserved(v *daisyhatchv1.RolloutReservation) {
	if v.GetNumber() == c.Number() {
		c.dealer.Reserved(v.GetBase(), v.GetReserved())
	}
}

// Next returns the phase that the roll-out is to enter now, and why; its own phase if it is to stay there. entries
// are the entry VMs, by the number that id returns for a name.
func (c *Conductor) Next(entries []uint64, id func(vm string) uint64, now time.Time) (phase daisyhatchv1.RolloutPhase, reason string) {
	if c.news && now.Sub(c.weighedAt) >= weighInterval {
		c.verdict, c.weighedAt, c.news = c.judge.Verdict(), now, false
	}
	return Next(Progress{
		Phase: c.rollout.GetPhase(), Elapsed: now.Sub(c.startedAt), InPhase: now.Sub(c.phaseAt),
		Duration: c.duration(), Verdict: c.verdict, Idle: c.idle(entries, id, now), Alone: c.servers > 0 && !c.othersSeen && !c.awaitsAnswers(now),
	})
}

// awaitsAnswers reports whether a process that reports has told only a part of its answers.
func (c *Conductor) awaitsAnswers(now time.Time) bool {
	for _, p := range c.processes {
		if p.partial && now.Sub(p.at) < absentAfter {
			return true
		}
	}
	return false
}

// idle reports whether all processes that report act on the phase of switching and run nothing at other versions, and neither an
// entry VM's first report nor all answers of a process are awaited.
func (c *Conductor) idle(entries []uint64, id func(vm string) uint64, now time.Time) bool {
	heard := make(map[uint64]bool)
	for k, p := range c.processes {
		if now.Sub(p.at) < absentAfter && (p.partial || p.phase < Switching || p.runningElsewhere > 0) {
			return false
		}
		heard[id(k.vm)] = true
	}
	awaited := slices.ContainsFunc(entries, func(e uint64) bool { return !heard[e] })
	return !awaited || now.Sub(c.judgingSince) >= absentAfter
}

// Exposed returns how many requests are known to have gone to the version on trial, and how many may have.
func (c *Conductor) Exposed() (known, most uint64) { return c.dealer.Exposed() }

// Evidence states the evidence of the latest verdict.
func (c *Conductor) Evidence() string { return c.verdict.Reason }
