package openai_test

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// TestInvalidCacheResponses sends cache responses that are too large before or after decompression, that don't match
// their encoding, or that are not JSON. Each has to fail with an engine error.
func TestInvalidCacheResponses(t *testing.T) {
	long := append(bytes.Repeat([]byte(" "), 2*engine.MaxCachePage), `{"events":[]}`...)
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, err := z.Write(long)
	require.NoError(t, err)
	require.NoError(t, z.Close())
	answers := map[string]struct {
		encoding string
		body     []byte
	}{
		"too large":                   {"", long},
		"too large when decompressed": {"gzip", zipped.Bytes()},
		"declared gzip but plain":     {"gzip", []byte(`{"events":[]}`)},
		"truncated gzip":              {"gzip", zipped.Bytes()[:zipped.Len()/2]},
		"unknown encoding":            {"br", zipped.Bytes()},
		"not JSON":                    {"", []byte("no")},
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Encoding", a.encoding)
				_, _ = w.Write(a.body)
			}))
			defer srv.Close()
			c := newClient(t, openai.Options{})
			_, err := c.CacheEvents(t.Context(), engine.Target{Server: "s", Address: srv.Listener.Addr().String()}, 0, 10)
			require.Equal(t, "s", errorOf(t, err).Server)
		})
	}
}

// TestCacheEventsKeepsNewest checks that only the newest events are returned when a server sends more than requested.
func TestCacheEventsKeepsNewest(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"events":[{"sequence":1},{"sequence":2},{"sequence":3}]}`))
	}))
	defer srv.Close()
	c := newClient(t, openai.Options{})
	page, err := c.CacheEvents(t.Context(), engine.Target{Server: "s", Address: srv.Listener.Addr().String()}, 0, 2)
	require.NoError(t, err)
	require.Equal(t, []engine.CacheEvent{{Sequence: 2}, {Sequence: 3}}, page.Events)
}
