package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/connend"
)

var (
	tunnelsOpened  = metrics.NewCounter("daisyhatch_tunnels_opened_total")
	tunnelsRefused = metrics.NewCounter("daisyhatch_tunnels_refused_total")
)

// HandlerOptions configure a Handler.
type HandlerOptions struct {
	// Known reports whether an address is that of a backend server. A Handler connects to no other address.
	Known func(address string) bool
	// Dial connects to a server; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  logr.Logger
}

// Handler implements TunnelService. It is safe for concurrent use.
type Handler struct {
	daisyhatchv1connect.UnimplementedTunnelServiceHandler
	opts HandlerOptions

	mu       sync.Mutex
	open     int
	draining bool
	// idle is closed when Drain was called and no tunnel is left.
	idle chan struct{}
}

// NewHandler returns a Handler.
func NewHandler(o HandlerOptions) *Handler {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
		}
	}
	return &Handler{opts: o, idle: make(chan struct{})}
}

// Handler returns the path and handler of TunnelService.
func (h *Handler) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewTunnelServiceHandler(h, o...)
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Drain takes no more tunnels and waits until those that are open have ended, or until ctx ends. It returns the number of
// tunnels left.
func (h *Handler) Drain(ctx context.Context) int {
	h.mu.Lock()
	if !h.draining {
		h.draining = true
		if h.open == 0 {
			close(h.idle)
		}
	}
	h.mu.Unlock()
	select {
	case <-h.idle:
	case <-ctx.Done():
	}
	return h.Open()
}

// begin counts a tunnel, or returns false when no more are taken.
func (h *Handler) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining || h.open >= maxTunnels {
		return false
	}
	h.open++
	return true
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open--; h.open == 0 && h.draining {
		close(h.idle)
	}
}

// Tunnel implements TunnelService.
func (h *Handler) Tunnel(ctx context.Context, s *connect.BidiStream[daisyhatchv1.TunnelRequest, daisyhatchv1.TunnelResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := time.AfterFunc(firstMessageTimeout, cancel)
	req, err := s.Receive()
	first.Stop()
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !h.begin() {
		return h.refuse(s, req.GetAddress(), daisyhatchv1.TunnelState_TUNNEL_STATE_BUSY, nil)
	}
	defer h.end()
	if !h.opts.Known(req.GetAddress()) {
		return h.refuse(s, req.GetAddress(), daisyhatchv1.TunnelState_TUNNEL_STATE_UNKNOWN_SERVER, nil)
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, connectTimeout)
	c, err := h.opts.Dial(dialCtx, req.GetAddress())
	cancelDial()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return h.refuse(s, req.GetAddress(), daisyhatchv1.TunnelState_TUNNEL_STATE_REFUSED, err)
	case err != nil:
		return h.refuse(s, req.GetAddress(), daisyhatchv1.TunnelState_TUNNEL_STATE_UNREACHABLE, err)
	}
	c = connend.Wrap(c)
	defer func() { _ = c.Close() }()
	tunnelsOpened.Inc()
	if err := s.Send(&daisyhatchv1.TunnelResponse{State: daisyhatchv1.TunnelState_TUNNEL_STATE_CONNECTED}); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	l := &link{conn: c, stream: s}
	go func() {
		if l.copyToServer() {
			cancel()
		}
	}()
	return l.copyFromServer()
}

// refuse tells the other VM why there is no tunnel.
func (h *Handler) refuse(
	s *connect.BidiStream[daisyhatchv1.TunnelRequest, daisyhatchv1.TunnelResponse], address string, state daisyhatchv1.TunnelState, cause error,
) error {
	tunnelsRefused.Inc()
	reason := state.String()
	if cause != nil {
		reason = cause.Error()
	}
	h.opts.Log.V(1).Info("no tunnel to server", "address", address, "reason", reason)
	return s.Send(&daisyhatchv1.TunnelResponse{State: state})
}

// link is an open tunnel.
type link struct {
	conn   net.Conn
	stream *connect.BidiStream[daisyhatchv1.TunnelRequest, daisyhatchv1.TunnelResponse]
	// sentAt is when bytes were last passed to the server, in Unix nanoseconds.
	sentAt atomic.Int64
}

// copyToServer passes bytes to the server until the other VM closes the tunnel, or the connection breaks: it returns false then, and what the
// server sent before can still be read.
func (l *link) copyToServer() (closed bool) {
	for {
		req, err := l.stream.Receive()
		if err != nil {
			return true
		}
		l.sentAt.Store(time.Now().UnixNano())
		if _, err := l.conn.Write(req.GetData()); err != nil {
			return false
		}
	}
}

// copyFromServer passes the server's bytes on. Only an orderly close by the server ends the tunnel without an error.
func (l *link) copyFromServer() error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := l.conn.Read(buffer)
		if n > 0 {
			if err := l.stream.Send(&daisyhatchv1.TunnelResponse{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && l.resetWhileSending() {
			err = connend.ErrReset
		}
		switch {
		case errors.Is(err, io.EOF):
			return l.stream.Send(&daisyhatchv1.TunnelResponse{State: daisyhatchv1.TunnelState_TUNNEL_STATE_ENDED})
		case err != nil:
			return connect.NewError(connect.CodeAborted, err)
		}
	}
}

// resetWhileSending reports whether the server's connection, whose end was read, is reset because the server doesn't take what the other VM
// goes on sending. Whether more is to come isn't known here; it may if bytes came just now.
func (l *link) resetWhileSending() bool {
	c, ok := l.conn.(*connend.Conn)
	quiet := connend.SettleTime - time.Since(time.Unix(0, l.sentAt.Load()))
	if !ok || quiet <= 0 {
		return false
	}
	noMore := make(chan struct{})
	time.AfterFunc(quiet, func() { close(noMore) })
	return c.ResetBefore(noMore)
}
