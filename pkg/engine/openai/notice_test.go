package openai_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

// TestNoticesArePassedOn checks that Options.OnNotice gets a server's leaving and retry headers from the responses of
// calls, streams and control calls, whether they succeed or fail.
func TestNoticesArePassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   holdoff.Notice
	}{
		"leaving":                 {http.StatusOK, http.Header{openai.HeaderLeaving: {"1"}}, holdoff.Notice{Leaving: true}},
		"overloaded, retry later": {http.StatusServiceUnavailable, http.Header{"Retry-After": {"1.5"}}, holdoff.Notice{Wait: 1500 * time.Millisecond}},
		"failed while leaving":    {http.StatusInternalServerError, http.Header{openai.HeaderLeaving: {"1"}}, holdoff.Notice{Leaving: true}},
		"no notice":               {http.StatusOK, nil, holdoff.Notice{}},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for k, v := range c.header {
					w.Header()[k] = v
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte("{}"))
			}))
			defer srv.Close()
			var got []holdoff.Notice
			client := openai.New(openai.Options{OnNotice: func(to engine.Target, n holdoff.Notice) {
				require.Equal(t, "s", to.Server)
				got = append(got, n)
			}})
			defer client.Close()
			target := engine.Target{Server: "s", Incarnation: "1", Address: srv.Listener.Addr().String()}
			_, _ = client.Call(t.Context(), target, chatCall("q"))
			if s, err := client.Stream(t.Context(), target, chatCall("q")); err == nil {
				require.NoError(t, s.Close())
			}
			_, _ = client.Load(t.Context(), target)
			_ = client.Probe(t.Context(), target)
			if c.want.Empty() {
				require.Empty(t, got)
				return
			}
			require.Equal(t, []holdoff.Notice{c.want, c.want, c.want, c.want}, got)
		})
	}
}
