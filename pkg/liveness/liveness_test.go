package liveness_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// board is a directory for several goroutines.
type board struct {
	mu  sync.Mutex
	dir *directory.Directory
}

func (b *board) announce(v directory.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dir.Merge(v)
}

func (b *board) Server(id string) (directory.Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dir.Get(id)
}

func (b *board) ServerAt(address string) (directory.Server, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dir.ByAddress(address)
}

// fixture is a Checker and one announced server whose address a test's dial function answers for.
type fixture struct {
	board   *board
	server  directory.Server
	tracker *quarantine.Tracker
	checker *liveness.Checker
}

func newFixture(t *testing.T, dial func(context.Context) (net.Conn, error)) *fixture {
	f := &fixture{
		board:   &board{dir: directory.New()},
		server:  directory.Server{ID: "a", Born: time.Now().Add(-time.Hour).UnixMilli(), Service: "s", Address: "10.0.0.1:80", State: directory.Ready, Heard: time.Now()},
		tracker: quarantine.NewTracker(quarantine.TrackerOptions{Log: logr.Discard()}),
	}
	pool := upstream.NewPool(func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx) })
	t.Cleanup(pool.Close)
	f.checker = liveness.New(pool, f.board)
	f.board.announce(f.server)
	return f
}

// accept is a dial function for an address that accepts connections.
func accept(context.Context) (net.Conn, error) {
	near, _ := net.Pipe()
	return near, nil
}

// awaitCrashes waits until n crashes count against request 1.
func (f *fixture) awaitCrashes(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.tracker.Crashes(1) == n }, 3*time.Second, 10*time.Millisecond)
}

// The process that has replaced a server accepts connections at its address before it is announced. The server counts as ended once
// it is.
func TestServerBackAtItsAddressHasEnded(t *testing.T) {
	for name, change := range map[string]func(*directory.Server){
		"same id":    func(*directory.Server) {},
		"another id": func(v *directory.Server) { v.ID = "b" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, accept)
			run := f.tracker.Begin(liveness.Target(f.server), 1)
			next := f.server
			next.Born = time.Now().UnixMilli()
			change(&next)
			require.Equal(t, liveness.Reachable, f.checker.Check(t.Context(), f.server, run))
			run.End()
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, f.tracker.Crashes(1))
			f.board.announce(next)
			f.awaitCrashes(t, 1)
		})
	}
}

// A server whose connection broke, and which ends later, has not ended under the request: it answered another one in between, or
// much time has passed.
func TestLaterEndOfAReachableServerDoesNotCount(t *testing.T) {
	for name, c := range map[string]struct {
		answers bool
		later   time.Duration
	}{"answers before it ends": {true, 2 * time.Second}, "ends much later": {false, 8 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, accept)
			run := f.tracker.Begin(liveness.Target(f.server), 1)
			require.Equal(t, liveness.Reachable, f.checker.Check(t.Context(), f.server, run))
			run.End()
			if c.answers {
				f.checker.Answered(f.server, time.Now())
			}
			next := f.server
			next.Born = time.Now().Add(c.later).UnixMilli()
			f.board.announce(next)
			time.Sleep(600 * time.Millisecond)
			require.Zero(t, f.tracker.Crashes(1))
		})
	}
}

// refuse is a dial function for an address at which nothing listens.
func refuse(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

// giveUp begins a run of request 1 that this VM gives up at once.
func (f *fixture) giveUp() {
	run := f.tracker.Begin(liveness.Target(f.server), 1)
	run.GiveUp()
	f.checker.GaveUp(f.server, run)
	run.End()
}

// A server that ends soon after this VM gave a call up has ended under it; one that lives, or ends after it answered another call, has not.
func TestServerThatEndsAfterItsCallWasGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		dial    func(context.Context) (net.Conn, error)
		answers bool
		// replaced is when another incarnation starts, after the call was given up; 0 means never.
		replaced time.Duration
		crashes  int
	}{
		"refuses connections":               {refuse, false, 0, 1},
		"is back at once":                   {accept, true, 50 * time.Millisecond, 1},
		"stalls, then is replaced":          {accept, false, 3 * time.Second, 1},
		"lives":                             {accept, true, 0, 0},
		"accepts connections":               {accept, false, 0, 0},
		"answers others, then is replaced":  {accept, true, 3 * time.Second, 0},
		"stalls for long, then is replaced": {accept, false, 9 * time.Second, 0},
		"is silent, then is replaced":       {hang, false, 3 * time.Second, 1},
		"is silent":                         {hang, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.dial)
			f.giveUp()
			begin := time.Now()
			time.Sleep(550 * time.Millisecond)
			if c.answers {
				f.checker.Answered(f.server, time.Now())
			}
			time.Sleep(550 * time.Millisecond)
			if c.replaced > 0 {
				next := f.server
				next.Born = begin.Add(c.replaced).UnixMilli()
				f.board.announce(next)
			}
			time.Sleep(700 * time.Millisecond)
			require.Equal(t, c.crashes, f.tracker.Crashes(1))
		})
	}
}

func hang(ctx context.Context) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Runs that were given up and that the server outlived clear the request; an accepted connection shows nothing.
func TestServerOutlivesGivenUpCalls(t *testing.T) {
	for name, c := range map[string]struct{ broken, answers, clears bool }{
		"answers":                        {false, true, true},
		"accepts connections":            {false, false, false},
		"answers, but connections broke": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, accept)
			list := []*daisyhatchv1.Suspect{{Fingerprint: 1, Crashes: 2, EndedServers: 2, State: daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT}}
			f.tracker.UpdateSuspects(1, list)
			connected := time.Now()
			for range 4 {
				if !c.broken {
					f.giveUp()
					continue
				}
				run := f.tracker.Begin(liveness.Target(f.server), 1)
				require.Equal(t, liveness.Reachable, f.checker.Check(t.Context(), f.server, run))
				run.End()
			}
			time.Sleep(550 * time.Millisecond)
			if c.answers {
				f.checker.Answered(f.server, connected)
			}
			time.Sleep(1300 * time.Millisecond)
			require.Equal(t, c.clears, f.tracker.Crashes(1) == 0)
		})
	}
}

// A server whose end nobody confirms at first is looked at again, whether the call broke or was given up. One that is back elsewhere under
// another id is never announced in its own place.
func TestSilentServerIsLookedAtAgain(t *testing.T) {
	for name, givenUp := range map[string]bool{"connection broke": false, "given up": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int32
			f := newFixture(t, func(ctx context.Context) (net.Conn, error) {
				if attempts.Add(1) <= 2 {
					return hang(ctx)
				}
				return refuse(ctx)
			})
			if givenUp {
				f.giveUp()
			} else {
				run := f.tracker.Begin(liveness.Target(f.server), 1)
				require.Equal(t, liveness.Silent, f.checker.Check(t.Context(), f.server, run))
				run.End()
			}
			time.Sleep(time.Second)
			require.Zero(t, f.tracker.Crashes(1))
			require.Eventually(t, func() bool { return f.tracker.Crashes(1) == 1 }, 6*time.Second, 20*time.Millisecond)
			require.EqualValues(t, 3, attempts.Load())
		})
	}
}

// Many calls to one silent server share the connection attempts to it.
func TestCallsShareLooksAtASilentServer(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int32
	f := newFixture(t, func(ctx context.Context) (net.Conn, error) {
		attempts.Add(1)
		return hang(ctx)
	})
	for range 20 {
		f.giveUp()
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	require.LessOrEqual(t, attempts.Load(), int32(5))
}

// The end of a server that another call finds out counts against a request that was given up just before as well.
func TestGivenUpCallIsStillOnItsServer(t *testing.T) {
	f := newFixture(t, refuse)
	f.giveUp()
	other := f.tracker.Begin(liveness.Target(f.server), 2)
	require.Equal(t, liveness.Ended, f.checker.Check(t.Context(), f.server, other))
	require.Equal(t, 1, f.tracker.Crashes(1))
	require.Equal(t, 1, f.tracker.Crashes(2))
}

// A server that ends long after a call was given up has not ended under it, whoever finds out.
func TestGivenUpCallLeavesItsServer(t *testing.T) {
	var down atomic.Bool
	f := newFixture(t, func(ctx context.Context) (net.Conn, error) {
		if down.Load() {
			return refuse(ctx)
		}
		return accept(ctx)
	})
	f.giveUp()
	time.Sleep(time.Second)
	down.Store(true)
	other := f.tracker.Begin(liveness.Target(f.server), 2)
	require.Equal(t, liveness.Ended, f.checker.Check(t.Context(), f.server, other))
	require.Zero(t, f.tracker.Crashes(1))
	require.Equal(t, 1, f.tracker.Crashes(2))
}
