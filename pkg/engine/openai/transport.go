package openai

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/daisyhatch/daisyhatch/pkg/answerhead"
)

// checkedTransport rejects answers whose head is not valid, and closes their connections.
type checkedTransport struct {
	*http.Transport
}

func newTransport(o Options, disableKeepAlives bool) checkedTransport {
	return checkedTransport{&http.Transport{
		DialContext:           trackedDial(o),
		DisableKeepAlives:     disableKeepAlives,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   defaultMaxIdleConns,
		IdleConnTimeout:       o.MaxConnAge,
		ExpectContinueTimeout: 0,
	}}
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[trackedConn]
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, _ := info.Conn.(*trackedConn)
			conn.Store(c)
		},
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error { return answerhead.Check(status, http.Header(h)) },
	})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := answerhead.Check(resp.StatusCode, resp.Header); err != nil {
		if c := conn.Load(); c != nil {
			c.discard()
		}
		_ = resp.Body.Close()
		return nil, fmt.Errorf("openai: read: %w", err)
	}
	return resp, nil
}
