package path

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/tunnel"
)

// way is a way to connect that takes some time, and fails unless err is nil.
type way struct {
	after time.Duration
	err   error
	open  atomic.Int32
	calls atomic.Int32
}

type countedConn struct {
	net.Conn
	way *way
}

func (c *countedConn) Close() error {
	c.way.open.Add(-1)
	return nil
}

func (w *way) dial(ctx context.Context, _ string) (net.Conn, error) {
	w.calls.Add(1)
	select {
	case <-time.After(w.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if w.err != nil {
		return nil, w.err
	}
	w.open.Add(1)
	return &countedConn{way: w}, nil
}

const never = time.Hour

func TestDial(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		direct, through *way
		took            time.Duration
		// via is the way whose connection is used; empty when there is none.
		via string
		// refused is true when the error says that nothing listens at the address; lost when the path counts as lost.
		refused, lost bool
	}{
		"sound":                                     {direct: &way{after: 2 * time.Millisecond}, through: &way{}, took: 2 * time.Millisecond, via: "direct"},
		"direct connections hang":                   {direct: &way{after: never}, through: &way{after: 5 * time.Millisecond}, took: hedgeDelay + 5*time.Millisecond, via: "tunnel", lost: true},
		"direct connections are refused":            {direct: &way{err: refused}, through: &way{after: 5 * time.Millisecond}, took: 5 * time.Millisecond, via: "tunnel", lost: true},
		"server has ended":                          {direct: &way{err: refused}, through: &way{err: tunnel.ErrRefused}, refused: true},
		"server has ended, no VM takes a tunnel":    {direct: &way{err: refused}, through: &way{err: tunnel.ErrNoVM}, refused: true},
		"refused here, silent elsewhere":            {direct: &way{err: refused}, through: &way{err: tunnel.ErrUnreachable}},
		"silent here, refused elsewhere":            {direct: &way{after: never}, through: &way{err: tunnel.ErrRefused}, took: directTimeout},
		"silent for a second, everywhere":           {direct: &way{after: time.Second}, through: &way{after: time.Second}, took: time.Second, via: "direct"},
		"slow, and no VM takes a tunnel":            {direct: &way{after: 300 * time.Millisecond}, through: &way{err: tunnel.ErrNoVM}, took: 300 * time.Millisecond, via: "direct"},
		"lost opening packet: the path comes again": {direct: &way{after: time.Second}, through: &way{after: 5 * time.Millisecond}, took: hedgeDelay + 5*time.Millisecond, via: "tunnel", lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDialer(c.direct.dial, c.through.dial, logr.Discard())
				begin := time.Now()
				conn, err := d.Dial(t.Context(), "a")
				require.Equal(t, c.took, time.Since(begin))
				require.Equal(t, c.lost, d.IsLost("a"))
				switch c.via {
				case "direct":
					require.Same(t, c.direct, conn.(*countedConn).way)
				case "tunnel":
					require.Same(t, c.through, conn.(*countedConn).way)
				default:
					require.ErrorIs(t, err, ErrUnreachable)
					require.Equal(t, c.refused, errors.Is(err, syscall.ECONNREFUSED))
				}
				time.Sleep(2 * directTimeout)
				synctest.Wait()
				want := int32(0)
				if c.via != "" {
					require.NoError(t, err)
					want = 1
				}
				require.Equal(t, want, c.direct.open.Load()+c.through.open.Load(), "connections that are not used must be closed")
				if c.direct.err == nil && c.direct.after < directTimeout {
					require.False(t, d.IsLost("a"), "a direct connection that comes late shows that the path works")
				}
			})
		})
	}
}

// A call that ends closes what connects later, and the direct attempt still tells whether the path works.
func TestDialGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, through := &way{after: 500 * time.Millisecond}, &way{after: 500 * time.Millisecond}
		d := NewDialer(direct.dial, through.dial, logr.Discard())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := d.Dial(ctx, "a")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, direct.open.Load()+through.open.Load())
	})
}

// While a path is lost no direct attempt is waited for, and one a second is made beside the tunnel.
func TestDialWhilePathIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, through := &way{after: never}, &way{after: 3 * time.Millisecond}
		d := NewDialer(direct.dial, through.dial, logr.Discard())
		_, err := d.Dial(t.Context(), "a")
		require.NoError(t, err)
		for range 30 {
			begin := time.Now()
			_, err := d.Dial(t.Context(), "a")
			require.NoError(t, err)
			require.Equal(t, 3*time.Millisecond, time.Since(begin))
			time.Sleep(97 * time.Millisecond)
		}
		require.EqualValues(t, 4, direct.calls.Load())
		require.False(t, d.Usable("a", &net.TCPConn{}), "idle direct connections may hang")
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// Idle connections: a tunnel is used again for a short time only, a direct connection while its path works.
func TestUsable(t *testing.T) {
	d := NewDialer(nil, nil, logr.Discard())
	require.True(t, d.Usable("a", &net.TCPConn{}))
	require.True(t, d.Usable("a", reusable(true)))
	require.False(t, d.Usable("a", reusable(false)))
}

type reusableConn struct {
	net.Conn
	yes bool
}

func reusable(yes bool) net.Conn { return &reusableConn{yes: yes} }

func (c *reusableConn) Reusable(time.Time) bool { return c.yes }
