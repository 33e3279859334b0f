package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/tunnel"
)

// ErrUnreachable means that a server could be reached neither directly nor through another VM.
var ErrUnreachable = errors.New("path: no path to the server")

// directTimeout bounds a direct attempt to connect. TCP sends a lost opening packet again after 1 s.
const directTimeout = 1200 * time.Millisecond

var tunnelledConnections = metrics.NewCounter("daisyhatch_tunnelled_connections_total")

// DialFunc connects to a server at an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer connects to servers directly, and through other VMs where the direct path is lost. It is safe for concurrent use.
type Dialer struct {
	direct DialFunc
	// tunnel connects through another VM. Its errors are those of tunnel.Dialer.Dial.
	tunnel DialFunc
	log    logr.Logger

	mu    sync.Mutex
	table *Table
}

// NewDialer returns a Dialer.
func NewDialer(direct, tunnel DialFunc, log logr.Logger) *Dialer {
	return &Dialer{direct: direct, tunnel: tunnel, log: log, table: NewTable()}
}

// SetLog sets the log. It must be called before the first call of Dial.
func (d *Dialer) SetLog(log logr.Logger) { d.log = log }

// attempt is the result of one way to connect.
type attempt struct {
	conn   net.Conn
	err    error
	direct bool
}

// Dial connects to a server. The first connection is used; none has carried a byte before. An error wraps
// syscall.ECONNREFUSED only if nothing listens at the address as far as can be found out.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.table.Plan(address, time.Now())
	d.mu.Unlock()
	r := &race{dialer: d, ctx: ctx, address: address, results: make(chan attempt, 2)}
	if plan.Direct {
		r.startDirect()
	}
	return r.wait(plan.TunnelAfter)
}

// race is one call of Dial.
type race struct {
	dialer  *Dialer
	ctx     context.Context //nolint:containedctx // the context of the one call of Dial
	address string
	results chan attempt
	// pending is the number of ways under way.
	pending             int
	tunnelStarted       bool
	directErr, otherErr error
}

// wait returns the first connection, or the error once all ways have failed. The tunnel is started after delay, or when the
// direct way fails.
func (r *race) wait(delay time.Duration) (net.Conn, error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	if r.pending == 0 {
		r.startTunnel()
	}
	for {
		select {
		case <-timer.C:
			r.startTunnel()
		case <-r.ctx.Done():
			go r.closeRest(r.pending)
			return nil, r.ctx.Err()
		case a := <-r.results:
			r.pending--
			if a.err == nil {
				if !a.direct {
					r.dialer.tunnelled(r.address)
				}
				go r.closeRest(r.pending)
				return a.conn, nil
			}
			if a.direct {
				r.directErr = a.err
				r.startTunnel()
			} else {
				r.otherErr = a.err
			}
			if r.pending == 0 {
				return nil, result(r.directErr, r.otherErr)
			}
		}
	}
}

// result returns the error of a server that could not be reached. A refusal counts only if the other way does not contradict
// it: a direct connection may be refused by a cut of the path.
func result(direct, tunnelled error) error {
	refused := errors.Is(direct, syscall.ECONNREFUSED) && errors.Is(tunnelled, tunnel.ErrNoVM) ||
		errors.Is(tunnelled, tunnel.ErrRefused) && (direct == nil || errors.Is(direct, syscall.ECONNREFUSED))
	err := fmt.Errorf("%w: %w", ErrUnreachable, tunnelled)
	if direct != nil {
		// The direct error is not wrapped: a refusal by a cut is not one by the server.
		err = fmt.Errorf("%w: directly: %s; through another VM: %w", ErrUnreachable, direct.Error(), tunnelled)
	}
	if refused {
		err = fmt.Errorf("%w: %w", syscall.ECONNREFUSED, err)
	}
	return err
}

// startDirect tries the direct way. It goes on when the call ends before, since its result tells whether the path works.
func (r *race) startDirect() {
	r.pending++
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), directTimeout)
		defer cancel()
		c, err := r.dialer.direct(ctx, r.address)
		if err == nil {
			r.dialer.connected(r.address)
		}
		r.results <- attempt{c, err, true}
	}()
}

// startTunnel tries the way through another VM, once.
func (r *race) startTunnel() {
	if r.tunnelStarted {
		return
	}
	r.tunnelStarted = true
	r.pending++
	go func() {
		c, err := r.dialer.tunnel(r.ctx, r.address)
		r.results <- attempt{c, err, false}
	}()
}

// closeRest closes the connections of the ways that were too late.
func (r *race) closeRest(pending int) {
	for range pending {
		if a := <-r.results; a.err == nil {
			_ = a.conn.Close()
		}
	}
}

func (d *Dialer) connected(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.Connected(address) == Back {
		d.log.Info("server is reached directly again", "address", address, "paths_lost", d.table.Count(time.Now()))
	}
}

func (d *Dialer) tunnelled(address string) {
	tunnelledConnections.Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch d.table.Tunnelled(address, now) {
	case Lost:
		d.log.Info("path to server lost", "address", address, "paths_lost", d.table.Count(now))
	case CutOff:
		d.log.Info("cut off from servers", "address", address, "paths_lost", d.table.Count(now))
	case Unchanged, Back:
	}
}

// IsLost reports whether the direct path to a server counts as lost.
func (d *Dialer) IsLost(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.IsLost(address, time.Now())
}

// Usable reports whether an idle connection may be used for another call: a direct one while its path works, one through
// another VM for a short time.
func (d *Dialer) Usable(address string, c net.Conn) bool {
	if t, ok := c.(interface{ Reusable(now time.Time) bool }); ok {
		return t.Reusable(time.Now())
	}
	return !d.IsLost(address)
}
