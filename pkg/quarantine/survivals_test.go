package quarantine_test

import (
	"fmt"
	"math/rand/v2"
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

// settle is how long after a run was given up it is known what became of its server.
const settle = 500 * time.Millisecond

// giveUpRun runs request 1 on a server, gives the run up, and tells what became of the server after settle.
func giveUpRun(q *quarantine.Tracker, server string, n int, ended bool) {
	r := q.Begin(targetOf(server, n), 1)
	time.Sleep(15 * time.Millisecond)
	r.GiveUp()
	r.End()
	time.Sleep(settle)
	if ended {
		r.Crashed()
		r.Settled()
		return
	}
	r.Settled()
	r.Survived()
}

// A request that ends its servers is refused although callers leave it, and although some of its runs are given up before they
// begin.
func TestGivenUpRequestThatCrashesServersIsRefused(t *testing.T) {
	for _, survives := range []int{0, 2, 3, 5} {
		t.Run(fmt.Sprint("one run left in ", survives), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
				ends := 0
				for n := 1; !refused(q, 1); n++ {
					well := survives > 0 && n%survives == 0
					giveUpRun(q, "s", n, !well)
					if !well {
						ends++
					}
					require.LessOrEqual(t, ends, 6)
				}
				require.GreaterOrEqual(t, ends, 3)
			})
		})
	}
}

// Callers give a sound request up all the time on three VMs, while servers end for other reasons, alone and many at once. No VM
// refuses it or makes it wait for a copy.
func TestGivenUpSoundRequestIsNotSuspect(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &fakeControlGroup{r: rand.New(rand.NewPCG(seed, 1)), table: suspects.New()}
				for range 3 {
					g.trackers = append(g.trackers, quarantine.NewTracker(quarantine.TrackerOptions{Reporter: g, Clear: g.clear, Log: logr.Discard()}))
				}
				f := &endingServers{r: rand.New(rand.NewPCG(seed, 2)), born: make([]int, 8)}
				kept, at := 0, []int(nil)
				for i := range 600 {
					f.step()
					for _, q := range g.trackers {
						if refused(q, 1) || !q.MayRun(1, nil) {
							kept++
							at = append(at, i)
						}
						go f.run(q)
					}
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(time.Minute)
				require.Zero(t, kept, at)
			})
		})
	}
}

// endingServers are eight servers of which one ends each half second or so, and half of them now and then.
type endingServers struct {
	mu   sync.Mutex
	r    *rand.Rand
	born []int
}

func (f *endingServers) step() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.born {
		if f.r.IntN(80) == 0 {
			f.born[i]++
		}
	}
	if f.r.IntN(100) == 0 {
		for i := range f.born {
			f.born[i] += f.r.IntN(2)
		}
	}
}

func (f *endingServers) incarnation(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.born[i]
}

// run gives up a run of request 1 on one of the servers.
func (f *endingServers) run(q *quarantine.Tracker) {
	f.mu.Lock()
	i := f.r.IntN(len(f.born))
	f.mu.Unlock()
	n := f.incarnation(i)
	r := q.Begin(targetOf(fmt.Sprint("s", i), n), 1)
	time.Sleep(15 * time.Millisecond)
	r.GiveUp()
	r.End()
	time.Sleep(settle)
	ended := f.incarnation(i) != n
	if ended {
		r.Crashed()
	}
	r.Settled()
	if !ended {
		r.Survived()
	}
}

// Each of these leaves a sound request unsuspected by itself.
func TestSurvivalsOfGivenUpRuns(t *testing.T) {
	begin := func(q *quarantine.Tracker, n int) *quarantine.Run {
		r := q.Begin(targetOf("s", n), 1)
		r.GiveUp()
		r.Settled()
		return r
	}
	suspect := []*daisyhatchv1.Suspect{{Fingerprint: 1, State: convicted, Crashes: 3, EndedServers: 3, ExpiresUnixMs: time.Now().Add(time.Hour).UnixMilli()}}
	t.Run("two excuse an end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
			for n := range 9 {
				r := begin(q, n)
				if n%3 == 2 {
					r.Crashed()
				} else {
					r.Survived()
				}
				time.Sleep(2 * time.Second)
				require.Zero(t, q.Crashes(1))
			}
		})
	})
	t.Run("two excuse servers that end together", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
			begin(q, 0).Survived()
			begin(q, 1).Survived()
			for n := range 4 {
				begin(q, 2+n).Crashed()
				time.Sleep(200 * time.Millisecond)
			}
			require.Zero(t, q.Crashes(1))
			time.Sleep(time.Second)
			begin(q, 9).Crashed()
			require.Equal(t, 1, q.Crashes(1))
		})
	})
	t.Run("one does not", func(t *testing.T) {
		q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
		begin(q, 0).Survived()
		begin(q, 1).Crashed()
		require.Equal(t, 1, q.Crashes(1))
	})
	t.Run("an end waits for the verdict on other servers", func(t *testing.T) {
		for _, survives := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
				ended, one, two := begin(q, 0), begin(q, 1), begin(q, 2)
				ended.Crashed()
				require.Zero(t, q.Crashes(1))
				time.Sleep(time.Second)
				if survives {
					one.Survived()
					two.Survived()
				}
				time.Sleep(time.Second)
				require.Equal(t, survives, q.Crashes(1) == 0)
			})
		}
	})
	t.Run("an end does not wait for another run on the same server", func(t *testing.T) {
		q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
		ended := begin(q, 0)
		begin(q, 0)
		ended.Crashed()
		require.Equal(t, 1, q.Crashes(1))
	})
	t.Run("four clear a suspect that becomes known", func(t *testing.T) {
		g := &fakeControlGroup{r: rand.New(rand.NewPCG(1, 1)), table: suspects.New()}
		q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: g, Clear: g.clear, Log: logr.Discard()})
		for n := range 4 {
			begin(q, n).Survived()
		}
		q.UpdateSuspects(1, suspect)
		require.False(t, refused(q, 1))
	})
	t.Run("four clear a suspect that is known", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeControlGroup{r: rand.New(rand.NewPCG(1, 1)), table: suspects.New()}
			for n := range 3 {
				_, err := g.table.Crash(&daisyhatchv1.CrashCommand{Server: fmt.Sprint(n), Fingerprints: []uint64{1}}, 1)
				require.NoError(t, err)
			}
			q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: g, Clear: g.clear, Log: logr.Discard()})
			q.UpdateSuspects(g.table.Version(), suspect)
			for n := range 4 {
				require.True(t, refused(q, 1))
				begin(q, n).Survived()
			}
			require.False(t, refused(q, 1))
			synctest.Wait()
			require.Nil(t, g.table.Get(1), "the suspect must be cleared on the control VMs")
		})
	})
}
