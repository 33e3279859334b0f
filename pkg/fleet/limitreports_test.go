package fleet

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// limitFeeds are the follow streams between two control VMs and from each of them to one entry VM.
type limitFeeds struct {
	controls, entries [2]*State
	toPeer, toEntry   [2]*feed
	// told counts the limits in all messages.
	told int
}

func newLimitFeeds() *limitFeeds {
	f := &limitFeeds{}
	for i := range f.controls {
		f.controls[i], f.entries[i] = NewState(StateOptions{}), NewState(StateOptions{})
		c := NewControl(ControlOptions{State: f.controls[i]}, nil)
		f.toPeer[i], f.toEntry[i] = &feed{control: c, peer: true}, &feed{control: c}
	}
	return f
}

func (f *limitFeeds) pass(from *feed, to *State, now time.Time) {
	m := &daisyhatchv1.FollowResponse{}
	from.fillLimits(m, now)
	from.snapshotSent = true
	f.told += len(m.GetLimits())
	to.mergeLimits(limitsFromWire(m.GetLimits(), now), false)
}

// run passes messages on all streams for d.
func (f *limitFeeds) run(from time.Time, d time.Duration) time.Time {
	end := from.Add(d)
	for at := from; at.Before(end); at = at.Add(followHeartbeat) {
		for i := range f.controls {
			f.pass(f.toPeer[i], f.controls[1-i], at.Add(3*time.Millisecond))
			f.pass(f.toEntry[i], f.entries[i], at.Add(5*time.Millisecond))
		}
	}
	return end
}

// An entry VM that gets no answer of a server must learn of its limit and of the limit's end, or each VM sends a first request
// freely, and a VM without a share never hears that the limit is over.
func TestServerLimitReachesVMsThatGetNoAnswer(t *testing.T) {
	now := time.Now()
	f := newLimitFeeds()
	now = f.run(now, time.Second)
	f.controls[0].mergeLimits([]serverlimit.Limit{{Server: "x", Born: 1, Rate: 2, At: now}}, true)
	now = f.run(now, 2*followHeartbeat)
	for i, s := range f.entries {
		_, ok := s.limits.InForce("x", 1)
		require.True(t, ok, "entry VM %d", i)
	}
	require.Equal(t, 3, f.told, "each VM is told once")
	for range 10 {
		now = f.run(now, serverlimit.ConfirmInterval/2)
		f.controls[0].mergeLimits([]serverlimit.Limit{{Server: "x", Born: 1, Rate: 2, At: now}}, true)
	}
	require.LessOrEqual(t, f.told, 3*7, "a limit that goes on is confirmed every %v", serverlimit.ConfirmInterval)
	require.Empty(t, f.entries[1].limits.Expire(now))
	late := NewState(StateOptions{})
	f.pass(&feed{control: f.toEntry[1].control}, late, now)
	_, ok := late.limits.InForce("x", 1)
	require.True(t, ok, "an entry VM that starts is told at once")
	f.controls[1].mergeLimits([]serverlimit.Limit{{Server: "x", Born: 1, Ended: true, At: now.Add(time.Second)}}, true)
	f.run(now.Add(2*time.Second), 2*followHeartbeat)
	for i, s := range f.entries {
		_, ok := s.limits.InForce("x", 1)
		require.False(t, ok, "entry VM %d", i)
	}
}

// An entry VM tells a control VM at once, again when a report failed, and a control VM that it begins to follow later.
func TestServerLimitsAreReportedToControlVMs(t *testing.T) {
	control := NewControl(ControlOptions{State: NewState(StateOptions{}), Log: logr.Discard()}, nil)
	path, handler := control.Handler()
	down := true
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if down {
			down = false
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	state := NewState(StateOptions{})
	f := NewFollower(FollowerOptions{State: state, HTTP: server.Client(), Log: logr.Discard()})
	address := server.Listener.Addr().String()
	f.streams[address] = &followStream{openedAt: time.Now()}
	go f.reportLimits(t.Context())
	state.RecordLimit(serverlimit.Limit{Server: "x", Born: 1, Rate: 2, At: time.Now()})
	require.Eventually(t, func() bool { return control.opts.State.LimitCount() == 1 }, 5*time.Second, 10*time.Millisecond)

	control.opts.State.mergeLimits([]serverlimit.Limit{{Server: "x", Born: 1, Ended: true, At: time.Now().Add(time.Hour)}}, true)
	require.Zero(t, control.opts.State.LimitCount())
	control.opts.State.expireLimits(time.Now().Add(3 * time.Hour))
	f.mu.Lock()
	f.streams[address] = &followStream{}
	f.mu.Unlock()
	f.noteMessage(address, f.streams[address], true)
	require.Eventually(t, func() bool { return control.opts.State.LimitCount() == 1 }, 5*time.Second, 10*time.Millisecond)
}

// At 2,800 servers of which a tenth have limits that go on, what one VM is told of them must stay far below the 14 KB/s that a VM
// may spend on control.
func TestNewsOfServerLimitsStaysSmall(t *testing.T) {
	for _, n := range []int{28, 280, 2800} {
		now := time.Now()
		control := NewState(StateOptions{})
		f := &feed{control: NewControl(ControlOptions{State: control}, nil)}
		bytes, first := 0, 0
		for second := range 61 {
			at := now.Add(time.Duration(second) * time.Second)
			var list []serverlimit.Limit
			for i := range n {
				list = append(list, serverlimit.Limit{Server: fmt.Sprintf("i-%010x", i), Born: now.UnixMilli(), Rate: 2.5, At: at})
			}
			control.mergeLimits(list, true)
			m := &daisyhatchv1.FollowResponse{}
			f.fillLimits(m, at)
			if second == 0 {
				first = proto.Size(m)
				continue
			}
			bytes += proto.Size(m)
		}
		t.Logf("%d limits: %d bytes in the first message, then %d bytes a second", n, first, bytes/60)
		if n == 280 {
			require.Less(t, bytes/60, 14000/10)
		}
	}
}
