// Package relay takes callers' raw HTTP requests through the stages of their route to a backend server and the server's
// answer back, unchanged. What may be repeated follows from the route's kind; a refusal says that a request has not run
// only when no byte of it has left, or its server said so.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/placement"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// Knowledge is what the relay knows of the system.
type Knowledge interface {
	Catalog() *catalog.Set
	Current() bool
	ContactAge(now time.Time) time.Duration
	Number() uint64
	Serving(service string, now time.Time) []fleet.Candidate
	Allowed(server string) bool
	// Server returns what is known of a server; false when nothing is.
	Server(id string) (directory.Server, bool)
	// Noticed takes over what an incarnation of a server said in an answer, and reports whether that is news.
	Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool
	// Back returns when the first server of a service that wants no calls now takes them again; false when one takes them
	// now, or none will.
	Back(service string, now time.Time) (time.Duration, bool)
	// Entries returns the ids of the entry VMs that share bounds.
	Entries(now time.Time) []uint64
}

// Options are what a Relay is made from.
type Options struct {
	VM            string
	FailureDomain string
	Dialect       dialect.Dialect
	Knowledge     Knowledge
	Stages        Stages
	Pool          *upstream.Pool
	// Suspects keeps requests under which servers ended from being sent on.
	Suspects *quarantine.Tracker
	// Repeats bounds the sends beyond the first.
	Repeats *allowance.RetryBudget
	// ColdOverrun and ColdExtra bound what a cold server gets in a second from all VMs.
	ColdOverrun float64
	ColdExtra   float64
	Log         logr.Logger
}

const (
	// noConfigurationRetry is when a caller may come back to a VM that knows no configuration yet: it mostly has one
	// within a second of its start.
	noConfigurationRetry = time.Second
	// noServerRetry is when a caller may come back while a service has no server: two announcement intervals hold a
	// restart.
	noServerRetry = 700 * time.Millisecond
	// defaultPatience is how long a caller that doesn't say waits.
	defaultPatience = 30 * time.Second
	// housekeepInterval is how often old knowledge is dropped.
	housekeepInterval = 2 * time.Second
)

// Relay serves callers.
type Relay struct {
	opts     Options
	cold     *allowance.Window
	answered *logsink.Budget
	stopping atomic.Bool
	liveness *liveness.Checker

	mu     sync.Mutex
	health *health
	book   *placement.Placer
	plain  map[string]int
	// patience is the longest that callers of each route were ready to wait.
	patience map[string]time.Duration
}

// New returns a Relay.
func New(o Options) *Relay {
	return &Relay{
		opts: o, cold: allowance.NewWindow(time.Second), answered: logsink.NewBudget(logsink.AnsweredPerSecond), health: newHealth(), book: placement.NewPlacer(),
		plain: make(map[string]int), patience: make(map[string]time.Duration),
		liveness: liveness.New(o.Pool, func(id string) (directory.Server, bool) { return o.Knowledge.Server(id) }),
	}
}

const (
	// returnedBelow is the share of the longest patience below which a caller is taken to come back after a refusal: the
	// patience of callers of one route differs by some 15 %.
	returnedBelow = 0.8
	// usualPatience is the average patience of first attempts as a share of the longest.
	usualPatience = 0.92
)

// waited returns how long a caller has waited already: one that was refused and came back has clearly less patience than
// the callers of its route have at first.
func (r *Relay) waited(route string, patience time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(r.patience[route], patience)
	r.patience[route] = longest
	if float64(patience) >= returnedBelow*float64(longest) {
		return 0
	}
	return time.Duration(usualPatience*float64(longest)) - patience
}

// Run drops old knowledge until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	t := time.NewTicker(housekeepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.opts.Pool.Sweep()
			r.mu.Lock()
			keep := r.opts.Knowledge.Allowed
			r.book.Retain(keep, time.Now())
			r.health.retain(keep)
			r.mu.Unlock()
		}
	}
}

// Drain makes the relay ask callers to move to another VM.
func (r *Relay) Drain() { r.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relay: r, w: w, req: req, begin: begin}
	if !x.accept() || x.suspected() {
		x.finish()
		return
	}
	ctx, cancel := context.WithDeadlineCause(req.Context(), x.deadline, errDeadline)
	defer cancel()
	x.ctx = ctx
	defer x.finish()
	x.run()
}

// errDeadline ends what outlasts the caller's patience or the route's timeout.
var errDeadline = errors.New("relay: the request's time is over")

// exchange is one caller's request.
type exchange struct {
	relay    *Relay
	w        http.ResponseWriter
	req      *http.Request
	ctx      context.Context
	begin    time.Time
	deadline time.Time
	// waited is how long the caller had waited before, in an attempt that was refused.
	waited time.Duration

	set          *catalog.Set
	route        *catalog.Route
	service      *catalog.Service
	organisation string
	priority     catalog.Priority
	call         dialect.Call
	body         []byte
	// print is the request's fingerprint.
	print uint64

	inputs *stageInputs
	// expires is when the results of each stage are gone.
	expires []time.Time
	inputMB map[string]float64
	// home is the failure domain of the server that the request would have gone to before its stages.
	home string
	// failedStage is the service of the stage that ended the latest run of the stages; empty when all were done.
	failedStage string
	// chains is how often the stages were run.
	chains int
	sent   *placement.InFlight
	// tried are the servers that were sent the request, in order.
	tried []string
	ran   int
	// onServer is true from a send to its end in the books.
	onServer bool
	// flight is the run on the latest server.
	flight *quarantine.Run
	// lastEvent is the id of the last event delivered.
	lastEvent string
	started   bool
	abort     bool

	status  int
	outcome string
	reason  string
	staged  time.Duration
	first   time.Duration
}

// accept checks the request and answers it when it can't be served; false then.
func (x *exchange) accept() bool {
	k := x.relay.opts.Knowledge
	x.set = k.Catalog()
	if x.set == nil || !k.Current() {
		x.refuse(http.StatusServiceUnavailable, noConfigurationRetry, "no configuration is known yet")
		return false
	}
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	x.route = x.set.Match(hostOf(x.req.Host), path)
	if x.route == nil {
		x.refuse(http.StatusNotFound, 0, "no route matches")
		return false
	}
	var err error
	if x.call, err = x.relay.opts.Dialect.Call(x.req.Header); err != nil {
		x.refuse(http.StatusBadRequest, 0, err.Error())
		return false
	}
	if !x.authenticate() {
		return false
	}
	patience := x.call.MaxWait
	if patience <= 0 {
		patience = defaultPatience
	}
	x.deadline = x.begin.Add(min(patience, x.route.Timeout))
	x.waited = x.relay.waited(x.route.Name, patience)
	x.lastEvent = x.call.ResumeAfter
	return x.readBody()
}

// target is until when the answer has its full worth.
func (x *exchange) target() time.Time { return x.begin.Add(x.route.Target - x.waited) }

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

func (x *exchange) authenticate() bool {
	x.priority = x.route.Priority
	if !x.set.KeysNeeded() || x.route.Public {
		return true
	}
	o := x.set.Organisation(x.call.Key)
	if o == nil {
		x.refuse(http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	x.organisation = o.Name
	if o.Priority != nil {
		x.priority = *o.Priority
	}
	return true
}

// readBody reads the whole body, since a request may have to be sent twice and the caller's leaving is noticed only
// behind it.
func (x *exchange) readBody() bool {
	limit := x.set.Limits.MaxBody
	if limit > 0 && x.req.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	}
	var src io.Reader = x.req.Body
	if limit > 0 {
		src = http.MaxBytesReader(x.w, x.req.Body, limit)
	}
	body, err := io.ReadAll(src)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	case err != nil:
		x.outcome, x.reason, x.abort = "left", "the body ended early: "+err.Error(), true
		return false
	}
	x.body = body
	x.print = suspect.Fingerprint(x.organisation, x.req.Host+x.req.RequestURI, body)
	return true
}

// refuse answers a request that has not run.
func (x *exchange) refuse(status int, retryAfter time.Duration, reason string) {
	x.outcome, x.status, x.reason = "refused", status, reason
	h := x.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(spread(retryAfter).Seconds(), 'f', 3, 64))
	}
	x.write(status, reason)
}

// spread moves a time to come back by up to a fifth, so that callers refused together don't return together.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*0.2*float64(d))
}

// fail answers a request that may have run.
func (x *exchange) fail(status int, reason string) {
	x.outcome, x.status, x.reason = "failed", status, reason
	x.write(status, reason)
}

func (x *exchange) write(status int, text string) {
	h := x.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	x.w.WriteHeader(status)
	// The caller may be gone; the server notices by itself.
	_, _ = io.WriteString(x.w, text+"\n")
}

// finish logs and counts the request, and cuts the connection of an answer that must not look complete.
func (x *exchange) finish() {
	took := time.Since(x.begin)
	x.count(took)
	late := x.route != nil && x.first+x.waited > x.route.Target
	wanted, leftOut := true, uint64(0)
	if x.outcome == "answered" && x.status < http.StatusInternalServerError && !late {
		wanted, leftOut = x.relay.answered.Allow(time.Now())
	}
	if wanted {
		x.log(took, late, leftOut)
	}
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) count(took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_requests_total{outcome=%q,status="%d"}`, x.outcome, x.status)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`daisyhatch_relay_request_seconds{outcome=%q}`, x.outcome)).Update(took.Seconds())
}

// log writes the line of the request: what was decided, by what, and how old that was.
func (x *exchange) log(took time.Duration, late bool, leftOut uint64) {
	route, service, version := "", "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.service != nil {
		service = x.service.Name
	}
	if x.set != nil {
		version = x.set.Version
	}
	k := x.relay.opts.Knowledge
	fields := []any{
		"id", x.call.ID, "route", route, "service", service, "organisation", x.organisation, "outcome", x.outcome,
		"status", x.status, "reason", x.reason, "late", late, "took_ms", took.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"staged_ms", x.staged.Milliseconds(), "chains", x.chains, "failed_stage", x.failedStage, "first_ms", x.first.Milliseconds(), "servers", x.tried,
		"version", version, "state", k.Number(), "state_age_ms", k.ContactAge(time.Now()).Milliseconds(),
	}
	if leftOut > 0 {
		fields = append(fields, "lines_left_out", leftOut)
	}
	x.relay.opts.Log.Info("request", fields...)
}
