package openai

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/connend"
)

// errAbandoned is returned by writes to a connection whose call was abandoned before any byte was written.
var errAbandoned = errors.New("openai: call abandoned before it was sent")

// trackedConn is a connection that records whether any byte of the current call was written, and can reject writes
// until then.
type trackedConn struct {
	net.Conn
	openedAt time.Time
	// incarnation is the server's incarnation; empty if the server was not asked or did not report it.
	incarnation string

	mu      sync.Mutex
	wrote   bool
	blocked bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errAbandoned
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// reset prepares the connection for the next call. It returns false if all writes to the connection fail.
func (c *trackedConn) reset() (usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
	return !c.blocked
}

// blockWrites makes all further writes fail if no write of the call has started yet. It returns false if one has.
func (c *trackedConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.blocked = true
	return true
}

// discard closes the connection. A call that got it in the meantime, and has written nothing, sends nothing.
func (c *trackedConn) discard() {
	c.mu.Lock()
	c.blocked = true
	c.mu.Unlock()
	_ = c.Close()
}

func trackedDial(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
		defer cancel()
		conn, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("openai: connect: %w", err)
		}
		conn = connend.Wrap(conn)
		g := &trackedConn{Conn: conn, openedAt: time.Now()}
		if ctx.Value(identifyKey{}) == nil {
			return g, nil
		}
		g.incarnation, err = identify(ctx, conn, address)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		return g, nil
	}
}

// sendTracker tracks one call from the choice of its connection to the first byte of the response, to determine whether
// any byte of the call may have been sent.
type sendTracker struct {
	startedAt time.Time
	maxAge    time.Duration
	// incarnation is the required incarnation of the server; empty if the server does not report it.
	incarnation string

	mu   sync.Mutex
	conn *trackedConn
	// unusable is true when the connection is too old, was discarded or leads to another incarnation. serverReplaced is true when the
	// server certainly has another incarnation now, since a connection opened during this call leads to one.
	unusable       bool
	serverReplaced bool
	// abandoned is true once abandon was called.
	abandoned bool
	// maybeSent is true when bytes may have been sent on a connection that is not tracked any more.
	maybeSent bool
	// firstByteAt is when the first byte of the response arrived.
	firstByteAt time.Time
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.gotConn(info.Conn)
		},
		GotFirstResponseByte: func() {
			s.mu.Lock()
			s.firstByteAt = time.Now()
			s.mu.Unlock()
		},
	}
}

func (s *sendTracker) gotConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := conn.(*trackedConn)
	if !ok {
		s.maybeSent = true
		return
	}
	if s.conn != nil && !s.conn.blockWrites() {
		s.maybeSent = true
	}
	usable := g.reset()
	s.conn = g
	otherIncarnation := s.incarnation != "" && g.incarnation != "" && g.incarnation != s.incarnation
	s.serverReplaced = otherIncarnation && !g.openedAt.Before(s.startedAt)
	s.unusable = !usable || otherIncarnation || time.Since(g.openedAt) > s.maxAge
	if s.abandoned || s.unusable {
		g.blockWrites()
	}
}

// retryable reports whether the call was not sent because its connection was unusable, and another connection may work.
func (s *sendTracker) retryable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unusable && !s.serverReplaced && !s.maybeSent
}

// wrongIncarnation reports whether the call was not sent because the server now has another incarnation.
func (s *sendTracker) wrongIncarnation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serverReplaced && !s.maybeSent
}

// abandon ends the call and reports whether any byte of it may have been sent. After it returns false, none will be.
func (s *sendTracker) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	if s.maybeSent {
		return true
	}
	return s.conn != nil && !s.conn.blockWrites()
}

// firstByte returns the time from the start of the call to the first byte of its response; 0 if none arrived.
func (s *sendTracker) firstByte() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstByteAt.IsZero() {
		return 0
	}
	return s.firstByteAt.Sub(s.startedAt)
}
