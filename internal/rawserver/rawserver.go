// Package rawserver helps tests to run backend servers that write whatever bytes they like.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that calls serve for each connection, which is closed afterwards, and returns its address.
func Start(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}

// StartEarly starts a server that calls answer as soon as it has read the head of a connection's first request. rest reads the body.
func StartEarly(t testing.TB, answer func(c *net.TCPConn, rest io.Reader)) (address string) {
	t.Helper()
	return Start(t, func(c *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			answer(c, req.Body)
		}
	})
}
