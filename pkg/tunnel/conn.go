package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// maxReuseAge is how long after it was made a tunnel is used for another call, so that a VM that stops gets no new calls
// beyond it.
const maxReuseAge = 2 * time.Second

// Conn is a connection to a backend server through another VM. A Read returns io.EOF only if the server closed its side in
// order.
type Conn struct {
	net.Conn
	made   time.Time
	cancel context.CancelFunc
	// waiting is true while bytes or the end of the tunnel wait to be read.
	waiting atomic.Bool
	closing sync.Once

	mu sync.Mutex
	// err is why the tunnel ended; nil while it is open.
	err error
}

// newConn returns the connection of an open tunnel. cancel ends the stream.
func newConn(s *clientStream, cancel context.CancelFunc, address string) *Conn {
	near, far := net.Pipe()
	c := &Conn{Conn: near, made: time.Now(), cancel: cancel}
	go c.send(s, far)
	go c.receive(s, far)
	return c
}

// send passes written bytes on until the connection is closed.
func (c *Conn) send(s *clientStream, far net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := far.Read(buffer)
		if n > 0 {
			if err := s.Send(&daisyhatchv1.TunnelRequest{Data: buffer[:n]}); err != nil {
				// The stream's own error arrives at receive, after what the server sent before.
				_, _ = io.Copy(io.Discard, far)
				return
			}
		}
		if err != nil {
			c.cancel()
			return
		}
	}
}

// receive makes the server's bytes readable until the tunnel ends.
func (c *Conn) receive(s *clientStream, far net.Conn) {
	for {
		res, err := s.Receive()
		switch {
		case err != nil:
			c.end(errors.Join(ErrBroken, err))
		case res.GetState() == daisyhatchv1.TunnelState_TUNNEL_STATE_ENDED:
			c.end(io.EOF)
		default:
			c.waiting.Store(true)
			_, err = far.Write(res.GetData())
			if err == nil {
				c.waiting.Store(false)
				continue
			}
			c.end(errors.Join(ErrBroken, err))
		}
		_ = far.Close()
		c.cancel()
		return
	}
}

func (c *Conn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting.Store(true)
	c.err = err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err != nil {
			err = c.err
		} else {
			err = ErrBroken
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closing.Do(c.cancel)
	return c.Conn.Close()
}

// NothingReceived reports whether neither bytes nor the end of the tunnel wait to be read.
func (c *Conn) NothingReceived() bool { return !c.waiting.Load() }

// Reusable reports whether another call may be made on the connection.
func (c *Conn) Reusable(now time.Time) bool { return now.Sub(c.made) < maxReuseAge }
