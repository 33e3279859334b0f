// Package listen runs HTTP servers with the limits that every listener of the daemon shares.
package listen

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/net/netutil"

	"github.com/daisyhatch/daisyhatch/pkg/arrival"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
)

// Limits bounds what clients can make a listener hold. Zero fields take the defaults.
type Limits struct {
	// MaxHeader is the largest request header in bytes, default 16 KiB.
	MaxHeader int
	// HeaderTimeout is the longest time for a request's header, default 5 s.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without requests, default 60 s.
	IdleTimeout time.Duration
	// FlushTimeout is the longest time for the last bytes of a response, which are written when its handler has returned, default 10 s.
	FlushTimeout time.Duration
	// MaxConnections is the most connections at once, default 4096. Further ones wait to be accepted.
	MaxConnections int
}

// Defaults of Limits.
const (
	defaultMaxHeader      = 16 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultFlushTimeout   = 10 * time.Second
	defaultMaxConnections = 4096
)

// keepAlive is the period of TCP keep-alive probes, which find connections that went silent.
const keepAlive = 15 * time.Second

func (l Limits) withDefaults() Limits {
	l.MaxHeader = cmp.Or(l.MaxHeader, defaultMaxHeader)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	l.FlushTimeout = cmp.Or(l.FlushTimeout, defaultFlushTimeout)
	l.MaxConnections = cmp.Or(l.MaxConnections, defaultMaxConnections)
	return l
}

// ErrListen means that an address can't be listened on.
var ErrListen = errors.New("listen: can't listen")

// Network is how a process reaches others. Zero fields take the system's TCP.
type Network struct {
	Listen func(ctx context.Context, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

func (n Network) withDefaults() Network {
	if n.Listen == nil {
		lc := net.ListenConfig{KeepAlive: keepAlive}
		n.Listen = func(ctx context.Context, address string) (net.Listener, error) {
			return lc.Listen(ctx, "tcp", address)
		}
	}
	if n.Dial == nil {
		n.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	return n
}

// Options describe a listener.
type Options struct {
	// Name is used in logs.
	Name string
	// Address is IP:port.
	Address string
	Handler http.Handler
	// TLS may be nil for plain TCP, which then accepts HTTP/1.1 and HTTP/2 without TLS.
	TLS     *tls.Config
	Limits  Limits
	Network Network
	// Intake bounds the memory of what clients send; nil bounds nothing.
	Intake *intake.Budget
	// Reserved is true for listeners that callers don't use: what callers have sent doesn't keep requests on them out.
	Reserved bool
	// Arrivals makes the age of requests known to the handler, through arrival.Of.
	Arrivals bool
	Log      logr.Logger
}

// Server is one HTTP listener.
type Server struct {
	opts Options
	http *http.Server
	ln   net.Listener
	// arrivals is nil unless Options.Arrivals is set.
	arrivals *arrival.Tracker
	done     chan struct{}
}

// New returns a Server.
func New(o Options) *Server {
	o.Limits = o.Limits.withDefaults()
	o.Network = o.Network.withDefaults()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(o.TLS == nil)
	s := &Server{
		opts: o,
		done: make(chan struct{}),
		http: &http.Server{
			Handler:           o.Handler,
			TLSConfig:         o.TLS,
			Protocols:         protocols,
			MaxHeaderBytes:    o.Limits.MaxHeader,
			ReadHeaderTimeout: o.Limits.HeaderTimeout,
			IdleTimeout:       o.Limits.IdleTimeout,
			ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(o.Log.WithValues("listener", o.Name)), slog.LevelDebug),
		},
	}
	if o.Arrivals {
		s.arrivals = arrival.NewTracker(o.TLS != nil)
	}
	s.http.Handler = s.arrivals.Handler(s.http.Handler)
	o.Intake.Attach(s.http)
	s.http.Handler = limitLastFlush(s.http.Handler, o.Limits.FlushTimeout)
	return s
}

// limitLastFlush bounds the time for the last bytes of each response on HTTP/1; net/http ends the limit with the response. On HTTP/2
// these bytes are kept by the connection, which doesn't wait for them.
func limitLastFlush(next http.Handler, d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.ProtoMajor == 1 {
			// Only writers of tests can't set one.
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d))
		}
	})
}

// Start listens and serves in the background. It returns ErrListen when the address can't be had.
func (s *Server) Start(ctx context.Context) error {
	ln, err := s.opts.Network.Listen(ctx, s.opts.Address)
	if err != nil {
		return fmt.Errorf("%w on %s for %s: %w", ErrListen, s.opts.Address, s.opts.Name, err)
	}
	count := s.opts.Intake.Listen
	if s.opts.Reserved {
		count = s.opts.Intake.ListenReserved
	}
	s.ln = count(netutil.LimitListener(s.arrivals.Listen(ln), s.opts.Limits.MaxConnections), s.opts.TLS != nil)
	watch, cancel := context.WithCancel(context.WithoutCancel(ctx))
	go s.arrivals.Run(watch)
	go func() {
		defer cancel()
		s.serve()
	}()
	s.opts.Log.Info("listening", "listener", s.opts.Name, "address", ln.Addr().String(), "tls", s.opts.TLS != nil)
	return nil
}

// Address returns the address listened on, with the port that the system chose when 0 was asked for.
func (s *Server) Address() string { return s.ln.Addr().String() }

func (s *Server) serve() {
	defer close(s.done)
	var err error
	if s.opts.TLS != nil {
		err = s.http.ServeTLS(s.ln, "", "")
	} else {
		err = s.http.Serve(s.ln)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.opts.Log.Error(err, "listener ended", "listener", s.opts.Name)
	}
}

// Stop takes no new connections and waits for requests in flight until ctx ends, then closes what is left and
// says so.
func (s *Server) Stop(ctx context.Context) error {
	if s.ln == nil {
		return nil
	}
	err := s.http.Shutdown(ctx)
	if err != nil {
		closeErr := s.http.Close()
		err = fmt.Errorf("listen: %s: requests were cut off at the stop limit: %w", s.opts.Name, errors.Join(err, closeErr))
	}
	<-s.done
	return err
}

// WithoutDate leaves the Date header out of answers. Between VMs nobody reads it, and it changes each second, so that
// HTTP/2 can't compress it.
func WithoutDate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		h.ServeHTTP(w, r)
	})
}

// NewClient returns an HTTP client for calls to other VMs over HTTP/2, with bounded connection age through
// pings: a connection that answers no ping is dropped. tc may be nil for plain TCP. Callers write addresses with
// scheme http in both cases; with TLS the client makes it https.
func NewClient(tc *tls.Config, n Network) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(tc != nil)
	protocols.SetUnencryptedHTTP2(tc == nil)
	return newClient(tc, n, protocols)
}

// NewHTTP1Client is like NewClient over HTTP/1.1: a connection that went silent is given up with the first call
// that times out on it, without waiting for a ping.
func NewHTTP1Client(tc *tls.Config, n Network) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return newClient(tc, n, protocols)
}

func newClient(tc *tls.Config, n Network, protocols *http.Protocols) *http.Client {
	t := &http.Transport{
		TLSClientConfig: tc,
		Protocols:       protocols,
		DialContext:     n.withDefaults().Dial,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		IdleConnTimeout: defaultIdleTimeout,
	}
	if tc == nil {
		return &http.Client{Transport: t}
	}
	return &http.Client{Transport: secure{t}}
}

// secure sends every request over TLS.
type secure struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (s secure) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.URL.Scheme = "https"
	return s.Transport.RoundTrip(r)
}

const (
	// dialTimeout bounds connecting to another VM.
	dialTimeout = time.Second
	// pingAfter is the silence after which a connection between VMs is pinged.
	pingAfter = time.Second
	// pingTimeout is how long the answer to a ping may take before the connection is dropped.
	pingTimeout = time.Second
)
