// Package upstream calls backend servers over HTTP/1.1 and reuses connections. It never repeats a call, and its errors
// state whether a byte of the call may have been sent: only a call of which nothing was sent is certain not to have
// run.
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
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/answerhead"
	"github.com/daisyhatch/daisyhatch/pkg/connend"
)

// Error is the error of a failed call.
type Error struct {
	// Sent is true when a byte of the call may have reached the server.
	Sent bool
	// Reused is true when the connection had been in the pool before the call.
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

// Errors that an Error may wrap.
var (
	// ErrInvalidAnswer means that the server sent bytes that are not a valid answer to the call.
	ErrInvalidAnswer = errors.New("upstream: not an answer to this call")
	// ErrUnacknowledged means that the server's system acknowledged nothing for unackedTimeout while a long body was written.
	ErrUnacknowledged = errors.New("upstream: nothing was acknowledged")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("upstream: pool is closed")
	// ErrConnRefused means that nothing listens at the server's address.
	ErrConnRefused = errors.New("upstream: nothing listens at the address")
)

const (
	// defaultIdleTime is how long an idle connection is kept when the server does not announce a keep-alive timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how much earlier than the server announces the client closes an idle connection, so that no call is
	// sent while the server closes it.
	idleMargin = 700 * time.Millisecond
	// dialTimeout bounds connecting. Servers are milliseconds away, and TCP retransmits a lost SYN after 1 s.
	dialTimeout = 1200 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the connection is closed.
	unackedTimeout = 2 * time.Second
	// maxHeadBytes bounds the head of an answer, including those of informational answers before it, since a faulty
	// server may send data without end.
	maxHeadBytes = 64 << 10
	// maxSkippedAnswers bounds the answers to other calls that are skipped on a connection.
	maxSkippedAnswers = 2
	// maxSkippedBodyBytes bounds the body of a skipped answer.
	maxSkippedBodyBytes = 1 << 20
	// maxRefusalsKept bounds the refusals that are remembered for a connection.
	maxRefusalsKept = 16
	// maxContentsKept bounds the answers whose content is remembered for a connection.
	maxContentsKept = 256
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 64
	// writeEndWait is how long a call that was answered waits for the end of the writing of its body, which may come just after the
	// answer.
	writeEndWait = 20 * time.Millisecond
	// concurrentWriteBytes is the size from which a body is written while the answer is read, since a server may answer
	// before it has read a long body.
	concurrentWriteBytes = 8 << 10
)

// Call is a request to a backend server.
type Call struct {
	// Address is the server's IP:port.
	Address string
	Method  string
	// Target is the request target as it appears in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes the request state its Content-Length even when Body is empty.
	HasBody bool
	// MaxIdle bounds how long a reused connection may have been idle; 0 means no bound.
	MaxIdle time.Duration
	// IsAnswer reports whether an answer with this header belongs to the call; other answers are skipped. nil accepts
	// the first answer.
	IsAnswer func(http.Header) bool
	// BeforeSend, if not nil, is called right before the first byte is written. An error stops the call from being
	// sent.
	BeforeSend func() error
}

// Answer is the head of a server's answer. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1 when it is not known in advance.
	Length int64
	// ConnectedAt is when the connection was made on which the answer came.
	ConnectedAt time.Time
	// Delimited is false when only the end of the connection ends the body, so that a cut-off body can't be recognised. The
	// answer to a HEAD request has no body.
	Delimited bool

	exchange *exchange
}

// Discard stops the connection from being reused. It is for an answer that was not the expected one, since the right
// one may still arrive on the connection. Body must be closed all the same.
func (a *Answer) Discard() { a.exchange.keepTime = 0 }

// CertainRefusal reports whether an answer which says that the call with an id did not run can't be an earlier one that a
// faulty server wrote once more: it is the first answer on its connection, or the first refusal with this id. id is empty when
// the answer names none. A certain refusal is remembered with the connection.
func (a *Answer) CertainRefusal(id string) bool {
	c := a.exchange.conn
	if c.calls > 1 && (id == "" || slices.Contains(c.refused, id)) {
		return false
	}
	if c.refused = append(c.refused, id); len(c.refused) > maxRefusalsKept {
		c.refused = c.refused[1:]
	}
	return true
}

// Repeats reports whether an answer with this status and content came before on the connection, so that it can't be told
// from a copy that a faulty server sent. The latest maxContentsKept answers for which Repeats was called are considered.
func (a *Answer) Repeats(content []byte) bool {
	c := a.exchange.conn
	sum := xxhash.Sum64(content) ^ uint64(a.Status)
	if slices.Contains(c.contents, sum) {
		return true
	}
	if c.contents = append(c.contents, sum); len(c.contents) > maxContentsKept {
		c.contents = c.contents[1:]
	}
	return false
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	// usable reports whether an idle connection may be used for another call; nil means that it may.
	usable func(address string, c net.Conn) bool

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	dials  uint64
}

// NewPool returns a Pool that connects with dial; nil means TCP.
func NewPool(dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, idle: make(map[string][]*conn)}
}

// NewCheckedPool is like NewPool with a check of idle connections: one for which usable returns false is closed instead of
// being used for another call.
func NewCheckedPool(
	dial func(ctx context.Context, address string) (net.Conn, error), usable func(address string, c net.Conn) bool,
) *Pool {
	p := NewPool(dial)
	p.usable = usable
	return p
}

// DialTCP connects to a server. The connection is closed when sent data stays unacknowledged for 2 s.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("upstream: connect: %w", err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		setUserTimeout(tcp, unackedTimeout)
	}
	return c, nil
}

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	limiter *headLimiter
	// idleSince is when the connection became idle, idleUntil when it must be closed.
	idleSince time.Time
	idleUntil time.Time
	// reused is true once the connection has been in the pool.
	reused bool
	// madeAt is when the connection was made.
	madeAt time.Time
	// calls is the number of calls made on the connection, refused the ids of the latest ones that the server refused.
	calls   int
	refused []string
	// contents are hashes of the status and content of the latest answers; see Repeats.
	contents []uint64
}

// headLimiter is a connection that limits how many bytes can be read while an answer's head is read.
type headLimiter struct {
	net.Conn
	inHead    bool
	remaining int
}

// Read implements io.Reader.
func (s *headLimiter) Read(b []byte) (int, error) {
	if !s.inHead {
		return s.Conn.Read(b)
	}
	if s.remaining <= 0 {
		return 0, fmt.Errorf("%w: a head of more than %d bytes", ErrInvalidAnswer, maxHeadBytes)
	}
	n, err := s.Conn.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	return n, err
}

// startHead limits reads to maxHeadBytes until endHead is called.
func (s *headLimiter) startHead() { s.inHead, s.remaining = true, maxHeadBytes }

// endHead ends the limit on reads.
func (s *headLimiter) endHead() { s.inHead = false }

// Dials returns the number of connections that the pool has tried to make.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// takeIdle removes and returns the newest idle connection on which nothing was received; nil when there is none.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		fresh := (maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle) && (p.usable == nil || p.usable(address, c.Conn))
		if now.Before(c.idleUntil) && fresh && c.reader.Buffered() == 0 && nothingReceived(c.Conn) {
			p.idle[address] = list
			return c
		}
		_ = c.Close()
	}
	delete(p.idle, address)
	return nil
}

// putIdle keeps a connection for reuse for at most keep, or closes it.
func (p *Pool) putIdle(c *conn, keep time.Duration) {
	now := time.Now()
	c.idleSince, c.idleUntil, c.reused = now, now.Add(keep), true
	if err := c.SetDeadline(time.Time{}); err != nil || keep <= 0 {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.address]
	if p.closed || len(list) >= maxIdlePerServer {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
}

// CloseExpired closes connections whose idle time has expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
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

// Close closes the idle connections. Calls in progress are ended by their contexts.
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
	countDial(err)
	if err != nil {
		return nil, err
	}
	c = connend.Wrap(c)
	src := &headLimiter{Conn: c}
	return &conn{Conn: c, address: address, limiter: src, madeAt: time.Now(), reader: bufio.NewReaderSize(src, readBufferBytes)}, nil
}

// countDial counts an attempt to connect by its result.
func countDial(err error) {
	result := "failed"
	switch {
	case err == nil:
		result = "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		result = "refused"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		result = "timeout"
	case errors.Is(err, context.Canceled):
		result = "given up"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_server_dials_total{result=%q}`, result)).Inc()
}

// CheckReachable checks whether a server accepts connections. It returns nil if so, an error that wraps ErrConnRefused
// when nothing listens at its address, and any other error when neither is certain. A new connection is kept for the
// next call.
func (p *Pool) CheckReachable(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", ErrConnRefused, err)
	case err != nil:
		return err
	}
	p.putIdle(c, defaultIdleTime)
	return nil
}

// Do makes a call and returns when the head of the answer was read. When ctx ends, the connection is closed, also while
// the body is being read. Errors are *Error.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	c := p.takeIdle(call.Address, call.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.connect(ctx, call.Address); err != nil {
			return nil, &Error{Err: err}
		}
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			p.putIdle(c, defaultIdleTime)
			return nil, &Error{Err: err}
		}
	}
	c.calls++
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{pool: p, conn: c, stopWatch: stop, ctx: ctx}
	written, err := x.writeRequest(&call)
	if err != nil {
		x.abandon()
		return nil, &Error{Sent: written > 0, Reused: c.reused, Err: x.joinCause(err)}
	}
	a, err := x.readAnswer(&call)
	if err != nil {
		err = x.joinWriteError(err)
		x.abandon()
		return nil, &Error{Sent: true, Reused: c.reused, Err: x.joinCause(err)}
	}
	return a, nil
}

// exchange is one call on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	ctx  context.Context
	// stopWatch stops ctx from ending the connection; false when ctx has ended it already.
	stopWatch func() bool
	// bodyWritten is closed when the request body, written while the answer is read, is complete; nil when the request
	// was written in full before.
	bodyWritten chan struct{}
	writeErr    error
	// stopAcks ends the watch for acknowledgements; nil when there is none. unacked is set when they failed to come.
	stopAcks func()
	unacked  atomic.Bool
	// keepTime is how long the connection may be kept idle after the call; 0 or less closes it.
	keepTime time.Duration
	// body is the unread part of the answer's body.
	body io.ReadCloser
	// delimited is false when only the end of the connection ends the body.
	delimited bool
	done      bool
	eof       bool
}

// joinCause adds the cancellation cause of the call's context, if any, to err.
func (x *exchange) joinCause(err error) error {
	if x.unacked.Load() {
		err = errors.Join(ErrUnacknowledged, err)
	}
	if x.ctx.Err() != nil {
		return errors.Join(context.Cause(x.ctx), err)
	}
	return err
}

// joinWriteError adds why the body could not be written, if so, to the error of reading the answer.
func (x *exchange) joinWriteError(err error) error {
	if x.bodyWritten == nil {
		return err
	}
	select {
	case <-x.bodyWritten:
		if x.writeErr != nil {
			return errors.Join(fmt.Errorf("upstream: write: %w", x.writeErr), err)
		}
	default:
	}
	return err
}

func (x *exchange) writeRequest(call *Call) (int, error) {
	head := encodeHead(call)
	if len(call.Body) < concurrentWriteBytes {
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
	x.bodyWritten = make(chan struct{})
	x.stopAcks = watchAcks(x.conn.Conn, func() {
		x.unacked.Store(true)
		_ = x.conn.SetDeadline(time.Unix(1, 0))
	})
	go func() {
		defer close(x.bodyWritten)
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
	// Writing to a bytes.Buffer does not fail; WriteSubset replaces line breaks in values.
	_ = call.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	b.WriteString("\r\n")
	return b.Bytes()
}

// readAnswer reads answers until one belongs to the call.
func (x *exchange) readAnswer(call *Call) (*Answer, error) {
	x.conn.limiter.startHead()
	for skipped := 0; ; {
		res, err := answerhead.Read(x.conn.reader, &http.Request{Method: call.Method}) //nolint:bodyclose // closed with the Answer
		switch {
		case errors.Is(err, answerhead.ErrInvalid):
			return nil, fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
		case err != nil:
			return nil, fmt.Errorf("upstream: read: %w", err)
		}
		x.conn.limiter.endHead()
		if call.IsAnswer == nil || call.IsAnswer(res.Header) {
			return x.newAnswer(res), nil
		}
		skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBodyBytes))
		if err != nil || n == maxSkippedBodyBytes || skipped > maxSkippedAnswers || res.Close {
			return nil, fmt.Errorf("%w: %d answers to other calls", ErrInvalidAnswer, skipped)
		}
		x.conn.limiter.startHead()
	}
}

func (x *exchange) newAnswer(res *http.Response) *Answer {
	x.body = res.Body
	x.keepTime = connKeepTime(res)
	x.delimited = res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Request.Method == http.MethodHead
	return &Answer{Status: res.StatusCode, Header: res.Header, Body: x, Length: res.ContentLength, ConnectedAt: x.conn.madeAt, Delimited: x.delimited, exchange: x}
}

// connKeepTime returns how long the connection may be kept idle after an answer; 0 or less closes it.
func connKeepTime(res *http.Response) time.Duration {
	if res.Close {
		return 0
	}
	for _, v := range res.Header.Values("Keep-Alive") {
		if s, ok := keepAliveTimeout(v); ok {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if errors.Is(err, io.EOF) && !x.delimited && x.resetWhileWriting() {
		err = connend.ErrReset
	}
	if errors.Is(err, io.EOF) {
		x.eof = true
	} else if err != nil {
		err = x.joinCause(fmt.Errorf("upstream: read body: %w", err))
	}
	return n, err
}

// resetWhileWriting reports whether the connection, whose end was read, is reset because the server doesn't take the rest of the request.
func (x *exchange) resetWhileWriting() bool {
	c, ok := x.conn.Conn.(*connend.Conn)
	return ok && x.bodyWritten != nil && c.ResetBefore(x.bodyWritten)
}

// Close ends the call. The connection goes back to the pool if its answer was read to the end and its request was
// written in full.
func (x *exchange) Close() error {
	if x.done {
		return nil
	}
	clean := x.eof && x.keepTime > 0
	if clean && x.bodyWritten != nil {
		select {
		case <-x.bodyWritten:
			clean = x.writeErr == nil
		case <-time.After(writeEndWait):
			// The server answered before it read the whole body. It would take the next request for the rest of that
			// body.
			clean = false
		}
	}
	x.endAckWatch()
	if !clean || x.unacked.Load() || !x.stopWatch() || x.conn.reader.Buffered() > 0 {
		x.abandon()
		return nil
	}
	x.done = true
	x.pool.putIdle(x.conn, x.keepTime)
	return nil
}

func (x *exchange) endAckWatch() {
	if x.stopAcks != nil {
		x.stopAcks()
		x.stopAcks = nil
	}
}

// abandon ends the call and closes its connection.
func (x *exchange) abandon() {
	x.endAckWatch()
	x.done = true
	x.stopWatch()
	_ = x.conn.Close()
}
