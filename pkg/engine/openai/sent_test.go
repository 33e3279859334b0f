package openai_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

var errDial = errors.New("dial")

// httpCall returns a call to a plain HTTP service.
func httpCall(method string, body string) engine.Call {
	return engine.Call{AttemptID: "a-1", Operation: engine.HTTP, Method: method, Path: "/book", Body: []byte(body)}
}

func errorOf(t *testing.T, err error) *engine.Error {
	t.Helper()
	var e *engine.Error
	require.ErrorAs(t, err, &e)
	return e
}

func newClient(t *testing.T, o openai.Options) *openai.Client {
	t.Helper()
	c := openai.New(o)
	t.Cleanup(c.Close)
	return c
}

// limitedConn is a connection that fails writes beyond limit bytes and counts the bytes written.
type limitedConn struct {
	net.Conn
	limit   int
	written *atomic.Int64
}

func (w limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), w.limit)
	w.written.Add(int64(n))
	if n < len(p) {
		return n, errDial
	}
	return w.Conn.Write(p)
}

func TestSentIsFalseOnlyWhenNothingWritten(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s"})
	for _, tc := range []struct {
		name string
		dial func(written *atomic.Int64) func(context.Context, string, string) (net.Conn, error)
		kind engine.Kind
		sent bool
		// connect is the connect timeout; 0 uses the default.
		connect time.Duration
	}{
		{"refused", func(*atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
			return func(context.Context, string, string) (net.Conn, error) { return nil, errDial }
		}, engine.Refused, false, 0},
		{"timeout while connecting", func(*atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, _, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, engine.Refused, false, 20 * time.Millisecond},
		{"write error after a partial send", func(written *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return limitedConn{conn, 10, written}, err
			}
		}, engine.Crashed, true, 0},
		{"write error before the first byte", func(written *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return limitedConn{conn, 0, written}, err
			}
		}, engine.Crashed, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var written atomic.Int64
			c := newClient(t, openai.Options{ConnectTimeout: tc.connect, Dial: tc.dial(&written)})
			// Without the incarnation capability, the call's bytes are the only ones on the connection.
			target := s.Target()
			target.Capabilities = []string{openai.CapabilityAttemptID}
			_, err := c.Call(t.Context(), target, httpCall(http.MethodPost, "book"))
			e := errorOf(t, err)
			require.Equal(t, tc.kind, e.Kind)
			require.Equal(t, tc.sent, e.Sent)
			require.False(t, written.Load() > 0 && !e.Sent)
		})
	}
	require.Empty(t, s.Records())
}

// TestNothingIsWrittenAfterNotSent cancels calls at varying times and checks that a call reported as not sent never
// reaches the server.
func TestNothingIsWrittenAfterNotSent(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s"})
	c := newClient(t, openai.Options{})
	notSent := map[string]bool{}
	for i := range 300 {
		call := httpCall(http.MethodPost, "book")
		call.AttemptID = "a-" + strings.Repeat("x", i)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*2*time.Microsecond)
		_, err := c.Call(ctx, s.Target(), call)
		cancel()
		if err != nil && !errorOf(t, err).Sent {
			notSent[call.AttemptID] = true
		}
	}
	require.NotEmpty(t, notSent)
	for _, r := range s.Records() {
		require.False(t, notSent[r.Attempt], "call ran although it was reported as not sent")
	}
}

// TestBrokenConnectionIsNotReplayed breaks a reused connection after the server received a call. http.Transport must
// not resend the call on its own, whatever its method.
func TestBrokenConnectionIsNotReplayed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var calls atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			target := engine.Target{Server: "s", Address: srv.Listener.Addr().String()}
			c := newClient(t, openai.Options{})
			_, err := c.Call(t.Context(), target, httpCall(method, ""))
			require.NoError(t, err)
			_, err = c.Call(t.Context(), target, httpCall(method, ""))
			e := errorOf(t, err)
			require.True(t, e.Sent)
			require.Equal(t, engine.Crashed, e.Kind)
			require.Equal(t, int64(2), calls.Load())
		})
	}
}

func TestOldConnectionIsNotReused(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s"})
	var dials atomic.Int64
	c := newClient(t, openai.Options{
		MaxConnAge: time.Nanosecond,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	for range 3 {
		_, err := c.Call(t.Context(), s.Target(), httpCall(http.MethodPost, "book"))
		// Even a new connection exceeds this maximum age, so the call fails without being sent.
		require.False(t, errorOf(t, err).Sent)
	}
	require.Empty(t, s.Records())
	require.Greater(t, dials.Load(), int64(3))
}

// pipeNetwork is an in-memory listener and dialer, so that waits on it let the virtual time of synctest advance.
type pipeNetwork chan net.Conn

func (p pipeNetwork) Accept() (net.Conn, error) {
	conn, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipeNetwork) Close() error   { return nil }
func (p pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

func TestSilentServerAndSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := make(pipeNetwork)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path != openai.PathChat {
				<-r.Context().Done()
				return
			}
			for range 4 {
				_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		})}
		go func() { _ = server.Serve(network) }()
		c := openai.New(openai.Options{ProgressTimeout: time.Second, Dial: network.dial})
		target := engine.Target{Server: "s", Address: "10.0.0.1:1"}
		began := time.Now()
		_, err := c.Call(t.Context(), target, httpCall(http.MethodPost, "book"))
		e := errorOf(t, err)
		require.Equal(t, engine.Silent, e.Kind)
		require.True(t, e.Sent)
		require.Equal(t, time.Second, time.Since(began))

		st, err := c.Stream(t.Context(), target, chatCall("q"))
		require.NoError(t, err)
		time.Sleep(time.Minute) // a slow reader must not trigger the progress timeout
		ev, err := st.Next(t.Context())
		require.NoError(t, err)
		require.Equal(t, "a", ev.Text)
		time.Sleep(time.Minute)
		text, err := readAll(t.Context(), st)
		require.NoError(t, err)
		require.Equal(t, "aaa", text)
		c.Close()
		close(network)
		require.NoError(t, server.Close())
	})
}

func TestProbeErrorKinds(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s"})
	c := newClient(t, openai.Options{ProgressTimeout: 50 * time.Millisecond})
	target := s.Target()
	require.NoError(t, c.Probe(t.Context(), target))
	s.Crash()
	require.Equal(t, engine.Refused, errorOf(t, c.Probe(t.Context(), target)).Kind)
	require.NoError(t, s.Start())
	require.Equal(t, engine.Crashed, errorOf(t, c.Probe(t.Context(), target)).Kind, "server restarted as another incarnation")

	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	target.Address = silent.Addr().String()
	require.Equal(t, engine.Silent, errorOf(t, c.Probe(t.Context(), target)).Kind)
}

func TestTruncatedCloseDelimitedBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of an ans")
		_ = conn.Close()
	}()
	c := newClient(t, openai.Options{})
	_, err = c.Call(t.Context(), engine.Target{Server: "s", Address: l.Addr().String()}, httpCall(http.MethodPost, "book"))
	require.Equal(t, engine.Truncated, errorOf(t, err).Kind)
}
