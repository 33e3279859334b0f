package fleet

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/listen"
)

// Guards against an order that is read in time, but whose base is confirmed only after its caller has given up and given the opposite order
// elsewhere.
func TestOrderWhoseBaseIsConfirmedLateIsRefused(t *testing.T) {
	const unread, domain = 400 * time.Millisecond, "a"
	held := make(chan struct{})
	reached := make(chan struct{}, 64)
	// The first VM leads; the second one asks it for confirmations.
	g := newStopGroupOver(t, 2, nil, &http.Client{Transport: transportFunc(func(r *http.Request) (*http.Response, error) {
		if strings.HasSuffix(r.URL.Path, "/ReadIndex") {
			reached <- struct{}{}
			select {
			case <-held:
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
		return http.DefaultTransport.RoundTrip(r)
	})})
	for _, c := range g.controls {
		c.opts.LossesBorne = 0
	}
	require.NoError(t, g.controls[0].SetDomain(t.Context(), domain, true))
	result := make(chan error, 1)
	s := listen.New(listen.Options{
		Name: "late", Address: "127.0.0.1:0", Arrivals: true, Log: logr.Discard(),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			result <- g.controls[1].SetDomain(r.Context(), domain, false)
		}),
		Network: listen.Network{Listen: func(ctx context.Context, address string) (net.Listener, error) {
			l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
			return lateListener{l, unread}, err
		}},
	})
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.Address())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	given := time.Now()
	_, err = c.Write([]byte("DELETE / HTTP/1.1\r\nHost: h\r\n\r\n"))
	require.NoError(t, err)
	<-reached
	require.Less(t, time.Since(given), callerPatience, "the order must be read in time")
	time.Sleep(time.Until(given.Add(callerPatience)))
	require.NoError(t, g.controls[0].SetDomain(t.Context(), domain, false))
	require.NoError(t, g.controls[0].SetDomain(t.Context(), domain, true))
	close(held)
	require.ErrorIs(t, <-result, ErrUnavailable)
	view, _ := g.controls[0].opts.Machine.View()
	require.Equal(t, []string{domain}, view.Revision.DomainsOut, "the later order was undone")
}
