package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// targetOf returns the target of the nth incarnation of a server.
func targetOf(server string, n int) engine.Target {
	return engine.Target{Server: server, Incarnation: fmt.Sprint(n)}
}

// crashInterval is longer than CommonCauseWindow, so that crashes this far apart count separately.
const crashInterval = 150 * time.Millisecond

// runAndCrash runs a request on a server that ends during the run.
func runAndCrash(t *quarantine.Tracker, fingerprint uint64, target engine.Target) {
	r := t.Begin(target, fingerprint)
	r.Crashed()
	r.End()
}

func refused(t *quarantine.Tracker, fingerprint uint64) bool {
	_, ok := t.Refused(fingerprint)
	return ok
}

// A VM that reaches no control VM refuses a request after three crashes that it saw itself.
func TestThreeCrashesConvictWithoutControlVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, reporter := range map[string]quarantine.Reporter{"no reporter": nil, "failing reporter": &fakeReporter{failures: 1 << 20}} {
			q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: reporter, Log: logr.Discard()})
			for n := range 3 {
				require.False(t, refused(q, 1), name)
				runAndCrash(q, 1, targetOf("s", n))
				require.Equal(t, n+1, q.Crashes(1), name)
				time.Sleep(crashInterval)
			}
			wait, ok := q.Refused(1)
			require.True(t, ok, name)
			require.Equal(t, suspects.ConvictionMs*time.Millisecond-crashInterval, wait, name)
			require.False(t, refused(q, 2), name)
			time.Sleep(suspects.ConvictionMs * time.Millisecond)
			require.False(t, refused(q, 1), name)
		}
		time.Sleep(suspects.SuspicionMs * time.Millisecond)
	})
}

func TestCrashesThatDoNotCount(t *testing.T) {
	newLocalTracker := func() *quarantine.Tracker {
		return quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
	}
	t.Run("several servers end at once", func(t *testing.T) {
		q := newLocalTracker()
		var runs []*quarantine.Run
		for n := range 9 {
			runs = append(runs, q.Begin(targetOf(fmt.Sprint("s", n), 0), 1))
		}
		for _, r := range runs {
			r.Crashed()
		}
		require.Equal(t, 1, q.Crashes(1))
	})
	t.Run("several servers end within milliseconds and are detected one by one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := newLocalTracker()
			for n := range 9 {
				runAndCrash(q, 1, targetOf(fmt.Sprint("s", n), 0))
				time.Sleep(5 * time.Millisecond)
			}
			require.Equal(t, 1, q.Crashes(1))
		})
	})
	t.Run("request is served between crashes", func(t *testing.T) {
		q := newLocalTracker()
		for n := range 4 {
			for i := range 2 {
				runAndCrash(q, 1, targetOf(fmt.Sprint("s", i), n))
				time.Sleep(crashInterval)
			}
			q.Served(1)
			require.Zero(t, q.Crashes(1))
		}
		require.False(t, refused(q, 1))
	})
	t.Run("one crash is detected repeatedly", func(t *testing.T) {
		q := newLocalTracker()
		for range 5 {
			runAndCrash(q, 1, targetOf("s", 0))
			time.Sleep(crashInterval)
		}
		require.Equal(t, 1, q.Crashes(1))
	})
}

// A request that was served long ago must still be refused if it crashes its servers now, as after an upgrade of the
// servers. The earlier success excuses only the first crash.
func TestEarlierSuccessExcusesOneCrash(t *testing.T) {
	q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
	q.Served(1)
	for n := range 4 {
		require.False(t, refused(q, 1))
		runAndCrash(q, 1, targetOf("s", n))
		time.Sleep(crashInterval)
	}
	require.True(t, refused(q, 1))
}

// A silent server may be found restarted, as a new incarnation, long after the request has left it. The crash must still
// count.
func TestCrashAfterRunEndedCounts(t *testing.T) {
	q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
	run := q.Begin(targetOf("s", 0), 1)
	run.End()
	require.Zero(t, q.Crashes(1))
	run.Crashed()
	require.Equal(t, 1, q.Crashes(1))
}

func TestOlderSuspectListsAreIgnored(t *testing.T) {
	q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
	q.UpdateSuspects(5, []*daisyhatchv1.Suspect{newSuspect(1, convicted, time.Hour)})
	require.True(t, refused(q, 1))
	q.UpdateSuspects(4, nil)
	require.True(t, refused(q, 1), "an older list must not clear a suspect")
	q.UpdateSuspects(6, nil)
	require.False(t, refused(q, 1))
	q.UpdateSuspects(5, []*daisyhatchv1.Suspect{newSuspect(1, convicted, time.Hour)})
	require.False(t, refused(q, 1), "an older list must not convict again")
}

// Crashes counted by other VMs don't make this VM refuse a request that it served within the last seconds; it has the
// request cleared on the other VMs too. A request that was served a minute ago is refused, since the servers may run
// another version by now.
func TestRecentlyServedSuspectIsClearedOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeControlGroup{r: rand.New(rand.NewPCG(1, 1)), table: suspects.New()}
		q := quarantine.NewTracker(quarantine.TrackerOptions{Reporter: g, Clear: g.clear, Log: logr.Discard()})
		q.Served(1)
		q.Served(2)
		for n := range 3 {
			_, err := g.table.Crash(&daisyhatchv1.CrashCommand{Server: fmt.Sprint(n), Fingerprints: []uint64{1}}, 1)
			require.NoError(t, err)
		}
		q.UpdateSuspects(g.table.Version(), []*daisyhatchv1.Suspect{newSuspect(1, convicted, time.Hour)})
		require.False(t, refused(q, 1))
		synctest.Wait()
		require.Nil(t, g.table.Get(1), "the suspect must be cleared on the control VMs")
		time.Sleep(time.Minute)
		q.UpdateSuspects(g.table.Version()+1, []*daisyhatchv1.Suspect{newSuspect(2, convicted, time.Hour)})
		require.True(t, refused(q, 2))
	})
}

// A lease is for one run that ends its server: the repeat of the same attempt needs another one.
func TestLeaseEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
		q.UpdateSuspects(1, []*daisyhatchv1.Suspect{{Fingerprint: 1, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: 1, EndedServers: 2}})
		require.True(t, q.MayRun(1, nil), "other VMs may still clear the request")
		time.Sleep(time.Second)
		require.False(t, q.MayRun(1, nil))
		lease, _, ok := q.LeaseRun(t.Context(), 1)
		require.True(t, ok)
		require.True(t, q.MayRun(1, lease))
		runAndCrash(q, 1, targetOf("s", 1))
		require.False(t, q.MayRun(1, lease))
	})
}

// Control VMs that are in contact and don't answer in time may have leased the run to another VM: no copy is sent then. Once
// they are out of contact, one copy at a time runs on the VM.
func TestLeaseWhileControlVMsDoNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inContact := true
		q := quarantine.NewTracker(quarantine.TrackerOptions{
			Reporter: &fakeReporter{}, InContact: func() bool { return inContact }, Log: logr.Discard(),
			LeaseRun: func(ctx context.Context, _ uint64) (*daisyhatchv1.RunLeaseResult, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		})
		q.UpdateSuspects(1, []*daisyhatchv1.Suspect{{Fingerprint: 1, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT, Crashes: 1, EndedServers: 2}})
		time.Sleep(time.Second)
		_, wait, ok := q.LeaseRun(t.Context(), 1)
		require.False(t, ok)
		require.Equal(t, time.Second, wait)
		inContact = false
		lease, _, ok := q.LeaseRun(t.Context(), 1)
		require.True(t, ok)
		require.True(t, q.MayRun(1, lease))
		_, _, ok = q.LeaseRun(t.Context(), 1)
		require.False(t, ok, "another copy on this VM has the lease")
		time.Sleep(suspects.RunLeaseMs * time.Millisecond)
		_, _, ok = q.LeaseRun(t.Context(), 1)
		require.True(t, ok)
	})
}

// Memory must stay bounded when many servers end under many different requests.
func TestTrackerSizeIsBounded(t *testing.T) {
	q := quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()})
	for i := range uint64(suspects.MaxSuspects + 500) {
		runAndCrash(q, i, targetOf(fmt.Sprint(i), 0))
		q.Served(1 << 40 * (i + 1))
	}
	require.LessOrEqual(t, q.Size(), suspects.MaxSuspects+4096)
}

// fakeControlGroup stands for the control VMs: one table that all trackers report to and whose lists they receive with a
// delay.
type fakeControlGroup struct {
	mu       sync.Mutex
	r        *rand.Rand
	table    *suspects.Table
	trackers []*quarantine.Tracker
	// leaderless is true while reports fail for lack of a leader.
	leaderless bool
}

var errNoLeader = errors.New("no leader")

// ReportCrash implements quarantine.Reporter.
func (g *fakeControlGroup) ReportCrash(_ context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error) {
	time.Sleep(g.randomDelay(40))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return nil, errNoLeader
	}
	res, err := g.table.Crash(c, time.Now().UnixMilli())
	g.table.CrashParts(c, time.Now().UnixMilli())
	g.broadcast()
	return res, err
}

func (g *fakeControlGroup) clear(_ context.Context, c *daisyhatchv1.ClearSuspectsCommand) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return errNoLeader
	}
	g.table.Clear(c.GetFingerprints())
	g.table.Answered(c.GetAnswers(), time.Now().UnixMilli())
	g.broadcast()
	return nil
}

func (g *fakeControlGroup) tryPart(_ context.Context, part uint64) (*daisyhatchv1.PartTrialResult, error) {
	time.Sleep(g.randomDelay(40))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return nil, errNoLeader
	}
	r := g.table.TryPart(&daisyhatchv1.PartTrialCommand{Part: part}, time.Now().UnixMilli())
	g.broadcast()
	return r, nil
}

func (g *fakeControlGroup) leaseRun(_ context.Context, fingerprint uint64) (*daisyhatchv1.RunLeaseResult, error) {
	time.Sleep(g.randomDelay(40))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderless {
		return nil, errNoLeader
	}
	return g.table.LeaseRun(&daisyhatchv1.RunLeaseCommand{Fingerprint: fingerprint}, time.Now().UnixMilli()), nil
}

// randomDelay returns a random duration of 1 to maxMs milliseconds.
func (g *fakeControlGroup) randomDelay(maxMs int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(1+g.r.IntN(maxMs)) * time.Millisecond
}

// broadcast sends the list to each tracker within 400 ms, possibly out of order; g.mu must be held.
func (g *fakeControlGroup) broadcast() {
	version := g.table.Version()
	list := g.table.Parts()
	for _, r := range g.table.Records() {
		if s := r.GetSuspect(); suspects.IsShared(s) {
			list = append(list, proto.CloneOf(s))
		}
	}
	for _, q := range g.trackers {
		time.AfterFunc(time.Duration(1+g.r.IntN(400))*time.Millisecond, func() { q.UpdateSuspects(version, list) })
	}
}

// serverPool simulates backend servers. A server crashes under the request crashingFingerprint, or when the test crashes
// it.
type serverPool struct {
	mu sync.Mutex
	// incarnations holds each server's current incarnation, -1 while the server is down.
	incarnations []int
	// crashed holds a channel per server that is closed when the server crashes.
	crashed []chan struct{}
}

const (
	poolSize            = 9
	crashingFingerprint = uint64(7)
	restartTime         = 700 * time.Millisecond
)

func newServerPool() *serverPool {
	f := &serverPool{incarnations: make([]int, poolSize)}
	for range poolSize {
		f.crashed = append(f.crashed, make(chan struct{}))
	}
	return f
}

// crash ends a server, which is back as a new incarnation after restartTime.
func (f *serverPool) crash(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnations[n] < 0 {
		return
	}
	next := f.incarnations[n] + 1
	f.incarnations[n] = -1
	close(f.crashed[n])
	time.AfterFunc(restartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.incarnations[n], f.crashed[n] = next, make(chan struct{})
	})
}

// pick returns a random running server.
func (f *serverPool) pick(r *rand.Rand) (n, incarnation int, crashed <-chan struct{}, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 3 * poolSize {
		if n = r.IntN(poolSize); f.incarnations[n] >= 0 {
			return n, f.incarnations[n], f.crashed[n], true
		}
	}
	return 0, 0, nil, false
}

// send runs a request as an entry VM does, on two servers at most. It reports whether the request was refused.
func (f *serverPool) send(q *quarantine.Tracker, r *rand.Rand, fingerprint uint64, duration time.Duration, onCrashingRun func()) (wasRefused bool) {
	var lease *quarantine.RunLease
	for range 2 {
		if refused(q, fingerprint) {
			return true
		}
		if !q.MayRun(fingerprint, lease) {
			var ok bool
			if lease, _, ok = q.LeaseRun(context.Background(), fingerprint); !ok {
				return true
			}
		}
		n, incarnation, crashed, ok := f.pick(r)
		if !ok {
			return false
		}
		run := q.Begin(targetOf(fmt.Sprint("s", n), incarnation), fingerprint)
		if fingerprint == crashingFingerprint {
			onCrashingRun()
			f.crash(n)
		}
		select {
		case <-crashed:
			time.Sleep(2 * time.Millisecond)
			run.Crashed()
			run.End()
		case <-time.After(duration):
			run.End()
			q.Served(fingerprint)
			return false
		}
		if q.Crashes(fingerprint) >= 2 {
			return false
		}
	}
	return false
}

// One request crashes its servers and is sent again and again to six VMs, among other requests of which some are alike,
// while failure domains are lost and, for even seeds, the control group has no leader for two seconds. More than 3 s
// after its third crash it may crash three more servers at most, and no other request may be refused.
func TestCrashingRequestIsRefusedAndOthersServed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkCrashingRequest(t, seed, func(r *rand.Rand, send func()) {
					time.Sleep(time.Duration(50+r.IntN(400)) * time.Millisecond)
					send()
				})
			})
		})
	}
}

// The same when copies of the request come in rounds: two to four at the same moment, up to 4 s after the round before.
func TestCopiesOfACrashingRequestAreRefusedAndOthersServed(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkCrashingRequest(t, seed, func(r *rand.Rand, send func()) {
					var wg sync.WaitGroup
					for range 2 + r.IntN(3) {
						wg.Go(send)
					}
					wg.Wait()
					time.Sleep(time.Duration(500+r.IntN(3500)) * time.Millisecond)
				})
			})
		})
	}
}

// checkCrashingRequest checks that a request which crashes its servers is refused and no other is. round sends the request once
// or several times.
func checkCrashingRequest(t *testing.T, seed uint64, round func(r *rand.Rand, send func())) {
	g := &fakeControlGroup{r: rand.New(rand.NewPCG(seed, 1)), table: suspects.New()}
	for range 6 {
		g.trackers = append(g.trackers, quarantine.NewTracker(quarantine.TrackerOptions{Reporter: g, Clear: g.clear, LeaseRun: g.leaseRun, Log: logr.Discard()}))
	}
	f := newServerPool()
	var (
		mu              sync.Mutex
		crashTimes      []time.Time
		innocentRefused int
		wg              sync.WaitGroup
	)
	endTime := time.Now().Add(20 * time.Second)
	sendRepeatedly := func(n uint64, fingerprint func(r *rand.Rand) uint64) {
		r := rand.New(rand.NewPCG(seed, n))
		for time.Now().Before(endTime) {
			time.Sleep(time.Duration(50+r.IntN(400)) * time.Millisecond)
			wasRefused := f.send(g.trackers[r.IntN(len(g.trackers))], r, fingerprint(r), time.Duration(5+r.IntN(300))*time.Millisecond, func() {})
			if wasRefused {
				mu.Lock()
				innocentRefused++
				mu.Unlock()
			}
		}
	}
	onCrashingRun := func() {
		mu.Lock()
		defer mu.Unlock()
		crashTimes = append(crashTimes, time.Now())
	}
	wg.Go(func() {
		r := rand.New(rand.NewPCG(seed, 100))
		for time.Now().Before(endTime) {
			round(r, func() {
				mu.Lock()
				r := rand.New(rand.NewPCG(r.Uint64(), 1))
				mu.Unlock()
				q := g.trackers[r.IntN(len(g.trackers))]
				f.send(q, r, crashingFingerprint, time.Duration(5+r.IntN(300))*time.Millisecond, onCrashingRun)
			})
		}
	})
	for n := range uint64(20) {
		wg.Go(func() { sendRepeatedly(n, func(r *rand.Rand) uint64 { return 1000 + r.Uint64N(8) }) })
		wg.Go(func() { sendRepeatedly(50+n, func(r *rand.Rand) uint64 { return r.Uint64() | 1<<40 }) })
	}
	wg.Go(func() {
		r := rand.New(rand.NewPCG(seed, 999))
		for time.Now().Before(endTime) {
			time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
			for n := range 3 {
				f.crash(r.IntN(3)*3 + n)
			}
		}
	})
	// For even seeds, the control group has no leader for two seconds.
	time.Sleep(time.Second)
	g.mu.Lock()
	g.leaderless = seed%2 == 0
	g.mu.Unlock()
	time.Sleep(2 * time.Second)
	g.mu.Lock()
	g.leaderless = false
	g.mu.Unlock()
	wg.Wait()
	time.Sleep(suspects.SuspicionMs * time.Millisecond)
	lateCrashes := 0
	for _, at := range crashTimes {
		if len(crashTimes) >= 3 && at.Sub(crashTimes[2]) > 3*time.Second {
			lateCrashes++
		}
	}
	require.LessOrEqual(t, lateCrashes, 3, "too many late crashes, of %d in all", len(crashTimes))
	require.Zero(t, innocentRefused, "requests were refused that crash no server")
	require.GreaterOrEqual(t, len(crashTimes), 3)
}
