package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peer is a server that does with each connection what the test says.
func peer(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// takeRequest reads one request whole; false when the caller has closed.
func takeRequest(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(req.Body)
	return req.RequestURI + " " + string(body), err == nil
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: 1\r\n\r\nok"

func get(t *testing.T, p *Pool, c Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(a.Body)
	require.NoError(t, a.Body.Close())
	return string(b), err
}

func call(address string) Call {
	return Call{Address: address, Method: http.MethodPost, Target: "/x?y=%2f", Host: "h", Header: http.Header{}, Body: []byte("b")}
}

func requireSent(t *testing.T, err error, sent bool) {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, sent, e.Sent)
}

func TestConnectionIsKeptAndTheRequestIsUnchanged(t *testing.T) {
	seen := make(chan string, 4)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, ok := takeRequest(r)
			if !ok {
				return
			}
			seen <- q
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	p := NewPool(nil)
	defer p.Close()
	for range 3 {
		body, err := get(t, p, call(address))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		require.Equal(t, "/x?y=%2f b", <-seen)
	}
	require.EqualValues(t, 1, p.Dials())
}

func TestUnreachableServerIsKnownNotToHaveRunTheCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	_, err = get(t, NewPool(nil), call(address))
	requireSent(t, err, false)
}

func TestClosedAfterTheRequestMayHaveRun(t *testing.T) {
	address := peer(t, func(_ net.Conn, r *bufio.Reader) { takeRequest(r) })
	_, err := get(t, NewPool(nil), call(address))
	requireSent(t, err, true)
}

func TestCallIsNeverRepeatedOnAConnectionThatWasClosedWhileIdle(t *testing.T) {
	calls := make(chan string, 8)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		q, _ := takeRequest(r)
		calls <- q
		_, _ = io.WriteString(c, okAnswer)
	})
	p := NewPool(nil)
	_, err := get(t, p, call(address))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		list := p.idle[address]
		return len(list) == 1 && !quiet(list[0].Conn)
	}, time.Second, time.Millisecond)
	_, err = get(t, p, call(address))
	require.NoError(t, err, "the closed connection is noticed before it is used")
	require.Len(t, calls, 2)
}

func TestAnswersToOtherCallsAreSkipped(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		takeRequest(r)
		_, _ = io.WriteString(c, strings.Replace(okAnswer, "Id: 1", "Id: 9", 1)+strings.Replace(okAnswer, "ok", "me", 1))
		_, _ = r.ReadByte()
	})
	q := call(address)
	q.Owns = func(h http.Header) bool { return h.Get("Id") == "1" }
	body, err := get(t, NewPool(nil), q)
	require.NoError(t, err)
	require.Equal(t, "me", body)
}

func TestBytesBehindAnAnswerSpoilTheConnection(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		takeRequest(r)
		_, _ = io.WriteString(c, okAnswer+"more")
		_, _ = r.ReadByte()
	})
	p := NewPool(nil)
	for range 2 {
		body, err := get(t, p, call(address))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 2, p.Dials())
}

func TestShortBodyIsAnError(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 9", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			address := peer(t, func(c net.Conn, r *bufio.Reader) {
				takeRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n5\r\nok")
			})
			_, err := get(t, NewPool(nil), call(address))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, okAnswer)
		time.Sleep(2 * time.Second)
	})
	p := NewPool(nil)
	q := call(address)
	q.Body = make([]byte, 64<<20)
	body, err := get(t, p, q)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.Empty(t, p.idle, "the next request would be read as the rest of this body")
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
		takeRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	cause := errors.New("the caller left")
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(cause) })
	_, err := NewPool(nil).Do(ctx, call(address))
	require.ErrorIs(t, err, cause)
	requireSent(t, err, true)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server was not told")
	}
}

func TestRefusedSendLeavesNothing(t *testing.T) {
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
		if _, ok := takeRequest(r); ok {
			t.Error("a request arrived")
		}
	})
	q := call(address)
	q.OnSend = func() error { return errors.New("the server leaves") }
	_, err := get(t, NewPool(nil), q)
	requireSent(t, err, false)
}

func TestKeepAliveSeconds(t *testing.T) {
	for v, want := range map[string]int{"timeout=5": 5, "max=3, Timeout=7": 7, "timeout=x": -1, "": -1, "timeout=-2": -1} {
		got, ok := keepAliveSeconds(v)
		if !ok {
			got = -1
		}
		require.Equal(t, want, got, v)
	}
}

// pours writes a start and then the same bytes without end, until the caller closes; it counts what was taken.
func pours(t *testing.T, start, rest string, taken *atomic.Int64) string {
	return peer(t, func(c net.Conn, r *bufio.Reader) {
		takeRequest(r)
		block := strings.Repeat(rest, 1+4096/len(rest))
		for next := start + block; ; next = block {
			n, err := io.WriteString(c, next)
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
}

// A server in trouble may send bytes without end where a head is due. The call must end soon and hold little memory.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ start, rest string }{
		"no line":       {"", "x"},
		"status line":   {"HTTP/1.1 200 ", "O"},
		"header value":  {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int64
			begin := time.Now()
			_, err := get(t, NewPool(nil), call(pours(t, c.start, c.rest, &taken)))
			requireSent(t, err, true)
			require.Less(t, time.Since(begin), time.Second)
			require.Less(t, taken.Load(), int64(16<<20), "what the sockets hold is part of it")
		})
	}
}

// A connection whose answer was not the caller's is never used again, since the right one may still come on it.
func TestDiscardedAnswerEndsTheConnection(t *testing.T) {
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, ok := takeRequest(r); !ok {
				return
			}
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	p := NewPool(nil)
	a, err := p.Do(t.Context(), call(address))
	require.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	require.NoError(t, err)
	a.Discard()
	require.NoError(t, a.Body.Close())
	_, err = get(t, p, call(address))
	require.NoError(t, err)
	require.EqualValues(t, 2, p.Dials())
}
