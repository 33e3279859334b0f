package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// TestServersNeverGetMoreThanTheirBudget runs Grantors and Holders through random faults (lost, late and duplicate
// messages, pauses, restarts, hand-overs) and checks, for each call that reaches a server, the calls that run there.
func TestServersNeverGetMoreThanTheirBudget(t *testing.T) {
	started, elapsed := 0, time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for _, h := range w.holders {
			h.want = 4
		}
		t.Repeat(w.actions())
		broken, _ := w.invariants.Violations()
		require.Empty(t, broken)
		started += w.startedCalls
		elapsed += w.now.Sub(time.Unix(1000, 0))
	})
	t.Logf("%d calls reached servers, %v of virtual time", started, elapsed)
	require.Greater(t, started, 1000, "too few calls reached servers for a meaningful check")
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	ms := func(t *rapid.T, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
	}
	run := func(t *rapid.T) {
		for range rapid.SampledFrom([]int{10, 50, 250}).Draw(t, "ticks") {
			w.tick()
		}
	}
	return map[string]func(*rapid.T){
		"run 1": run, "run 2": run, "run 3": run, "run 4": run, "run 5": run, "run 6": run,
		"cut holder": func(t *rapid.T) {
			w.holders[pick(t, simHolders)].cutUntil = w.now.Add(ms(t, 10000))
		},
		"pause holder": func(t *rapid.T) {
			w.holders[pick(t, simHolders)].pausedUntil = w.now.Add(ms(t, 5000))
		},
		"kill holder": func(t *rapid.T) {
			h := w.holders[pick(t, simHolders)]
			h.incarnation++
			h.Holder = NewHolder(Identity{VM: h.name, Incarnation: fmt.Sprint(h.incarnation), FailureDomain: "a"}, w.invariants)
			h.unsent = nil
		},
		"change want": func(t *rapid.T) {
			w.holders[pick(t, simHolders)].want = rapid.IntRange(0, 16).Draw(t, "want")
		},
		"cut grantor": func(t *rapid.T) {
			w.grantors[pick(t, simGrantors)].cutUntil = w.now.Add(ms(t, 6000))
		},
		"cut grantor from log": func(t *rapid.T) {
			w.grantors[pick(t, simGrantors)].logCutUntil = w.now.Add(ms(t, 6000))
		},
		"pause grantor": func(t *rapid.T) {
			w.grantors[pick(t, simGrantors)].pausedUntil = w.now.Add(ms(t, 4000))
		},
		"restart grantor": func(t *rapid.T) {
			w.restart(w.grantors[pick(t, simGrantors)])
		},
		"hand over": func(t *rapid.T) {
			w.handOver(w.servers[pick(t, simServers)], w.grantors[pick(t, simGrantors)])
		},
		"take out or bring back": func(t *rapid.T) {
			_, v := w.version()
			out := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "domain")
			w.versions = append(w.versions, version{w.now, simConfig(v.set.Pools[poolName].Concurrency, out)})
			if v.set.FailureDomains["a"].Out == (out == "a") && v.set.FailureDomains["b"].Out == (out == "b") {
				w.versions[len(w.versions)-1].at = v.at
			}
		},
		"change concurrency": func(t *rapid.T) { w.changeConcurrency(rapid.IntRange(2, 6).Draw(t, "concurrency")) },
		"restart server": func(t *rapid.T) {
			w.restartServer(w.servers[pick(t, simServers)])
		},
		"leave": func(t *rapid.T) {
			s := w.servers[pick(t, simServers)]
			if s.leaving.IsZero() {
				w.leave(s)
			}
		},
	}
}

func (w *simulation) changeConcurrency(n int) {
	_, v := w.version()
	out := ""
	for name, d := range v.set.FailureDomains {
		if d.Out {
			out = name
		}
	}
	w.versions = append(w.versions, version{v.at, simConfig(n, out)})
	for _, s := range w.servers {
		s.limits = append(s.limits, limitChange{w.now, n})
	}
}

// restartServer restarts the server's process; the calls that ran on it fail.
func (w *simulation) restartServer(s *simServer) {
	for c := range s.running {
		delete(s.running, c)
		w.finish(c, Outcome{Broken: true})
	}
	s.incarnation++
	s.completed = 0
	s.coldKnown, s.leaving = time.Time{}, time.Time{}
	s.announceAt = w.now
}

// leave makes the server announce, without delay, to the VM that grants in its shard that it is leaving.
func (w *simulation) leave(s *simServer) {
	g := w.owner(ShardOf(s.name))
	if !g.Holds(ShardOf(s.name), w.now) || g.servers[s.name] == nil {
		return
	}
	s.leaving = w.now
	s.announceAt = w.now
	a := proto.Clone(g.servers[s.name].ann).(*daisyhatchv1.Announcement)
	a.Incarnation = fmt.Sprint(s.incarnation)
	a.Leaving = true
	g.Announce(a, w.now)
}
