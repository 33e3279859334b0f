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

// setUserTimeout gives up a connection whose bytes stay unacknowledged. Without the option, the call's deadline does.
func setUserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

// quiet reports whether nothing waits to be read on an idle connection: neither its end nor bytes of nobody's answer.
func quiet(c net.Conn) bool {
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

// keepAliveSeconds reads the timeout of a Keep-Alive header.
func keepAliveSeconds(v string) (int, bool) {
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
