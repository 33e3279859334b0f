package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/promise"
)

var (
	idempotent = &catalog.Route{Kind: catalog.Idempotent, MaxServers: 2}
	atMostOnce = &catalog.Route{Kind: catalog.AtMostOnce, MaxServers: 2}
	stream     = &catalog.Route{Kind: catalog.Stream, MaxServers: 2}
	resumable  = &catalog.Route{Kind: catalog.Stream, MaxServers: 2, Resumable: true}
)

func budgetLeft() bool   { return true }
func budgetUsedUp() bool { return false }

func TestNextAction(t *testing.T) {
	cases := map[string]struct {
		s    sendState
		want action
	}{
		"not sent, at most once": {sendState{status: sendNotSent, route: atMostOnce, untried: 1}, actionRetry},
		"not run, at most once": {
			sendState{status: sendNotRun, route: atMostOnce, untried: 1}, actionRetry,
		},
		"not run, no retry budget": {
			sendState{status: sendNotRun, route: idempotent, untried: 1, takeRetry: budgetUsedUp}, actionRefuse,
		},
		"not sent, no other server":               {sendState{status: sendNotSent, route: idempotent}, actionRefuse},
		"outcome unknown, idempotent":             {sendState{status: sendOutcomeUnknown, route: idempotent, runs: 1, untried: 1}, actionRetry},
		"outcome unknown, at most once":           {sendState{status: sendOutcomeUnknown, route: atMostOnce, runs: 1, untried: 1}, actionFail},
		"outcome unknown, stream":                 {sendState{status: sendOutcomeUnknown, route: stream, runs: 1, untried: 1}, actionFail},
		"outcome unknown, resumable stream":       {sendState{status: sendOutcomeUnknown, route: resumable, runs: 1, untried: 1}, actionRetry},
		"broken stream, resumable":                {sendState{status: sendOutcomeUnknown, route: resumable, runs: 1, untried: 1, delivered: true}, actionRetry},
		"broken stream":                           {sendState{status: sendOutcomeUnknown, route: stream, runs: 1, untried: 1, delivered: true}, actionAbort},
		"one server crashed":                      {sendState{status: sendOutcomeUnknown, route: idempotent, runs: 1, untried: 1, crashes: 1}, actionRetry},
		"two servers crashed":                     {sendState{status: sendOutcomeUnknown, route: idempotent, runs: 1, untried: 1, crashes: 2}, actionFail},
		"two servers crashed before, not run now": {sendState{status: sendNotRun, route: idempotent, untried: 1, crashes: 2}, actionRetry},
		"run by as many servers as allowed":       {sendState{status: sendOutcomeUnknown, route: idempotent, runs: 2, untried: 1}, actionFail},
		"server error, idempotent":                {sendState{status: sendServerFailed, route: idempotent, runs: 1, untried: 1}, actionRetry},
		"server error, at most once":              {sendState{status: sendServerFailed, route: atMostOnce, runs: 1, untried: 1}, actionDeliver},
		"inputs gone, time left":                  {sendState{status: sendInputsGone, route: stream, canRerunStages: true}, actionRerunStages},
		"inputs gone, no time":                    {sendState{status: sendInputsGone, route: stream}, actionRefuse},
		"not run now, may have run before":        {sendState{status: sendNotRun, route: idempotent, runs: 1, untried: 0}, actionFail},
		"answered":                                {sendState{status: sendAnswered, answer: 200, route: atMostOnce, runs: 1}, actionDeliver},
		"promising error, at most once":           {sendState{status: sendServerFailed, answer: 503, route: atMostOnce, runs: 1, untried: 1}, actionFail},
		"promising answer, stream":                {sendState{status: sendAnswered, answer: 429, route: stream, runs: 1, untried: 1}, actionFail},
		"promising error, idempotent":             {sendState{status: sendServerFailed, answer: 503, route: idempotent, runs: 2}, actionDeliver},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.s.remaining = time.Second
			if c.s.takeRetry == nil {
				c.s.takeRetry = budgetLeft
			}
			require.Equal(t, c.want, nextAction(c.s))
		})
	}
}

func TestNextActionIsSafeAfterPossibleRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sendState{
			answer:         rapid.SampledFrom([]int{200, 408, 421, 429, 500, 503}).Draw(t, "answer"),
			status:         sendStatus(rapid.IntRange(0, int(sendInputsGone)).Draw(t, "status")),
			route:          rapid.SampledFrom([]*catalog.Route{idempotent, atMostOnce, stream, resumable}).Draw(t, "route"),
			runs:           rapid.IntRange(0, 3).Draw(t, "runs"),
			sends:          rapid.IntRange(0, 5).Draw(t, "sends"),
			delivered:      rapid.Bool().Draw(t, "delivered"),
			remaining:      time.Duration(rapid.IntRange(-10, 1000).Draw(t, "remaining ms")) * time.Millisecond,
			untried:        rapid.IntRange(0, 2).Draw(t, "untried"),
			canRerunStages: rapid.Bool().Draw(t, "canRerunStages"),
			takeRetry:      rapid.SampledFrom([]func() bool{budgetLeft, budgetUsedUp}).Draw(t, "takeRetry"),
		}
		if s.status == sendOutcomeUnknown || s.status == sendServerFailed || s.status == sendAnswered {
			s.runs = max(s.runs, 1)
		}
		mayHaveRun := s.status == sendOutcomeUnknown || s.status == sendServerFailed
		got := nextAction(s)
		if got == actionRetry && mayHaveRun && (!s.route.Repeatable() || s.runs >= s.route.MaxServers) {
			t.Fatalf("retried although it must not run again: %+v", s)
		}
		if got == actionRefuse && (s.runs > 0 || s.delivered) {
			t.Fatalf("refused although it may have run: %+v", s)
		}
		if got == actionDeliver && promise.Made(s.answer) && !s.route.Repeatable() {
			t.Fatalf("passed on a promise although it may have run: %+v", s)
		}
		if s.delivered && (got == actionFail || got == actionRerunStages) {
			t.Fatalf("second answer after a partial one: %+v", s)
		}
	})
}

func TestBackoffDoublesAndEndsWithAnAnswer(t *testing.T) {
	h, now := newHealth(), time.Unix(100, 0)
	require.True(t, h.usable("s", now))
	h.recordFailure("s", now)
	require.False(t, h.usable("s", now.Add(minBackoff-1)))
	require.True(t, h.usable("s", now.Add(minBackoff)))
	h.recordFailure("s", now)
	require.False(t, h.usable("s", now.Add(minBackoff)), "the second consecutive failure doubles the backoff")
	require.Greater(t, h.failureScore("s", now), 1.0)
	require.Zero(t, h.failureScore("s", now.Add(failureDecayTime)))
	h.recordAnswer("pool", "s", 10*time.Millisecond, now)
	h.recordFailure("s", now)
	require.True(t, h.usable("s", now.Add(minBackoff)), "an answer resets the backoff")
}

func TestSlownessIsRelativeToTheService(t *testing.T) {
	h := newHealth()
	for range 50 {
		for _, s := range []string{"a", "b", "c"} {
			h.recordAnswer("pool", s, 60*time.Millisecond, time.Unix(100, 0))
		}
		h.recordAnswer("pool", "slow", 300*time.Millisecond, time.Unix(100, 0))
	}
	require.InDelta(t, 1, h.slowness("pool", "a", time.Unix(100, 0)), 0.6)
	require.Greater(t, h.slowness("pool", "slow", time.Unix(100, 0)), 2.0)
	require.InDelta(t, 1, h.slowness("pool", "unknown", time.Unix(100, 0)), 0)
}

func TestRecentlyAnswered(t *testing.T) {
	h, now := newHealth(), time.Unix(100, 0)
	require.False(t, h.recentlyAnswered("s", now))
	h.recordAnswer("pool", "s", time.Millisecond, now)
	require.True(t, h.recentlyAnswered("s", now.Add(answerTrustTime-1)))
	require.False(t, h.recentlyAnswered("s", now.Add(answerTrustTime)))
}
