// Package gateway is the HTTP API of an entry VM: OpenAI-compatible chat completions and model list, plain HTTP
// endpoints for other pipelines and for services, and the endpoint where backend servers announce themselves.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/auth"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
)

// Limits bounds the size of request bodies and the time to read requests and write responses.
type Limits struct {
	// MaxBody is the largest accepted request body in bytes.
	MaxBody int64
	// BodyTimeout is the longest time to receive a request body.
	BodyTimeout time.Duration
	// WriteTimeout is the longest time that writing one event of a streamed response may take.
	WriteTimeout time.Duration
}

// maxAnnouncementBytes is the largest accepted body of an announcement.
const maxAnnouncementBytes = 64 << 10

// shutdownRetryAfter is the retry delay sent with requests rejected during shutdown. The load balancer then sends
// the retry to another VM.
const shutdownRetryAfter = 200 * time.Millisecond

// Executor runs requests through the stages of their plan. For streamed requests it passes events to sink.
type Executor interface {
	Run(ctx context.Context, r executor.Request, sink executor.Sink) (executor.Result, error)
}

// Admission is the admission control: Enter waits until the request may run, in fair order, or rejects it early. The
// caller calls the returned function when the request has ended.
type Admission interface {
	Enter(ctx context.Context, r admission.Request) (release func(), err error)
}

// Announcer forwards an announcement to the grantor of the server's shard.
type Announcer interface {
	Announce(ctx context.Context, a *daisyhatchv1.Announcement) error
}

// Observer records the results of requests: whether a request was good for the service level, and the cost of each
// stage in units of account, with the part of it spent on attempts whose answer was not used.
type Observer interface {
	Record(pipeline, organisation string, good bool, now time.Time)
	RecordCost(pipeline, organisation, stage string, cost, wasted float64)
}

// InForce is the configuration in force, with the index of its keys.
type InForce struct {
	Version uint64
	Set     *config.Set
	Keys    *auth.Index
}

// Options are the dependencies and limits of a Gateway.
type Options struct {
	VM        string
	Executor  Executor
	Admission Admission
	Announcer Announcer
	Observer  Observer
	// InForce returns the configuration in force, or nil while there is none.
	InForce func() *InForce
	Limits  Limits
	Log     logr.Logger
}

// Gateway serves the requests of callers and the announcements of backend servers.
type Gateway struct {
	Options
	draining atomic.Bool
	inFlight atomic.Int64
}

// New returns a Gateway that is not draining.
func New(o Options) *Gateway {
	return &Gateway{Options: o}
}

// Drain makes the gateway reject new requests with shutting_down. Requests in flight continue, and announcements are
// still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns the number of requests in flight, without announcements.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Handler returns the HTTP handler with all routes.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(g.middleware)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, apierr.New(http.StatusNotFound, apierr.NotFound, "no such path: %s", r.URL.Path), requestID(r))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		e := apierr.New(http.StatusMethodNotAllowed, apierr.BadRequest, "method %s isn't allowed here", r.Method)
		writeError(w, e, requestID(r))
	})
	r.Get("/v1/models", g.serve(g.handleModels))
	r.Post("/v1/chat/completions", g.serve(g.handleChat))
	r.Post("/v1/pipelines/{name}", g.serve(g.handlePipeline))
	r.HandleFunc("/v1/services/{name}", g.serve(g.handleService))
	r.HandleFunc("/v1/services/{name}/*", g.serve(g.handleService))
	r.Post("/v1/announce", g.handleAnnounce)
	return r
}

type contextKey int

const requestIDKey contextKey = iota

func requestID(r *http.Request) string {
	id, _ := r.Context().Value(requestIDKey).(string)
	return id
}

// middleware wraps all routes: it assigns the request ID, limits the body size and turns a panic into an
// error response.
func (g *Gateway) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(HeaderRequestID, id)
		r = r.WithContext(context.WithValue(r.Context(), requestIDKey, id))
		r.Body = http.MaxBytesReader(w, r.Body, g.Limits.MaxBody)
		defer g.recoverPanic(w, id)
		next.ServeHTTP(w, r)
	})
}

// recoverPanic is deferred by the middleware. It panics again for http.ErrAbortHandler, by which net/http aborts a
// response.
func (g *Gateway) recoverPanic(w http.ResponseWriter, id string) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	g.Log.Error(fmt.Errorf("panic: %v", p), "request handler failed", "request", id, "stack", string(debug.Stack()))
	writeError(w, apierr.From(fmt.Errorf("panic: %v", p)), id)
}

// callerRequest is an authenticated request, its response writer and the configuration that it is served under.
type callerRequest struct {
	w            http.ResponseWriter
	r            *http.Request
	id           string
	receivedAt   time.Time
	organisation *config.Organisation
	inForce      *InForce
}

// serve returns a handler that authenticates the request, calls handle and writes the error response if handle
// returns an error.
func (g *Gateway) serve(handle func(*callerRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		c, err := g.authenticate(w, r)
		if err == nil {
			err = handle(c)
		}
		if err != nil {
			writeError(w, apierr.From(err), requestID(r))
		}
	}
}

// authenticate identifies the organisation of the request by its bearer key. It returns an *apierr.Error while the gateway drains, while no
// configuration is in force, or if the key is missing or unknown.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request) (*callerRequest, error) {
	if g.draining.Load() {
		e := apierr.New(http.StatusServiceUnavailable, apierr.ShuttingDown, "this VM is shutting down")
		w.Header().Set("Connection", "close")
		return nil, e.After(shutdownRetryAfter)
	}
	f := g.InForce()
	if f == nil {
		e := apierr.New(http.StatusServiceUnavailable, apierr.NotReady, "no configuration is in force on this VM yet")
		return nil, e.After(time.Second)
	}
	key, err := auth.KeyFrom(r.Header)
	if err != nil {
		return nil, apierr.New(http.StatusUnauthorized, apierr.Unauthorised, "a bearer key is needed").Wrap(err)
	}
	o, err := f.Keys.Organisation(key)
	if err != nil {
		return nil, apierr.New(http.StatusUnauthorized, apierr.Unauthorised, "the key isn't known").Wrap(err)
	}
	intake.Of(r.Context()).BelongsTo(o.Name)
	return &callerRequest{w: w, r: r, id: requestID(r), receivedAt: time.Now(), organisation: o, inForce: f}, nil
}

// readBody reads the whole request body within Limits.BodyTimeout.
func (g *Gateway) readBody(c *callerRequest) ([]byte, error) {
	body, err := intake.ReadBody(c.w, c.r, intake.Bounds{Max: g.Limits.MaxBody, Until: time.Now().Add(g.Limits.BodyTimeout), Copies: bodyCopies})
	if err != nil {
		c.w.Header().Set("Connection", "close")
		return nil, bodyError(err)
	}
	return body, nil
}

// bodyCopies is how often a body is held while its request runs: as read, as parsed, as sent to a stage, and in an answer of its
// size as read, parsed and joined.
const bodyCopies = 6

// noRoomRetryAfter is the retry delay sent with requests that gave way because memory was short.
const noRoomRetryAfter = time.Second

// bodyError turns an error from reading the body into an *apierr.Error: too_large, overloaded or bad_request.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return apierr.New(http.StatusRequestEntityTooLarge, apierr.TooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, intake.ErrNoRoom) {
		e := apierr.New(http.StatusServiceUnavailable, apierr.Overloaded, "this VM has no memory left for the body")
		return e.Wrap(err).After(noRoomRetryAfter)
	}
	return apierr.New(http.StatusBadRequest, apierr.BadRequest, "the body did not arrive whole in time").Wrap(err)
}
