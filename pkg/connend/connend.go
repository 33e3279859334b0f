// Package connend tells the orderly end of a TCP connection from a reset while one goroutine writes and another one reads.
//
// The system reports a reset once, to the call that meets it first. If that is a write, the next read returns io.EOF, as it does after the
// peer has closed its side in order.
package connend

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrReset means that a connection was reset, so that what was read from it may not be whole.
var ErrReset = errors.New("connend: the connection was reset")

// tcpClose is the kernel's TCP_CLOSE, the state of a connection that was reset. One whose peer closed its side is in TCP_CLOSE_WAIT.
const tcpClose = 7

const (
	// SettleTime is how long data that the peer hasn't acknowledged may wait at the end of a connection before the end counts as orderly: several
	// round trips within a region. A peer that closed both sides resets the connection when it receives more data.
	SettleTime = 20 * time.Millisecond
	// maxWatch bounds the watch for a connection on which nothing is written.
	maxWatch = 500 * time.Millisecond
	// checkInterval is the time between two looks at such a connection.
	checkInterval = time.Millisecond
)

// Conn is a TCP connection on which Read returns io.EOF only if the peer closed its side in order. After a reset it returns ErrReset.
type Conn struct {
	net.Conn
	raw syscall.RawConn
}

// Wrap returns a Conn over a TCP connection, and any other connection unchanged.
func Wrap(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c
	}
	return &Conn{Conn: c, raw: raw}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.ResetBefore(nil) {
		err = ErrReset
	}
	return n, err
}

// ResetBefore reports whether the connection, whose end was read, is reset before all data is written and acknowledged, or has waited for
// SettleTime; it looks for maxWatch at most. written is closed when no more data will be written; nil means that none will be.
func (c *Conn) ResetBefore(written <-chan struct{}) bool {
	began := time.Now()
	for waiting := began; ; time.Sleep(checkInterval) {
		ended := isClosed(written)
		reset, unacked := c.state()
		switch {
		case reset:
			return true
		case ended && !unacked, time.Since(began) >= maxWatch:
			return false
		case !unacked:
			waiting = time.Now()
		case time.Since(waiting) >= SettleTime:
			return false
		}
	}
}

func isClosed(ch <-chan struct{}) bool {
	if ch == nil {
		return true
	}
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// state returns whether the connection was reset, and whether written data waits for an acknowledgement. A connection closed on this side
// counts as reset. Where the system doesn't tell, both are false.
func (c *Conn) state() (reset, unacked bool) {
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		reset = info.State == tcpClose
		unacked = info.Unacked > 0 || info.Notsent_bytes > 0
	})
	return reset || err != nil, unacked
}
