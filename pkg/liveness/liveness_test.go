package liveness_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

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

// A server whose connection broke, and which ends much later, has not ended under the request.
func TestLaterEndOfAReachableServerDoesNotCount(t *testing.T) {
	f := newFixture(t, accept)
	run := f.tracker.Begin(liveness.Target(f.server), 1)
	require.Equal(t, liveness.Reachable, f.checker.Check(t.Context(), f.server, run))
	run.End()
	next := f.server
	next.Born = time.Now().Add(2 * time.Second).UnixMilli()
	f.board.announce(next)
	time.Sleep(600 * time.Millisecond)
	require.Zero(t, f.tracker.Crashes(1))
}
