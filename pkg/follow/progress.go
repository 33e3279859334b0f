package follow

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

type silenceTimerKey struct{}

// withSilenceTimer returns a context for calls through a progressClient, which reset t with each read from the
// response body.
func withSilenceTimer(ctx context.Context, t *time.Timer) context.Context {
	return context.WithValue(ctx, silenceTimerKey{}, t)
}

// progressClient resets the call's silence timer while the response body arrives, so that a large response may take
// longer than silenceTimeout.
type progressClient struct {
	connect.HTTPClient
}

// Do implements connect.HTTPClient.
func (c progressClient) Do(r *http.Request) (*http.Response, error) {
	a, err := c.HTTPClient.Do(r)
	t, ok := r.Context().Value(silenceTimerKey{}).(*time.Timer)
	if err == nil && ok {
		a.Body = progressBody{ReadCloser: a.Body, timer: t}
	}
	return a, err
}

type progressBody struct {
	io.ReadCloser
	timer *time.Timer
}

// Read implements io.Reader.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.timer.Reset(silenceTimeout)
	}
	return n, err
}
