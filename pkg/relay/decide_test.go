package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

var (
	idempotent = &catalog.Route{Kind: catalog.Idempotent, MaxServers: 2}
	atMostOnce = &catalog.Route{Kind: catalog.AtMostOnce, MaxServers: 2}
	stream     = &catalog.Route{Kind: catalog.Stream, MaxServers: 2}
	resumable  = &catalog.Route{Kind: catalog.Stream, MaxServers: 2, Resumable: true}
)

func yes() bool { return true }
func no() bool  { return false }

func TestNext(t *testing.T) {
	cases := map[string]struct {
		s    situation
		want step
	}{
		"unsent goes on whatever the kind": {situation{ending: endedUnsent, route: atMostOnce, others: 1}, stepRepeat},
		"not run goes on whatever the kind": {
			situation{ending: endedNotRun, route: atMostOnce, others: 1}, stepRepeat,
		},
		"not run without budget": {
			situation{ending: endedNotRun, route: idempotent, others: 1, allowed: no}, stepRefuse,
		},
		"no other server":              {situation{ending: endedUnsent, route: idempotent}, stepRefuse},
		"unknown, idempotent":          {situation{ending: endedUnknown, route: idempotent, runs: 1, others: 1}, stepRepeat},
		"unknown, at most once":        {situation{ending: endedUnknown, route: atMostOnce, runs: 1, others: 1}, stepFail},
		"unknown, stream":              {situation{ending: endedUnknown, route: stream, runs: 1, others: 1}, stepFail},
		"unknown, resumable":           {situation{ending: endedUnknown, route: resumable, runs: 1, others: 1}, stepRepeat},
		"broken stream, resumable":     {situation{ending: endedUnknown, route: resumable, runs: 1, others: 1, delivered: true}, stepRepeat},
		"broken stream":                {situation{ending: endedUnknown, route: stream, runs: 1, others: 1, delivered: true}, stepCut},
		"one server ended":             {situation{ending: endedUnknown, route: idempotent, runs: 1, others: 1, crashes: 1}, stepRepeat},
		"servers go on ending":         {situation{ending: endedUnknown, route: idempotent, runs: 1, others: 1, crashes: 2}, stepFail},
		"servers ended, not run now":   {situation{ending: endedNotRun, route: idempotent, others: 1, crashes: 2}, stepRepeat},
		"as many servers as allowed":   {situation{ending: endedUnknown, route: idempotent, runs: 2, others: 1}, stepFail},
		"failure is repeated":          {situation{ending: endedFailed, route: idempotent, runs: 1, others: 1}, stepRepeat},
		"failure is delivered":         {situation{ending: endedFailed, route: atMostOnce, runs: 1, others: 1}, stepDeliver},
		"inputs gone, time left":       {situation{ending: endedGone, route: stream, restage: true}, stepRestage},
		"inputs gone, no time":         {situation{ending: endedGone, route: stream}, stepRefuse},
		"not run after a run that was": {situation{ending: endedNotRun, route: idempotent, runs: 1, others: 0}, stepFail},
		"answered":                     {situation{ending: endedWell, route: atMostOnce, runs: 1}, stepDeliver},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.s.left = time.Second
			if c.s.allowed == nil {
				c.s.allowed = yes
			}
			require.Equal(t, c.want, next(c.s))
		})
	}
}

func TestNextNeverRepeatsOrRefusesWhatMayHaveRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := situation{
			ending:    ending(rapid.IntRange(0, int(endedGone)).Draw(t, "ending")),
			route:     rapid.SampledFrom([]*catalog.Route{idempotent, atMostOnce, stream, resumable}).Draw(t, "route"),
			runs:      rapid.IntRange(0, 3).Draw(t, "runs"),
			sends:     rapid.IntRange(0, 5).Draw(t, "sends"),
			delivered: rapid.Bool().Draw(t, "delivered"),
			left:      time.Duration(rapid.IntRange(-10, 1000).Draw(t, "ms")) * time.Millisecond,
			others:    rapid.IntRange(0, 2).Draw(t, "others"),
			restage:   rapid.Bool().Draw(t, "restage"),
			allowed:   rapid.SampledFrom([]func() bool{yes, no}).Draw(t, "allowed"),
		}
		if s.ending == endedUnknown || s.ending == endedFailed || s.ending == endedWell {
			s.runs = max(s.runs, 1)
		}
		mayHaveRun := s.ending == endedUnknown || s.ending == endedFailed
		got := next(s)
		if got == stepRepeat && mayHaveRun && (!s.route.Repeatable() || s.runs >= s.route.MaxServers) {
			t.Fatalf("repeats %+v", s)
		}
		if got == stepRefuse && (s.runs > 0 || s.delivered) {
			t.Fatalf("refuses %+v", s)
		}
		if s.delivered && (got == stepFail || got == stepRestage) {
			t.Fatalf("answers twice %+v", s)
		}
	})
}

func TestHealthAvoidsAndForgives(t *testing.T) {
	h, now := newHealth(), time.Unix(100, 0)
	require.True(t, h.usable("s", now))
	h.failed("s", now)
	require.False(t, h.usable("s", now.Add(avoidFirst-1)))
	require.True(t, h.usable("s", now.Add(avoidFirst)))
	h.failed("s", now)
	require.False(t, h.usable("s", now.Add(avoidFirst)), "longer after the second failure in a row")
	require.Greater(t, h.suspicion("s", now), 1.0)
	require.Zero(t, h.suspicion("s", now.Add(failureMemory)))
	h.answered("pool", "s", 10*time.Millisecond, now)
	h.failed("s", now)
	require.True(t, h.usable("s", now.Add(avoidFirst)), "an answer ends the row")
}

func TestSlownessIsSeenAgainstTheService(t *testing.T) {
	h := newHealth()
	for range 50 {
		for _, s := range []string{"a", "b", "c"} {
			h.answered("pool", s, 60*time.Millisecond, time.Unix(100, 0))
		}
		h.answered("pool", "slow", 300*time.Millisecond, time.Unix(100, 0))
	}
	require.InDelta(t, 1, h.slowness("pool", "a"), 0.6)
	require.Greater(t, h.slowness("pool", "slow"), 2.0)
	require.InDelta(t, 1, h.slowness("pool", "unknown"), 0)
}

func TestQuietServerIsTrustedWhileItAnswers(t *testing.T) {
	h, now := newHealth(), time.Unix(100, 0)
	require.False(t, h.trusted("s", now))
	h.answered("pool", "s", time.Millisecond, now)
	require.True(t, h.trusted("s", now.Add(trustFor-1)))
	require.False(t, h.trusted("s", now.Add(trustFor)))
}
