package upstream

import (
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
const tcpUserTimeout = 0x12

// setUserTimeout makes the kernel close a connection whose sent data stays unacknowledged for d. Errors are ignored,
// since the deadline of the call limits it as well.
func setUserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
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
