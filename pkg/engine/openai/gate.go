package openai

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errSealed is returned by writes to a connection whose call was abandoned before any byte was written.
var errSealed = errors.New("openai: call abandoned before it was sent")

// gatedConn is a connection that records whether any byte of the current call was written, and can block writes until
// then.
type gatedConn struct {
	net.Conn
	born time.Time
	// incarnation is the server's incarnation; empty if the server was not asked or did not report it.
	incarnation string

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin resets the write state for the next call.
func (c *gatedConn) begin() {
	c.mu.Lock()
	c.wrote = false
	c.mu.Unlock()
}

// seal blocks all further writes if no write of the call has started yet. It returns false if one has.
func (c *gatedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wrote {
		return false
	}
	c.sealed = true
	return true
}

func gatedDial(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
		defer cancel()
		conn, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("openai: connect: %w", err)
		}
		g := &gatedConn{Conn: conn, born: time.Now()}
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

// sending tracks one call from the choice of its connection to the first byte of the response, to determine whether any
// byte of the call may have been sent.
type sending struct {
	begun  time.Time
	maxAge time.Duration
	// incarnation is the required incarnation of the server; empty if the server does not report it.
	incarnation string

	mu   sync.Mutex
	conn *gatedConn
	// unfit is true when the connection is too old or leads to another incarnation. foreign is true when the server
	// certainly has another incarnation now, since a connection opened during this call leads to one.
	unfit   bool
	foreign bool
	// given is true once giveUp was called.
	given bool
	// unsure is true when bytes may have been sent on a connection that is not tracked any more.
	unsure bool
	// first is when the first byte of the response arrived.
	first time.Time
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.gotConn(info.Conn)
		},
		GotFirstResponseByte: func() {
			s.mu.Lock()
			s.first = time.Now()
			s.mu.Unlock()
		},
	}
}

func (s *sending) gotConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := conn.(*gatedConn)
	if !ok {
		s.unsure = true
		return
	}
	if s.conn != nil && !s.conn.seal() {
		s.unsure = true
	}
	g.begin()
	s.conn = g
	other := s.incarnation != "" && g.incarnation != "" && g.incarnation != s.incarnation
	s.foreign = other && !g.born.Before(s.begun)
	s.unfit = other || time.Since(g.born) > s.maxAge
	if s.given || s.unfit {
		g.seal()
	}
}

// again reports whether the call was not sent because its connection was unfit, and another connection may work.
func (s *sending) again() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfit && !s.foreign && !s.unsure
}

// wrongIncarnation reports whether the call was not sent because the server now has another incarnation.
func (s *sending) wrongIncarnation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign && !s.unsure
}

// giveUp ends the call and reports whether any byte of it may have been sent. After it returns false, none will be.
func (s *sending) giveUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.given = true
	if s.unsure {
		return true
	}
	return s.conn != nil && !s.conn.seal()
}

// firstByte returns the time from the start of the call to the first byte of its response; 0 if none arrived.
func (s *sending) firstByte() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(s.begun)
}
