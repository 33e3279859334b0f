package openai_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/memnet"
	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// TestCallForFormerIncarnationNotSent restarts a server while a caller still targets the former incarnation. Its calls
// must not reach the new incarnation, neither on a new connection nor on one that was opened for the new incarnation.
func TestCallForFormerIncarnationNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		n.Latency = time.Millisecond
		s := standin.New(standin.Options{Name: "s1", Pool: "desk", Address: "10.0.0.2:80", Listen: n.Listen})
		require.NoError(t, s.Start())
		c := openai.New(openai.Options{Dial: n.Dialer("10.0.0.1")})
		defer c.Close()
		former := s.Target()
		call := httpCall(http.MethodPost, "x")
		call.Remaining = 5 * time.Second
		_, err := c.Call(t.Context(), former, call)
		require.NoError(t, err)
		s.Crash()
		require.NoError(t, s.Start())
		time.Sleep(10 * time.Millisecond)
		requireRefused := func() {
			t.Helper()
			for _, newConnection := range []bool{false, true} {
				call.NewConnection = newConnection
				_, err = c.Call(t.Context(), former, call)
				e := errorOf(t, err)
				require.Equal(t, engine.Refused, e.Kind)
				require.False(t, e.Sent)
			}
			call.NewConnection = false
		}
		requireRefused()
		_, err = c.Call(t.Context(), s.Target(), call)
		require.NoError(t, err)
		requireRefused()
		_, err = c.Load(t.Context(), s.Target())
		require.NoError(t, err)
		requireRefused()
		require.Len(t, s.Records(), 2, "exactly one call per incarnation")
		s.Crash()
	})
}
