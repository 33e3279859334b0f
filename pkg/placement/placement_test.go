package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

var now = time.Unix(100, 0)

func engines(n int) []Engine {
	var out []Engine
	for i := range n {
		out = append(out, Engine{ID: fmt.Sprint("e", i), Domain: string(rune('a' + i%3)), Slowness: 1})
	}
	return out
}

func prompt(session, request uint64) *dialect.Prompt {
	return &dialect.Prompt{Tokens: 9000, MaxOutput: 80, Parts: []dialect.Part{
		{ID: 1, Tokens: 2500}, {ID: 100 + session, Tokens: 3800}, {ID: 1000 + request, Tokens: 2700},
	}}
}

func bestEngine(placer *Placer, p *dialect.Prompt, list []Engine) string {
	return placer.Rank(Request{Prompt: p, Domain: "a"}, list, 380_000, now)[0].ID
}

// Two VMs without requests in flight choose the same engine for a session, and sessions spread over all engines.
func TestVMsAgreeOnTheEngineOfASession(t *testing.T) {
	list := engines(12)
	counts := map[string]int{}
	for s := range uint64(400) {
		a, b := NewPlacer(), NewPlacer()
		e := bestEngine(a, prompt(s, 1), list)
		require.Equal(t, e, bestEngine(b, prompt(s, 2), list))
		counts[e]++
	}
	require.Len(t, counts, 12)
	for e, n := range counts {
		require.Less(t, n, 70, "sessions on %s; the average is 33", e)
	}
}

// One session gets all the traffic: the requests that its engine can't prefill in time go to other engines.
func TestBusyEngineSpillsOver(t *testing.T) {
	list, placer := engines(12), NewPlacer()
	used := map[string]int{}
	for i := range uint64(24) {
		e := bestEngine(placer, prompt(7, i), list)
		used[e]++
		placer.Add(prompt(7, i), e, now)
	}
	require.Greater(t, len(used), 2)
	for _, n := range used {
		require.Less(t, n, 12)
	}
}

func TestCachedPrefixIsNotCountedUntilItExpires(t *testing.T) {
	placer := NewPlacer()
	s := placer.Add(prompt(7, 1), "e0", now)
	require.Equal(t, 2700, placer.engines["e0"].uncachedTokens(prompt(7, 2), now))
	require.Equal(t, 6500, placer.engines["e0"].uncachedTokens(prompt(8, 2), now), "only the first part is shared")
	require.Equal(t, 9000, placer.engines["e1"].uncachedTokens(prompt(7, 2), now))
	require.Equal(t, 9000, placer.engines["e0"].uncachedTokens(prompt(7, 2), now.Add(prefixTTL+time.Second)))
	placer.Remove(s, true)
	require.Equal(t, 9000, placer.engines["e0"].uncachedTokens(prompt(7, 2), now), "an engine that failed has nothing cached")
	require.Zero(t, placer.engines["e0"].running)
	require.Zero(t, placer.engines["e0"].prefillTokens)
	require.Zero(t, placer.engines["e0"].reservedTokens)
}

func TestSlowColdAndRemoteEnginesRankLower(t *testing.T) {
	list := engines(2)
	p := prompt(7, 1)
	best := bestEngine(NewPlacer(), p, list)
	for name, degrade := range map[string]func(e *Engine){
		"slow": func(e *Engine) { e.Slowness = 4 },
		"cold": func(e *Engine) { e.Cold = true },
	} {
		changed := engines(2)
		for i := range changed {
			if changed[i].ID == best {
				degrade(&changed[i])
			}
		}
		require.NotEqual(t, best, bestEngine(NewPlacer(), p, changed), name)
	}
	other := list[0].Domain
	if list[0].ID == best {
		other = list[1].Domain
	}
	r := Request{Prompt: p, InputMB: map[string]float64{other: 20}}
	require.NotEqual(t, best, NewPlacer().Rank(r, list, 0, now)[0].ID, "moving 20 MB of inputs out of the other engine's failure domain costs more than prefilling the session again")
}

func TestEngineWithFullMemoryRanksLower(t *testing.T) {
	list, placer := engines(2), NewPlacer()
	best := bestEngine(placer, prompt(7, 1), list)
	for i := range uint64(4) {
		placer.PrefillDone(placer.Add(prompt(7, i), best, now))
	}
	require.Equal(t, best, placer.Rank(Request{Prompt: prompt(7, 9)}, list, 380_000, now)[0].ID)
	require.NotEqual(t, best, placer.Rank(Request{Prompt: prompt(7, 9)}, list, 40_000, now)[0].ID)
}

func BenchmarkRankAmong112(b *testing.B) {
	list, placer := engines(112), NewPlacer()
	for i := 0; b.Loop(); i++ {
		placer.Rank(Request{Prompt: prompt(uint64(i%300), uint64(i)), Domain: "a"}, list, 380_000, now)
	}
}
