package openai_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

func startServer(t *testing.T, o standin.Options) *standin.Server {
	t.Helper()
	s := standin.New(o)
	require.NoError(t, s.Start())
	t.Cleanup(s.Crash)
	return s
}

func chatCall(question string) engine.Call {
	body := fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, question)
	return engine.Call{AttemptID: "a-1", Operation: engine.Chat, Body: []byte(body)}
}

var errNegative = errors.New("negative index")

// readAll returns the text of a stream. It fails when the stream ends without an end marker.
func readAll(ctx context.Context, s engine.Stream) (string, error) {
	defer func() { _ = s.Close() }()
	var text strings.Builder
	for {
		ev, err := s.Next(ctx)
		if err != nil {
			return text.String(), err
		}
		if ev.Index < 0 {
			return "", errNegative
		}
		if ev.End {
			break
		}
		text.WriteString(ev.Text)
	}
	_, err := s.Next(ctx)
	if !errors.Is(err, io.EOF) {
		return text.String(), fmt.Errorf("expected io.EOF after the end of the stream: %w", err)
	}
	return text.String(), nil
}

func TestStreamFromUnmodifiedServer(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s", Stock: true, Tokens: 5})
	c := newClient(t, openai.Options{})
	st, err := c.Stream(t.Context(), s.Target(), chatCall("q"))
	require.NoError(t, err)
	text, err := readAll(t.Context(), st)
	require.NoError(t, err)
	require.Equal(t, standin.AnswerText("q", 5), text)
}

func TestResumedStreamContinuesAtToken(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s", Tokens: 5})
	c := newClient(t, openai.Options{})
	call := chatCall("q")
	call.ResumeFrom = 3
	call.ResumeText = standin.AnswerText("q", 3)
	st, err := c.Stream(t.Context(), s.Target(), call)
	require.NoError(t, err)
	ev, err := st.Next(t.Context())
	require.NoError(t, err)
	require.Equal(t, 3, ev.Index)
	require.Equal(t, standin.Token("q", 3), ev.Text)
	require.NoError(t, st.Close())
	require.Contains(t, s.Records()[0].Body, `"resume_from":3`)
}

func TestStreamFaults(t *testing.T) {
	for _, tc := range []struct {
		fault standin.Fault
		kind  engine.Kind
	}{
		{standin.FaultTruncate, engine.Truncated},
		{standin.FaultCrashMidStream, engine.Truncated},
		{standin.FaultSilentMidStream, engine.Silent},
		{standin.FaultCross, engine.WrongAttempt},
	} {
		t.Run(standin.FaultNames[tc.fault], func(t *testing.T) {
			s := startServer(t, standin.Options{Name: "s"})
			s.SetFault(tc.fault, 1)
			c := newClient(t, openai.Options{ProgressTimeout: 100 * time.Millisecond})
			st, err := c.Stream(t.Context(), s.Target(), chatCall("q"))
			if err == nil {
				_, err = readAll(t.Context(), st)
			}
			e := errorOf(t, err)
			require.Equal(t, tc.kind, e.Kind)
			require.True(t, e.Sent)
		})
	}
}

func TestMissingAttemptIDIsRejected(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s", Stock: true})
	c := newClient(t, openai.Options{})
	target := s.Target()
	target.Capabilities = []string{openai.CapabilityAttemptID}
	_, err := c.Call(t.Context(), target, httpCall(http.MethodPost, "book"))
	require.Equal(t, engine.WrongAttempt, errorOf(t, err).Kind)
}

func TestErrorKindByStatus(t *testing.T) {
	for status, kind := range map[int]engine.Kind{
		http.StatusTooManyRequests:     engine.Overloaded,
		http.StatusServiceUnavailable:  engine.Overloaded,
		http.StatusInternalServerError: engine.Failed,
		http.StatusBadRequest:          engine.Rejected,
		http.StatusFound:               engine.Rejected,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(status)
		}))
		c := newClient(t, openai.Options{})
		_, err := c.Call(t.Context(), engine.Target{Server: "s", Address: srv.Listener.Addr().String()}, chatCall("q"))
		e := errorOf(t, err)
		require.Equal(t, kind, e.Kind, "status %d", status)
		require.Equal(t, 7*time.Second, e.RetryAfter)
		require.True(t, e.Sent)
		srv.Close()
	}
}

func TestControlCalls(t *testing.T) {
	s := startServer(t, standin.Options{Name: "s", Capacity: 3, ColdCalls: 5, ChecksFence: true, CacheGap: 2})
	c := newClient(t, openai.Options{})
	ctx, target := t.Context(), s.Target()
	load, err := c.Load(ctx, target)
	require.NoError(t, err)
	require.Equal(t, engine.Load{Capacity: 3, Cold: true}, load)

	state, err := c.Order(ctx, target, engine.Order{ID: "o", Kind: "role", Value: "decode", Fence: 5})
	require.NoError(t, err)
	require.Equal(t, engine.OrderState{Kind: "role", Value: "decode", Fence: 5}, state)
	_, err = c.Order(ctx, target, engine.Order{ID: "p", Kind: "role", Value: "prefill", Fence: 4})
	require.Equal(t, engine.Stale, errorOf(t, err).Kind)
	state, err = c.ReadOrder(ctx, target, "role")
	require.NoError(t, err)
	require.Equal(t, "decode", state.Value)

	var calls []engine.Call
	for i := range 3 {
		calls = append(calls, chatCall(strings.Repeat(fmt.Sprint(i), engine.PrefixBlock)))
		_, err = c.Call(ctx, target, calls[i])
		require.Error(t, err, "a streamed response is not a single JSON value")
	}
	page, err := c.CacheEvents(ctx, target, 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Events, 2)
	require.Equal(t, uint64(3), page.Events[1].Sequence, "the gap in sequence numbers is preserved")
	require.Equal(t, engine.PrefixBlocks(calls[2].Body), page.Events[1].Stored, "server and client compute the same block hashes")
	page, err = c.CacheEvents(ctx, target, 0, 1)
	require.NoError(t, err)
	require.Equal(t, uint64(3), page.Events[0].Sequence, "the newest events are returned")
	require.Positive(t, page.Bytes)

	require.NoError(t, c.Cancel(ctx, target, "unknown"))
	require.NoError(t, c.ImportKV(ctx, target, "a-9", []byte("cache")))
	data, err := c.ExportKV(ctx, target, "a-9")
	require.NoError(t, err)
	require.Equal(t, "cache", string(data))
}

// FuzzStream feeds arbitrary bytes as a stream: the client must stop with the end marker or an error and never loop
// forever.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"x\",\"choices\":[]}\n\ndata: {\"id\":\"y\"}\n\n"))
	f.Add([]byte(": comment\nevent: x\ndata:\n\ndata: [DONE]"))
	f.Add([]byte("data: {\"daisyhatch\":{\"index\":-5,\"attempt\":\"z\"},\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"))
	f.Add([]byte("data: {\"daisyhatch\":{\"index\":-5},\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"error\":{\"message\":\"x\"}}\n\n"))
	var answer []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
	defer srv.Close()
	c := openai.New(openai.Options{})
	defer c.Close()
	target := engine.Target{Server: "s", Address: srv.Listener.Addr().String()}
	f.Fuzz(func(t *testing.T, data []byte) {
		answer = data
		st, err := c.Stream(t.Context(), target, chatCall("q"))
		require.NoError(t, err)
		_, err = readAll(t.Context(), st)
		if err == nil {
			require.Contains(t, string(data), "[DONE]")
			return
		}
		require.True(t, errorOf(t, err).Sent)
	})
}
