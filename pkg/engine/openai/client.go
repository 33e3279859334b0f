// Package openai implements engine.Client for OpenAI-compatible servers and for plain HTTP services.
//
// Bodies follow the protocol. daisyhatch adds its data in headers and, in stream chunks and resumed calls, in an object
// "daisyhatch". Unmodified servers ignore both.
//
//	X-Daisyhatch-Attempt       attempt ID, echoed by the server
//	X-Daisyhatch-Remaining-Ms  time left until the request's deadline in milliseconds
//	X-Daisyhatch-Priority      0 to 9; 9 is the most urgent
//	X-Daisyhatch-Resume-From   number of tokens that the caller has; object "daisyhatch" in the body holds their text
//	X-Daisyhatch-Resumed-From  in the response: index of the first token that the server sends
//	X-Daisyhatch-Prefill       1 means process the prompt only; the response is a complete, unstreamed one without text
//	X-Daisyhatch-Incarnation   the server's incarnation, in every response
//	Server-Leaving             1 in every response of a server that is shutting down
//
// A server that rejects a call with 503 may use Retry-After to stop further calls from this VM for some seconds.
//
// A response with the ID of another attempt is rejected. A response without an ID is accepted unless the server
// announced the capability "attempt-id". If the server announced the capability "incarnation", the client makes a
// health check on each new connection to learn its incarnation, so that a call for an earlier one is never sent.
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

// Headers that daisyhatch adds to the protocol.
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

// CapabilityAttemptID is announced by servers that echo the attempt ID in every response.
const CapabilityAttemptID = "attempt-id"

// Paths of the operations and control calls.
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
	defaultMaxIdleConns    = 64
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	ConnectTimeout time.Duration
	// ProgressTimeout is the longest time without data during a call, for calls that set none, and the total time of
	// a control call.
	ProgressTimeout time.Duration
	// MaxAnswer is the largest accepted response body in bytes, for calls that set none.
	MaxAnswer int64
	// MaxConnAge is the age above which a connection is not reused.
	MaxConnAge time.Duration
	// KeepAlive is the TCP keep-alive interval; a connection fails after 3 unanswered probes. Dial overrides it.
	KeepAlive time.Duration
	// OnNotice, if not nil, is called for each response that says that its server is leaving or wants no calls for a
	// time.
	OnNotice func(t engine.Target, n holdoff.Notice)
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client implements engine.Client. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	// noKeepAlive opens a new connection for each request.
	noKeepAlive *http.Client
}

var _ engine.Client = (*Client)(nil)

// New returns a Client.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		opts:        o,
		http:        &http.Client{Transport: newTransport(o, false), CheckRedirect: noRedirect},
		noKeepAlive: &http.Client{Transport: newTransport(o, true), CheckRedirect: noRedirect},
	}
}

// Close releases idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
	c.noKeepAlive.CloseIdleConnections()
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

// noRedirect returns redirects to the caller, since following one would send a second call.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// oneShotBody is a request body that http.Transport can't rewind, which keeps it from resending a call on its own.
type oneShotBody struct {
	io.Reader
}

func (oneShotBody) Close() error { return nil }
