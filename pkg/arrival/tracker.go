package arrival

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the kernel's TCP_ESTABLISHED, the state of a connection that neither side has closed.
const tcpEstablished = 1

// timeoutHeader is where callers of the Connect protocol say how long they wait, in milliseconds.
const timeoutHeader = "Connect-Timeout-Ms"

// Tracker follows the requests of one listener. A nil Tracker follows none.
type Tracker struct {
	// sealed is true if connections carry TLS, whose records may follow a request.
	sealed bool
	watch  watch
	// conns holds the open connections by the caller's address, *conn.
	conns sync.Map
}

// NewTracker returns a Tracker; sealed is true for listeners that carry TLS.
func NewTracker(sealed bool) *Tracker { return &Tracker{sealed: sealed} }

// Run notes when the process stands still, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	if t != nil {
		t.watch.run(ctx)
	}
}

// Listen returns a listener whose connections t knows. l accepts connections from the system.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &listener{Listener: l, tracker: t}
}

// Handler puts what is known of each request into its context, for Of.
func (t *Tracker) Handler(next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextKey{}, t.request(r, time.Now()))))
	})
}

// request returns what is known of a request that was read at a time.
func (t *Tracker) request(r *http.Request, now time.Time) *Request {
	t.watch.saw(now)
	out := &Request{read: now, alone: r.ProtoMajor == 1 && !t.sealed}
	out.stopped, out.resumed = t.watch.latest()
	if c, ok := t.conns.Load(r.RemoteAddr); ok {
		out.conn = c.(*conn).raw
	}
	if ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32); err == nil {
		out.patience = time.Duration(ms) * time.Millisecond
	}
	return out
}

type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: c, tracker: l.tracker}
	// Connections that aren't the system's have no state to ask for.
	if s, ok := c.(syscall.Conn); ok {
		if out.raw, err = s.SyscallConn(); err != nil {
			out.raw = nil
		}
	}
	l.tracker.conns.Store(c.RemoteAddr().String(), out)
	return out, nil
}

type conn struct {
	net.Conn
	tracker *Tracker
	// raw is nil if the connection isn't one of the system.
	raw syscall.RawConn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	// After a reset another connection may have the same address already.
	c.tracker.conns.CompareAndDelete(c.RemoteAddr().String(), c)
	return c.Conn.Close()
}

type contextKey struct{}

// Request is one request to a tracked listener. A nil Request is one of which nothing is known. It is safe for concurrent use.
type Request struct {
	// conn is nil if the connection isn't one of the system.
	conn syscall.RawConn
	// alone is true if no data of the caller's follows the request on its connection before the answer.
	alone bool
	// read is when the handler began.
	read time.Time
	// stopped and resumed are the begin and the end of the process's latest standstill before read; zero if there was none.
	stopped, resumed time.Time
	patience         time.Duration
}

// Of returns the request of a handler's context; nil if its listener isn't tracked.
func Of(ctx context.Context) *Request {
	r, _ := ctx.Value(contextKey{}).(*Request)
	return r
}

// Patience returns how long the caller says that it waits for an answer; otherwise if it doesn't say.
func (r *Request) Patience(otherwise time.Duration) time.Duration {
	if r == nil || r.patience <= 0 {
		return otherwise
	}
	return r.patience
}

// Evidence returns what is known of the request now.
func (r *Request) Evidence() Evidence {
	if r == nil {
		return Evidence{}
	}
	var e Evidence
	var told bool
	e.SinceData, e.Closed, told = connState(r.conn)
	e.Exact = told && r.alone
	now := time.Now()
	e.SinceRead = now.Sub(r.read)
	if !r.stopped.IsZero() {
		e.SinceStop, e.ResumedBefore = now.Sub(r.stopped), r.read.Sub(r.resumed)
	}
	return e
}

// Arrived returns the earliest time at which the request may have arrived.
func (r *Request) Arrived() time.Time {
	return time.Now().Add(-r.Evidence().Age())
}

// connState returns the time since data last arrived on a connection, and whether one of its ends was closed. told is false if the system doesn't
// tell.
func connState(raw syscall.RawConn) (sinceData time.Duration, closed, told bool) {
	if raw == nil {
		return 0, false, false
	}
	// An error means that this side has closed the connection, as the server does when the caller has.
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		told = true
		closed = info.State != tcpEstablished
		sinceData = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	return sinceData, closed || err != nil, told
}
