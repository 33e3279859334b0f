package processes

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// silentPause is the time between two looks at a silent connection whose other end is gone.
const silentPause = 50 * time.Millisecond

// wires are the connections that one backend server accepted. Faults are put on those that are open; new ones work.
// It is safe for concurrent use.
type wires struct {
	mu   sync.Mutex
	open map[*wire]struct{}
}

func newWires() *wires { return &wires{open: make(map[*wire]struct{})} }

// wrap returns l with its connections known to w.
func (w *wires) wrap(l net.Listener) net.Listener { return &wiredListener{Listener: l, wires: w} }

// silence makes all open connections drop what comes and goes.
func (w *wires) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		c.silence()
	}
}

// cut breaks all open connections.
func (w *wires) cut() {
	w.mu.Lock()
	open := w.open
	w.open = make(map[*wire]struct{})
	w.mu.Unlock()
	for c := range open {
		_ = c.Close()
	}
}

func (w *wires) add(c *wire) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[c] = struct{}{}
}

func (w *wires) remove(c *wire) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, c)
}

type wiredListener struct {
	net.Listener
	wires *wires
}

// Accept returns the next connection.
func (l *wiredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: c, wires: l.wires, quiet: make(chan struct{}), closed: make(chan struct{})}
	l.wires.add(w)
	return w, nil
}

// wire is one connection, which may have gone silent.
type wire struct {
	net.Conn
	wires     *wires
	quiet     chan struct{}
	quietOnce sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *wire) silence() { c.quietOnce.Do(func() { close(c.quiet) }) }

func (c *wire) silent() bool {
	select {
	case <-c.quiet:
		return true
	default:
		return false
	}
}

// Read drops what came after the connection went silent, the other end's close too. Deadlines hold.
func (c *wire) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent() || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return n, err
		}
		if err == nil {
			continue
		}
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(silentPause):
		}
	}
}

// Write drops what is written after the connection went silent.
func (c *wire) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *wire) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.wires.remove(c)
	return c.Conn.Close()
}
