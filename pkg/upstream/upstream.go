// Package upstream calls backend servers over HTTP/1.1 on kept connections. It never repeats a call by itself, and its
// errors tell whether a byte of the call may have left: only a call of which nothing was sent has certainly not run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Error is a call that failed.
type Error struct {
	// Sent is true when a byte of the call may have reached the server.
	Sent bool
	// Reused is true when the call went over a connection that had served another one.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("upstream: call failed after it was sent: %v", e.Err)
	}
	return fmt.Sprintf("upstream: call not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors behind Error.
var (
	// ErrAnswer means that the server's bytes are no answer to this call.
	ErrAnswer = errors.New("upstream: not an answer to this call")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("upstream: pool is closed")
	// ErrRefused means that nothing listens at a server's address.
	ErrRefused = errors.New("upstream: nothing listens at the address")
)

const (
	// idleDefault is how long a connection is kept when the server does not say how long it keeps it.
	idleDefault = 4 * time.Second
	// idleMargin is how much earlier than the server a connection is given up, so that a call doesn't cross its close.
	idleMargin = 700 * time.Millisecond
	// dialTimeout bounds connecting. Servers are milliseconds away; a lost opening packet is sent again after 1 s.
	dialTimeout = 1200 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged before the connection is given up.
	silenceTimeout = 2 * time.Second
	// maxHead bounds an answer's head in bytes, those of informational answers before it included; a server in trouble
	// sends bytes without end.
	maxHead = 64 << 10
	// maxStrays is how many answers to earlier calls are skipped on a connection.
	maxStrays = 2
	// maxStrayBody bounds a skipped answer's body in bytes.
	maxStrayBody = 1 << 20
	bufferBytes  = 4 << 10
	// keptPerServer is how many idle connections are kept to one server.
	keptPerServer = 64
	// concurrentWrite is the body size from which the body is written beside reading the answer, since a server may
	// answer before it has read a long body.
	concurrentWrite = 8 << 10
)

// Call is one call.
type Call struct {
	// Address is the server's IP:port.
	Address string
	Method  string
	// Target is the request target as it stands in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody states the length also of an empty body.
	HasBody bool
	// MaxIdle is how long a kept connection may have been idle to be used; 0 takes any.
	MaxIdle time.Duration
	// Owns tells whether an answer's header belongs to this call; nil takes the first one. Others are skipped.
	Owns func(http.Header) bool
	// OnSend is called right before the first byte is written; an error keeps the call from being sent.
	OnSend func() error
}

// Answer is the head of an answer; Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, -1 when it isn't known beforehand.
	Length int64
	// Delimited is false when the body ends with the connection.
	Delimited bool

	call *exchange
}

// Discard keeps the connection from being used again: what was read was not the answer, which may still come. Close is
// needed all the same.
func (a *Answer) Discard() { a.call.keep = 0 }

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	dials  uint64
}

// NewPool returns a Pool; dial may be nil for TCP.
func NewPool(dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("upstream: connect: %w", err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		setUserTimeout(tcp, silenceTimeout)
	}
	return c, nil
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	source  *source
	since   time.Time
	until   time.Time
	used    bool
}

// source reads from a connection; while a head is read, no more than left bytes.
type source struct {
	net.Conn
	inHead bool
	left   int
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if !s.inHead {
		return s.Conn.Read(b)
	}
	if s.left <= 0 {
		return 0, fmt.Errorf("%w: a head of more than %d bytes", ErrAnswer, maxHead)
	}
	n, err := s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	return n, err
}

// head bounds what is read until body is called.
func (s *source) head() { s.inHead, s.left = true, maxHead }

func (s *source) body() { s.inHead = false }

// Dials returns how many connections were made.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// take returns an idle connection on which nothing is waiting to be read, newest first.
func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		fresh := maxIdle == 0 || now.Sub(c.since) <= maxIdle
		if now.Before(c.until) && fresh && c.reader.Buffered() == 0 && quiet(c.Conn) {
			p.idle[address] = list
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

func (p *Pool) put(c *conn, keep time.Duration) {
	now := time.Now()
	c.since, c.until, c.used = now, now.Add(keep), true
	if err := c.SetDeadline(time.Time{}); err != nil || keep <= 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= keptPerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes the idle connections; calls under way end by their contexts.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	p.mu.Lock()
	closed := p.closed
	p.dials++
	p.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	src := &source{Conn: c}
	return &conn{Conn: c, address: address, source: src, reader: bufio.NewReaderSize(src, bufferBytes)}, nil
}

// Reach tells whether a server takes connections: nil when it does, ErrRefused when nothing listens at its address, and any
// other error when neither is certain. A connection that was made is kept for the next call.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case err != nil:
		return err
	}
	p.put(c, idleDefault)
	return nil
}

// Do makes a call and returns once the answer's head is there. When ctx ends, the connection is closed, also while the
// body is read. Errors are *Error.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	c := p.take(call.Address, call.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.connect(ctx, call.Address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	if call.OnSend != nil {
		if err := call.OnSend(); err != nil {
			p.put(c, idleDefault)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{pool: p, conn: c, stop: stop, ctx: ctx}
	written, err := x.write(&call)
	if err != nil {
		x.abandon()
		return nil, &Error{Sent: written > 0, Reused: c.used, Err: x.cause(err)}
	}
	a, err := x.read(&call)
	if err != nil {
		x.abandon()
		return nil, &Error{Sent: true, Reused: c.used, Err: x.cause(err)}
	}
	return a, nil
}

// exchange is one call on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	ctx  context.Context
	stop func() bool
	// writing is closed when a body that is written beside reading is out; nil when all was written before.
	writing  chan struct{}
	writeErr error
	keep     time.Duration
	// body is the unread rest of the answer.
	body io.ReadCloser
	done bool
	eof  bool
}

// cause prefers the reason for which the call was given up.
func (x *exchange) cause(err error) error {
	if x.ctx.Err() != nil {
		return errors.Join(context.Cause(x.ctx), err)
	}
	return err
}

func (x *exchange) write(call *Call) (int, error) {
	head := encodeHead(call)
	if len(call.Body) < concurrentWrite {
		n, err := x.conn.Write(append(head, call.Body...))
		if err != nil {
			err = fmt.Errorf("upstream: write: %w", err)
		}
		return n, err
	}
	n, err := x.conn.Write(head)
	if err != nil {
		return n, fmt.Errorf("upstream: write: %w", err)
	}
	x.writing = make(chan struct{})
	go func() {
		defer close(x.writing)
		_, x.writeErr = x.conn.Write(call.Body)
	}()
	return n, nil
}

func encodeHead(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if call.HasBody || len(call.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer does not fail; values with line breaks are made harmless by the library.
	_ = call.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads heads until one belongs to the call.
func (x *exchange) read(call *Call) (*Answer, error) {
	x.conn.source.head()
	for stray := 0; ; {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{Method: call.Method}) //nolint:bodyclose // closed with the Answer
		if err != nil {
			return nil, fmt.Errorf("upstream: read: %w", err)
		}
		if res.StatusCode < http.StatusOK && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		x.conn.source.body()
		if call.Owns == nil || call.Owns(res.Header) {
			return x.answer(res), nil
		}
		stray++
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBody))
		if err != nil || n == maxStrayBody || stray > maxStrays || res.Close {
			return nil, fmt.Errorf("%w: %d answers to other calls", ErrAnswer, stray)
		}
		x.conn.source.head()
	}
}

func (x *exchange) answer(res *http.Response) *Answer {
	x.body = res.Body
	x.keep = keepFor(res)
	delimited := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: x, Length: res.ContentLength, Delimited: delimited, call: x}
}

// keepFor returns how long the connection may be kept behind an answer; 0 closes it.
func keepFor(res *http.Response) time.Duration {
	if res.Close {
		return 0
	}
	for _, v := range res.Header.Values("Keep-Alive") {
		if s, ok := keepAliveSeconds(v); ok {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if errors.Is(err, io.EOF) {
		x.eof = true
	} else if err != nil {
		err = x.cause(fmt.Errorf("upstream: read body: %w", err))
	}
	return n, err
}

// Close ends the call. A connection whose answer was read to its end is kept for the next one.
func (x *exchange) Close() error {
	if x.done {
		return nil
	}
	clean := x.eof && x.keep > 0
	if clean && x.writing != nil {
		select {
		case <-x.writing:
			clean = x.writeErr == nil
		default:
			// The server answered before it took the whole body; what it reads next must be that body.
			clean = false
		}
	}
	if !clean || !x.stop() || x.conn.reader.Buffered() > 0 {
		x.abandon()
		return nil
	}
	x.done = true
	x.pool.put(x.conn, x.keep)
	return nil
}

func (x *exchange) abandon() {
	x.done = true
	x.stop()
	_ = x.conn.Close()
}
