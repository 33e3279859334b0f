package upstream

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose sent data stays unacknowledged for d. Errors are ignored,
// since the deadline of the call limits it as well.
func setUserTimeout(c syscall.Conn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

// ackCheckInterval is how often a connection on which a long body is written is checked for acknowledgements.
const ackCheckInterval = 250 * time.Millisecond

// ackWatch decides whether the peer of a connection that carries a long body has gone. It answers this load: servers that leave
// long bodies unread for seconds, whose receive window is closed meanwhile. TCP_USER_TIMEOUT counts that as loss, although the
// server's system answers each probe.
type ackWatch struct {
	// since is from when data or a probe has been waiting for an acknowledgement; zero when none is.
	since time.Time
}

// answerMargin is how long after the system's next repetition of data or a probe its acknowledgement may come.
const answerMargin = 500 * time.Millisecond

// lost reports whether sent data, or a probe of a closed window, has been waiting for an acknowledgement for unackedTimeout, and
// none came in that time, nor after the system's latest repetition; repeat is the time between two of these.
func (w *ackWatch) lost(waiting bool, sinceAck, repeat time.Duration, now time.Time) bool {
	switch {
	case !waiting:
		w.since = time.Time{}
		return false
	case w.since.IsZero():
		w.since = now
	}
	bound := max(unackedTimeout, repeat+answerMargin)
	return now.Sub(w.since) >= bound && sinceAck >= bound
}

// watchAcks puts an ackWatch in the place of a connection's TCP_USER_TIMEOUT. It calls lost once if the peer has gone. The
// function that it returns ends the watch; it is nil for connections other than TCP.
func watchAcks(c net.Conn, lost func()) (stop func()) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	setUserTimeout(socket, 0)
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(ackCheckInterval)
		defer tick.Stop()
		w := ackWatch{}
		for {
			select {
			case <-end:
				return
			case now := <-tick.C:
				if waiting, sinceAck, repeat := ackState(raw); w.lost(waiting, sinceAck, repeat, now) {
					lost()
					return
				}
			}
		}
	}()
	return func() {
		close(end)
		<-done
		setUserTimeout(socket, unackedTimeout)
	}
}

// ackState returns whether sent data or a probe waits for an acknowledgement, the time since the latest one, and the time after
// which the system repeats what waits. A connection whose state can't be read waits for none; the call's deadline bounds it.
func ackState(raw syscall.RawConn) (waiting bool, sinceAck, repeat time.Duration) {
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		waiting = info.Unacked > 0 || info.Probes > 0
		sinceAck = time.Duration(info.Last_ack_recv) * time.Millisecond
		repeat = time.Duration(info.Rto) * time.Microsecond
	})
	return waiting, sinceAck, repeat
}

// nothingReceived reports whether an idle connection has nothing to read: neither its end nor bytes that belong to no
// call.
func nothingReceived(c net.Conn) bool {
	if r, ok := c.(interface{ NothingReceived() bool }); ok {
		return r.NothingReceived()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err != syscall.EAGAIN
		return true
	})
	return err == nil && !waiting
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header in seconds; false when there is none.
func keepAliveTimeout(v string) (int, bool) {
	for part := range strings.SplitSeq(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return n, true
		}
	}
	return 0, false
}
