package openai_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// TestNewConnectionAvoidsSilentOne checks that a call with NewConnection succeeds although the idle connection to its
// server delivers no packets any more; without it, the call uses that connection and times out.
func TestNewConnectionAvoidsSilentOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Listen("10.0.0.2:80")
		require.NoError(t, err)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(openai.HeaderAttempt, r.Header.Get(openai.HeaderAttempt))
			_, _ = io.WriteString(w, "booked")
		})}
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close() }()
		c := openai.New(openai.Options{Dial: n.Dialer("10.0.0.1"), ProgressTimeout: time.Second})
		defer c.Close()
		target := engine.Target{Server: "desk-1", Address: "10.0.0.2:80"}
		call := engine.Call{AttemptID: "a-1", Operation: engine.HTTP, Method: http.MethodPost, Path: "/book", Body: []byte("x"), Remaining: 5 * time.Second}
		_, err = c.Call(t.Context(), target, call)
		require.NoError(t, err)

		n.Set("10.0.0.1", "10.0.0.2", memnet.SilenceOpen)
		n.Set("10.0.0.2", "10.0.0.1", memnet.SilenceOpen)
		call.NewConnection = true
		_, err = c.Call(t.Context(), target, call)
		require.NoError(t, err)
		call.NewConnection = false
		_, err = c.Call(t.Context(), target, call)
		var e *engine.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, engine.Silent, e.Kind, "a call on the idle connection times out")
	})
}
