package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeBuffer bounds the bytes in flight one way, as a socket's buffers do.
const pipeBuffer = 256 << 10

// pipe carries bytes one way.
type pipe struct {
	mu     sync.Mutex
	buf    []byte
	eof    bool
	reset  bool
	silent bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.wake()
}

func (p *pipe) silence() { p.set(func() { p.silent = true }) }

// read takes bytes without blocking. ok is false when there is nothing yet; wait then tells of the next change.
func (p *pipe) read(b []byte) (n int, ok bool, wait <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.reset:
		return 0, true, nil, syscall.ECONNRESET
	case len(p.buf) > 0:
		n = copy(b, p.buf)
		p.buf = p.buf[n:]
		p.wake()
		return n, true, nil, nil
	case p.eof && !p.silent:
		return 0, true, nil, io.EOF
	}
	return 0, false, p.changed, nil
}

// write puts bytes without blocking and returns how many it took.
func (p *pipe) write(b []byte, drop bool) (n int, wait <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reset || p.eof {
		return 0, nil, syscall.EPIPE
	}
	if drop || p.silent {
		p.silent = true
		return len(b), nil, nil
	}
	n = min(len(b), pipeBuffer-len(p.buf))
	if n > 0 {
		p.buf = append(p.buf, b[:n]...)
		p.wake()
	}
	return n, p.changed, nil
}

// deadline ends waits at a time; its channel closes then.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	ch    chan struct{}
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer, d.ch = nil, make(chan struct{})
	if t.IsZero() {
		return
	}
	ch := d.ch
	if wait := time.Until(t); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(ch) })
		return
	}
	close(ch)
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch == nil {
		d.ch = make(chan struct{})
	}
	return d.ch
}

type conn struct {
	net           *Network
	link          link
	in, out       *pipe
	local, remote net.Addr
	readBy        deadline
	writeBy       deadline
}

func (c *conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		done := c.readBy.done()
		select {
		case <-done:
			return 0, os.ErrDeadlineExceeded
		default:
		}
		n, ok, wait, err := c.in.read(b)
		if ok {
			return n, err
		}
		select {
		case <-wait:
		case <-done:
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		done := c.writeBy.done()
		drop := c.net.fault(c.link) == Silence
		n, wait, err := c.out.write(b[sent:], drop)
		sent += n
		if err != nil {
			return sent, err
		}
		if n > 0 {
			continue
		}
		select {
		case <-wait:
		case <-done:
			return sent, os.ErrDeadlineExceeded
		}
	}
	return sent, nil
}

func (c *conn) Close() error {
	c.net.forget(c)
	drop := c.net.fault(c.link) == Silence
	c.out.set(func() {
		c.out.silent = c.out.silent || drop
		c.out.eof = true
	})
	c.in.set(func() { c.in.reset = true })
	return nil
}

// reset breaks the connection for both sides.
func (c *conn) reset() {
	c.in.set(func() { c.in.reset = true })
	c.out.set(func() { c.out.reset = true })
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.readBy.set(t)
	c.writeBy.set(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.readBy.set(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBy.set(t)
	return nil
}
