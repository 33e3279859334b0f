package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// Parts of the prompts in these tests. Numbers above soundParts are parts that only some requests share.
const (
	routePart  = uint64(11)
	matePart   = uint64(12)
	crashPart  = uint64(13)
	soundParts = uint64(100)
)

// promptSender sends requests with prompts to a serverPool, as entry VMs do.
type promptSender struct {
	pool *serverPool

	mu sync.Mutex
	// crashTimes are the ends of servers under crashPart.
	crashTimes []time.Time
	// sent and refused count sound requests.
	sent, refused int
	// crashing is true while crashPart crashes servers.
	crashing bool
}

// send sends one request on two servers at most and reports whether it was refused at once. A server that begins to answer
// a prompt with crashPart ends.
func (s *promptSender) send(t *testing.T, q *quarantine.Tracker, r *rand.Rand, prefill time.Duration, parts ...uint64) (wasRefused bool) {
	deadly := false
	for _, p := range parts {
		deadly = deadly || p == crashPart
	}
	fingerprint := r.Uint64() | 1<<40
	if _, no := q.Admit(t.Context(), fingerprint, parts...); no {
		return true
	}
	for range 2 {
		if _, no := q.Refused(fingerprint, parts...); no {
			return false
		}
		n, incarnation, crashed, ok := s.pool.pick(r)
		if !ok {
			return false
		}
		run := q.Begin(targetOf(fmt.Sprint("s", n), incarnation), fingerprint, parts...)
		select {
		case <-crashed:
		case <-time.After(prefill):
			if !deadly || !s.isCrashing() {
				run.AnswerBegun()
				time.Sleep(50 * time.Millisecond)
				run.End()
				q.Served(fingerprint)
				return false
			}
			s.mu.Lock()
			s.crashTimes = append(s.crashTimes, time.Now())
			s.mu.Unlock()
			s.pool.crash(n)
		}
		time.Sleep(2 * time.Millisecond)
		run.Crashed()
		run.End()
	}
	return false
}

func (s *promptSender) isCrashing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashing
}

func (s *promptSender) countSound(refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if refused {
		s.refused++
	}
}

// lateCrashes returns how many servers ended later than 3 s after the fifth.
func (s *promptSender) lateCrashes() int {
	late := 0
	for _, at := range s.crashTimes {
		if len(s.crashTimes) >= 5 && at.Sub(s.crashTimes[4]) > 3*time.Second {
			late++
		}
	}
	return late
}

// Unlike requests with one deadly part come at six VMs, among sound ones that share their other parts, while failure domains
// are lost and, for even seeds, the control group has no leader for two seconds. Later than 3 s after the fifth crash three
// servers more may end at most, and few sound requests may be refused. Once the part is sound it is let in again.
func TestCrashingPartIsRefusedAndOthersServed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkCrashingPart(t, seed) })
		})
	}
}

func checkCrashingPart(t *testing.T, seed uint64) {
	g := &fakeControlGroup{r: rand.New(rand.NewPCG(seed, 1)), table: suspects.New()}
	for range 6 {
		g.trackers = append(g.trackers, quarantine.NewTracker(quarantine.TrackerOptions{
			Reporter: g, Clear: g.clear, TryPart: g.tryPart, Log: logr.Discard(),
		}))
	}
	s := &promptSender{pool: newServerPool(), crashing: true}
	const deadlyTime, soundTime = 30 * time.Second, 40 * time.Second
	start := time.Now()
	var wg sync.WaitGroup
	lastDeadlyRefused := true
	loop := func(n uint64, every time.Duration, one func(r *rand.Rand, q *quarantine.Tracker)) {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, n))
			for time.Since(start) < deadlyTime+soundTime {
				time.Sleep(every/2 + time.Duration(r.Int64N(int64(every))))
				one(r, g.trackers[r.IntN(len(g.trackers))])
			}
		})
	}
	prefill := func(r *rand.Rand) time.Duration { return time.Duration(20+r.IntN(300)) * time.Millisecond }
	loop(100, 700*time.Millisecond, func(r *rand.Rand, q *quarantine.Tracker) {
		lastDeadlyRefused = s.send(t, q, r, prefill(r), routePart, matePart, crashPart)
	})
	for n := range uint64(10) {
		loop(n, 300*time.Millisecond, func(r *rand.Rand, q *quarantine.Tracker) {
			s.countSound(s.send(t, q, r, prefill(r), routePart, soundParts+r.Uint64N(30)))
		})
	}
	loop(50, 2*time.Second, func(r *rand.Rand, q *quarantine.Tracker) {
		s.countSound(s.send(t, q, r, prefill(r), routePart, matePart))
	})
	loop(51, 4*time.Second, func(r *rand.Rand, _ *quarantine.Tracker) {
		domain := r.IntN(3)
		for n := range 3 {
			s.pool.crash(domain*3 + n)
		}
	})
	time.Sleep(time.Second)
	setLeaderless := func(v bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.leaderless = v
	}
	setLeaderless(seed%2 == 0)
	time.Sleep(2 * time.Second)
	setLeaderless(false)
	time.Sleep(time.Until(start.Add(deadlyTime)))
	s.mu.Lock()
	s.crashing = false
	s.mu.Unlock()
	wg.Wait()
	time.Sleep(suspects.SuspicionMs * time.Millisecond)
	t.Logf("%d crashes, %d late, %d of %d sound requests refused", len(s.crashTimes), s.lateCrashes(), s.refused, s.sent)
	require.LessOrEqual(t, s.lateCrashes(), 3, "of %d in all", len(s.crashTimes))
	require.GreaterOrEqual(t, len(s.crashTimes), 3)
	require.LessOrEqual(t, s.refused, s.sent/50, "sound requests that were refused")
	require.False(t, lastDeadlyRefused, "the part is still refused %v after it became sound", soundTime)
}

// reportedParts returns the parts that a report holds against its crash.
func reportedParts(c *daisyhatchv1.CrashCommand) []uint64 {
	var out []uint64
	for _, r := range c.GetUnanswered() {
		out = append(out, r.GetParts()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// A report holds what may have crashed the server: not what was being answered already, nor what was answered by another
// server since; and with a time that doesn't move while the report can't be made.
func TestReportHoldsPossibleCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReporter{failures: 3}
		q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: r, Log: logr.Discard()})
		early := q.Begin(targetOf("other", 0), 1, routePart)
		time.Sleep(time.Second)
		early.AnswerBegun()
		time.Sleep(time.Second)
		answered := q.Begin(targetOf("s", 0), 2, soundParts)
		waiting := q.Begin(targetOf("s", 0), 3, routePart, matePart, soundParts+1)
		elsewhere := q.Begin(targetOf("other", 0), 4, soundParts+1)
		time.Sleep(time.Second)
		answered.AnswerBegun()
		elsewhere.AnswerBegun()
		time.Sleep(time.Second)
		began := time.Now()
		answered.Crashed()
		waiting.Crashed()
		require.Eventually(t, func() bool { return len(r.sentReports()) > 0 }, time.Minute, 10*time.Millisecond)
		c := r.sentReports()[0]
		require.Equal(t, []uint64{routePart, matePart}, reportedParts(c))
		require.Len(t, c.GetAnswers(), 1)
		require.Equal(t, routePart, c.GetAnswers()[0].GetPart())
		require.InDelta(t, 3000, c.GetAnswers()[0].GetAgeMs(), 2)
		require.InDelta(t, time.Since(began).Milliseconds(), c.GetAgeMs(), 20)
		require.Positive(t, c.GetAgeMs())
		time.Sleep(suspects.SuspicionMs * time.Millisecond)
	})
}

// A VM that has answered a suspected part tells the control VMs, when it hears of the suspicion and when it answers again.
func TestAnswersToSuspectedPartsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []*daisyhatchv1.PartAnswer
		q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: &fakeReporter{}, Log: logr.Discard(),
			Clear: func(_ context.Context, c *daisyhatchv1.ClearSuspectsCommand) error {
				told = append(told, c.GetAnswers()...)
				return nil
			}})
		time.Sleep(time.Second)
		q.Begin(targetOf("s", 0), 1, routePart).AnswerBegun()
		time.Sleep(time.Second)
		list := []*daisyhatchv1.Suspect{{Fingerprint: routePart, Part: true, State: suspect, Crashes: 2}}
		for version := range uint64(3) {
			q.UpdateSuspects(version+1, list)
			synctest.Wait()
		}
		require.Len(t, told, 1, "each answer is told once")
		require.InDelta(t, 1000, told[0].GetAgeMs(), 2)
		for range 5 {
			q.Begin(targetOf("s", 0), 1, routePart).AnswerBegun()
		}
		synctest.Wait()
		require.Len(t, told, 2, "answers in quick succession are told once")
		require.InDelta(t, 0, told[1].GetAgeMs(), 2)
	})
}

// Of the parts that explain the same crashes, each may be tried at once, but not by a request that has several of them: its
// end would say nothing.
func TestRequestWithSeveralRefusedPartsIsNotTriedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: &fakeReporter{}, Log: logr.Discard(),
			TryPart: func(context.Context, uint64) (*daisyhatchv1.PartTrialResult, error) {
				asked++
				return &daisyhatchv1.PartTrialResult{Granted: true}, nil
			}})
		var list []*daisyhatchv1.Suspect
		for _, part := range []uint64{matePart, crashPart} {
			list = append(list, &daisyhatchv1.Suspect{Fingerprint: part, Part: true, State: convicted, Crashes: 3, ExpiresUnixMs: time.Now().UnixMilli()})
		}
		q.UpdateSuspects(1, list)
		wait, no := q.Admit(t.Context(), 1, matePart, crashPart)
		require.True(t, no)
		require.Equal(t, suspects.FirstRefusalMs*time.Millisecond, wait)
		require.Zero(t, asked)
		_, no = q.Admit(t.Context(), 2, matePart)
		require.False(t, no, "the trial")
		_, no = q.Refused(2, matePart)
		require.False(t, no, "the request on trial may be sent")
		_, no = q.Refused(3, matePart)
		require.True(t, no, "no other one")
		time.Sleep(suspects.FirstRefusalMs * time.Millisecond)
		_, no = q.Admit(t.Context(), 4, matePart, crashPart)
		require.False(t, no)
		require.Equal(t, 3, asked)
	})
}

// Servers that end again and again for a reason of their own, however many, cost no part its service for long.
func TestUnrelatedCrashesRefuseFewRequests(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeControlGroup{r: rand.New(rand.NewPCG(seed, 1)), table: suspects.New()}
			for range 6 {
				g.trackers = append(g.trackers, quarantine.NewTracker(quarantine.TrackerOptions{
					Reporter: g, Clear: g.clear, TryPart: g.tryPart, Log: logr.Discard(),
				}))
			}
			s := &promptSender{pool: newServerPool()}
			start := time.Now()
			var wg sync.WaitGroup
			for n := range uint64(16) {
				wg.Go(func() {
					r := rand.New(rand.NewPCG(seed, n))
					for time.Since(start) < time.Minute {
						time.Sleep(time.Duration(50+r.IntN(300)) * time.Millisecond)
						q := g.trackers[r.IntN(len(g.trackers))]
						s.countSound(s.send(t, q, r, time.Duration(20+r.IntN(300))*time.Millisecond, routePart, soundParts+r.Uint64N(40)))
					}
				})
			}
			wg.Go(func() {
				r := rand.New(rand.NewPCG(seed, 77))
				for time.Since(start) < time.Minute {
					time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
					s.pool.crash(r.IntN(poolSize))
				}
			})
			wg.Wait()
			time.Sleep(suspects.SuspicionMs * time.Millisecond)
			t.Logf("%d of %d sound requests refused", s.refused, s.sent)
			require.LessOrEqual(t, s.refused, s.sent/50)
		})
	}
}
