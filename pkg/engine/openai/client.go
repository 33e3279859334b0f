// Package openai talks to backend servers by the OpenAI-compatible protocol, and to plain HTTP services.
//
// Bodies are those of the protocol. What daisyhatch adds goes in headers, and in a stream in the extra
// object "daisyhatch" of a chunk, so that stock servers work: they ignore it.
//
//	X-Daisyhatch-Attempt       the attempt's correlation ID, echoed by the server
//	X-Daisyhatch-Remaining-Ms  time left until the request's deadline
//	X-Daisyhatch-Priority      0 to 9, grows with urgency
//	X-Daisyhatch-Resume-From   count of tokens that the caller has; the body's object "daisyhatch" holds their text
//	X-Daisyhatch-Resumed-From  the server's answer: index of its first token
//	X-Daisyhatch-Prefill       1 asks to run the prompt only; the answer is a whole completion without text
//	X-Daisyhatch-Incarnation   the server's incarnation, on every answer
//	Server-Leaving             1 on every answer of a server that is about to end
//
// A server that turns a call away with 503 may tell in Retry-After for how many seconds it wants none from this VM.
//
// An answer that carries another attempt's ID is dropped. One that carries none is taken, unless the server announced
// the capability "attempt-id". A server that announced the capability "incarnation" is asked for it on each new
// connection, by its health check, so that a call meant for an incarnation that is gone is never sent.
package openai

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

// Headers that the protocol adds.
const (
	HeaderAttempt     = "X-Daisyhatch-Attempt"
	HeaderRemaining   = "X-Daisyhatch-Remaining-Ms"
	HeaderPriority    = "X-Daisyhatch-Priority"
	HeaderResumeFrom  = "X-Daisyhatch-Resume-From"
	HeaderResumedFrom = "X-Daisyhatch-Resumed-From"
	HeaderLeaving     = "Server-Leaving"
	HeaderIncarnation = "X-Daisyhatch-Incarnation"
	HeaderPrefill     = "X-Daisyhatch-Prefill"
)

// CapabilityAttemptID is announced by servers that echo the attempt ID on every answer.
const CapabilityAttemptID = "attempt-id"

// Paths of the fixed operations.
const (
	PathChat     = "/v1/chat/completions"
	PathEmbed    = "/v1/embeddings"
	PathRetrieve = "/v1/retrieve"
	PathRerank   = "/v1/rerank"
	PathCancel   = "/v1/cancel"
	PathLoad     = "/v1/load"
	PathCache    = "/v1/cache-events"
	PathOrders   = "/v1/orders"
	PathKV       = "/v1/kv"
	PathHealth   = "/health"
)

// Defaults of Options.
const (
	DefaultConnectTimeout  = 500 * time.Millisecond
	DefaultProgressTimeout = 10 * time.Second
	DefaultMaxAnswer       = 16 << 20
	DefaultMaxConnAge      = 5 * time.Minute
	DefaultKeepAlive       = 5 * time.Second
	defaultIdlePerServer   = 64
)

// Options set limits of a Client. Zero values take the defaults.
type Options struct {
	ConnectTimeout time.Duration
	// ProgressTimeout is the longest silence of a server in the midst of a call that sets none itself.
	ProgressTimeout time.Duration
	// MaxAnswer caps a whole answer in bytes.
	MaxAnswer int64
	// MaxConnAge is the age after which a connection is not used for another call.
	MaxConnAge time.Duration
	// KeepAlive is the time between the TCP keep-alive probes of a quiet connection.
	KeepAlive time.Duration
	// Noticed is told of answers whose server leaves, or wants no calls for a time; nil drops that.
	Noticed func(t engine.Target, n holdoff.Notice)
	// Dial makes connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client implements engine.Client. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	// probe makes a new connection for each call.
	probe *http.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		opts:  o,
		http:  &http.Client{Transport: newTransport(o, false), CheckRedirect: noRedirect},
		probe: &http.Client{Transport: newTransport(o, true), CheckRedirect: noRedirect},
	}
}

// Close releases idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.probe.CloseIdleConnections()
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = DefaultConnectTimeout
	}
	if o.ProgressTimeout <= 0 {
		o.ProgressTimeout = DefaultProgressTimeout
	}
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.MaxConnAge <= 0 {
		o.MaxConnAge = DefaultMaxConnAge
	}
	if o.KeepAlive <= 0 {
		o.KeepAlive = DefaultKeepAlive
	}
	if o.Dial == nil {
		d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: 3}}
		o.Dial = d.DialContext
	}
	return o
}

func newTransport(o Options, single bool) *http.Transport {
	return &http.Transport{
		DialContext:           gatedDial(o),
		DisableKeepAlives:     single,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   defaultIdlePerServer,
		IdleConnTimeout:       o.MaxConnAge,
		ExpectContinueTimeout: 0,
	}
}

// noRedirect hands redirects to the caller: following one would be a second call.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// oneShot is a request body that the transport can't replay, so that it never sends a call twice by itself.
type oneShot struct {
	io.Reader
}

func (oneShot) Close() error { return nil }
