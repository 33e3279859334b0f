// Package relay forwards callers' raw HTTP requests through the stages of their route to a backend server, and returns
// the server's answer unchanged. The kind of the route determines whether a request may be repeated. A refusal states
// that a request has not run; it is given only when no byte of the request was sent or the server stated that it did
// not run it.
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
	"github.com/daisyhatch/daisyhatch/pkg/bodylimit"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/demand"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/origin"
	"github.com/daisyhatch/daisyhatch/pkg/placement"
	"github.com/daisyhatch/daisyhatch/pkg/places"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// View is the relay's view of the system: the configuration and the state of servers and VMs.
type View interface {
	limiter.View
	// Catalog returns the configuration in force; nil while none is known.
	Catalog() *catalog.Set
	// Current reports whether the control group has confirmed the state at least once since the process started.
	Current() bool
	// Listed reports whether a control VM has listed its servers at least once since the process started.
	Listed() bool
	// ContactAge returns how long ago a control VM confirmed the state.
	ContactAge(now time.Time) time.Duration
	// Number returns the number of the replicated state that is known.
	Number() uint64
	// Serving returns the servers of a service that may get new requests now.
	Serving(service string, now time.Time) []fleet.Candidate
	// Allowed reports whether a server may still get new requests.
	Allowed(server string) bool
	// Server returns the last known state of a server; false when it is unknown.
	Server(id string) (directory.Server, bool)
	// ServerAt returns the server to which an address belongs; false when none is known.
	ServerAt(address string) (directory.Server, bool)
	// Noticed records what an incarnation of a server reported in an answer, and reports whether that is new.
	Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool
	// Back returns the time until the first server of a service that wants no calls now accepts them again; false when
	// one accepts them now, or none will.
	Back(service string, now time.Time) (time.Duration, bool)
	// Entries returns the ids of the entry VMs that share the bounds on retries and cold servers.
	Entries(now time.Time) []uint64
}

// Options configure a Relay.
type Options struct {
	VM            string
	FailureDomain string
	Dialect       dialect.Dialect
	View          View
	Stages        StageRunner
	// StageWait returns how long a stage of a request of a priority waits for a server of a service; nil when that isn't known.
	StageWait func(service string, priority int, now time.Time) time.Duration
	Pool      *upstream.Pool
	// Suspects refuses requests that are suspected of crashing servers.
	Suspects *quarantine.Tracker
	// Origins knows which software version began a stream.
	Origins Origins
	// Rollouts keeps requests within the roll-outs in force; nil without roll-outs.
	Rollouts *rollout.Holder
	// Repeats limits retries: sends of a request beyond the first.
	Repeats *allowance.RetryBudget
	// Loans lends retries beyond this VM's share; nil for none.
	Loans RetryLoans
	// ColdOverrun and ColdExtra bound the requests per second that a cold server gets from all VMs: its configured rate
	// times ColdOverrun, plus ColdExtra.
	ColdOverrun float64
	ColdExtra   float64
	// WriteTimeout is the longest time in which a caller may take what is written at once; 0 is no limit. Callers that don't read would
	// hold the room for large answers.
	WriteTimeout time.Duration
	// Memory is the budget on which answers draw; nil where the VM's memory isn't known.
	Memory *intake.Budget
	// PathLost reports whether this VM's own path to a server's address is lost; nil when that isn't known. Failures are
	// not counted against such a server.
	PathLost func(address string) bool
	Log      logr.Logger
}

const (
	// noConfigurationRetryAfter is the Retry-After time of a VM that has no configuration yet; it usually gets one
	// within a second of its start.
	noConfigurationRetryAfter = time.Second
	// noServerRetryAfter is the shortest Retry-After time while a service has no server. A restart fits into two
	// announcement intervals.
	noServerRetryAfter = 700 * time.Millisecond
	// noRoomRetryAfter is the Retry-After time of a request that gave way because memory was short.
	noRoomRetryAfter = time.Second
	// defaultCallerTimeout applies to callers that do not state a timeout.
	defaultCallerTimeout = 30 * time.Second
	// largeAnswers is how many answers, or events of a stream, of up to 1 MiB are kept at the same time where the VM's memory isn't known.
	largeAnswers = 32
	// cleanupInterval is how often state of removed servers and expired idle connections are dropped.
	cleanupInterval = 2 * time.Second
)

// Relay is an http.Handler that forwards requests to backend servers. It is safe for concurrent use.
type Relay struct {
	opts        Options
	startedAt   time.Time
	cold        *allowance.Window
	answeredLog *logsink.Budget
	notSentLog  *logsink.Budget
	givenUpLog  *logsink.Budget
	limiter     *limiter.Limiter
	bodies      *bodylimit.Limiter
	stopping    atomic.Bool
	// stopEnd is when the VM cuts off what is in flight; nil or zero while that is not known.
	stopEnd atomic.Pointer[time.Time]
	// sends ends when requests are not sent to servers any more; endSends ends it.
	sends    context.Context //nolint:containedctx // the life of the relay's sends, not of one call
	endSends context.CancelCauseFunc
	// answers ends when requests without an answer are ended; endAnswers ends it.
	answers    context.Context //nolint:containedctx // the life of all requests, not of one call
	endAnswers context.CancelCauseFunc
	liveness   *liveness.Checker

	mu         sync.Mutex
	health     *health
	placements *placement.Placer
	// loads holds what engines told of their load.
	loads *serverload.Table
	// places tracks requests at servers of services with few places.
	places *places.Tracker
	// plainInFlight is the number of requests that this VM runs on each server of services without an engine.
	plainInFlight map[string]int
	// inStages is the number of requests, by service, whose stages run for the first time.
	inStages map[string]int
	// maxTimeout is the longest caller timeout seen so far, by route name.
	maxTimeout map[string]time.Duration
	// routeTimes is how long requests take that are answered, by route name.
	routeTimes map[string]routeTime
}

// New returns a Relay. Run must be called for its periodic cleanup.
func New(o Options) *Relay {
	sends, endSends := context.WithCancelCause(context.Background())
	answers, endAnswers := context.WithCancelCause(context.Background())
	return &Relay{
		opts: o, startedAt: time.Now(), sends: sends, endSends: endSends, answers: answers, endAnswers: endAnswers, routeTimes: make(map[string]routeTime), cold: allowance.NewWindow(time.Second), answeredLog: logsink.NewBudget(logsink.AnsweredPerSecond), notSentLog: logsink.NewBudget(logsink.AnsweredPerSecond),
		givenUpLog: logsink.NewBudget(logsink.AnsweredPerSecond),
		bodies:     bodylimit.New(largeAnswers, o.Memory),
		limiter:    limiter.New(o.View, o.Log), health: newHealth(), placements: placement.NewPlacer(),
		places: places.NewTracker(), loads: serverload.NewTable(),
		plainInFlight: make(map[string]int), inStages: make(map[string]int), maxTimeout: make(map[string]time.Duration),
		liveness: liveness.New(o.Pool, o.View),
	}
}

const (
	// returnedFraction is the fraction of the longest timeout of a route below which a caller is taken to have returned
	// after a refusal. Timeouts of first attempts on one route vary by some 15 %.
	returnedFraction = 0.8
	// averageFraction is the average timeout of first attempts as a fraction of the longest.
	averageFraction = 0.92
)

// estimateWaited estimates how long a caller has already waited in earlier attempts. A caller that returns after a
// refusal has clearly less time left than first attempts on its route.
func (r *Relay) estimateWaited(route string, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := max(r.maxTimeout[route], timeout)
	r.maxTimeout[route] = longest
	if float64(timeout) >= returnedFraction*float64(longest) {
		return 0
	}
	return time.Duration(averageFraction*float64(longest)) - timeout
}

// Run periodically drops outdated state until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.opts.Pool.CloseExpired()
			r.mu.Lock()
			keep := r.opts.View.Allowed
			r.placements.Retain(keep, time.Now())
			r.health.retain(keep)
			r.places.Retain(keep, time.Now())
			r.loads.Expire(time.Now())
			r.mu.Unlock()
		}
	}
}

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relay: r, w: w, req: req, start: begin}
	if !x.accept() || !x.findOrigin() || !x.admitted() {
		x.finish()
		return
	}
	ctx, cancel := context.WithDeadlineCause(req.Context(), x.deadline, errDeadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.ctx = ctx
	x.outlastStop = context.AfterFunc(r.answers, func() { end(errStopping) })
	defer x.outlastStop()
	defer x.finish()
	defer x.room.Release()
	x.run()
}

// errDeadline is the cancellation cause when a request exceeds the caller's timeout or the route's.
var errDeadline = errors.New("relay: the request's time is over")

// exchange is the state of one caller's request.
type exchange struct {
	relay    *Relay
	w        http.ResponseWriter
	req      *http.Request
	ctx      context.Context
	start    time.Time
	deadline time.Time
	// unstated is true if the caller didn't say how long it waits, and longer is by how much that exceeds the attempt's deadline.
	unstated bool
	longer   time.Duration
	// waited is the estimated time that the caller spent in earlier, refused attempts.
	waited time.Duration
	// room permits the answer, or the event of a stream, that is kept. It is released before anything waits for another answer.
	room bodylimit.Room

	catalog      *catalog.Set
	route        *catalog.Route
	service      *catalog.Service
	organisation string
	priority     catalog.Priority
	call         dialect.Call
	// demand is what the request needs, as its call and route say.
	demand *demand.Demand
	body   []byte
	// fingerprint identifies the request by its content, parts the parts of its prompt that others may share.
	fingerprint uint64
	parts       []uint64

	inputs *stageInputs
	// stageStarts is, by stage, when it was started.
	stageStarts []time.Time
	// resultExpiry is, by stage, the latest time at which a stage that reads its results may start.
	resultExpiry []time.Time
	// inputMB is the size of inputs in MB, by failure domain.
	inputMB map[string]float64
	// engineDomain is the failure domain of the server that ranked first when the stages were started.
	engineDomain string
	// failedStage is the service of the stage that made the latest run of the stages fail; empty when all succeeded.
	failedStage string
	// stageRuns is how often the stages were run.
	stageRuns int
	// placed is the current send to an engine, and place that to another server; nil without one.
	placed *placement.InFlight
	place  *places.InFlight
	// tried lists the servers to which a send was attempted, in order.
	tried []string
	// versions are the software versions of the servers tried.
	versions []string
	// possibleRuns is the number of servers that may have run the request.
	possibleRuns int
	// inFlight is true between recordStart and recordEnd.
	inFlight bool
	// begun is true once the server of the current or latest send has begun its answer: a stream's first event, or
	// another answer as a whole, has arrived.
	begun bool
	// serverRun is the current or latest run of the request on a server.
	serverRun *quarantine.Run
	// runLease is the right to send the request while one copy of it at a time may run; nil when it needed none.
	runLease *quarantine.RunLease
	// unread is how long in sum the caller has held up the present stream.
	unread time.Duration
	// loanUntil is until when the next send may count on a lent retry; zero when it needs none.
	loanUntil time.Time
	// origin is where the stream began, once that is known; nil for a stream that has not begun and for other requests.
	origin *origin.Origin
	// pass is the request's way through the roll-outs of its service; nil without roll-outs.
	pass *rollout.Pass
	// lastEventID is the id of the last event delivered.
	lastEventID string
	// headSent is true once the head of a streamed answer was written to the caller.
	headSent bool
	// outlastStop makes the request go on when requests without an answer are ended.
	outlastStop func() bool
	// told is what the caller of a refused request was told.
	told returning.Told
	// gaveWay is true when the request was refused while it arrived; package intake logs these.
	gaveWay bool
	// abort makes finish abort the caller's connection.
	abort bool

	// status, outcome and reason are what the request's log line and metrics state.
	status  int
	outcome string
	reason  string
	// serverStatus is the status of the server's answer that the caller was not given; 0 without one.
	serverStatus int
	// stagesTook and firstByte are times since start: to the end of the stages and to the first byte of the answer.
	stagesTook time.Duration
	firstByte  time.Duration
}

// accept checks the request. If the request can't be served, it answers it and returns false.
func (x *exchange) accept() bool {
	if x.relay.sendsEnded() {
		return !x.refusedByStop()
	}
	if x.catalog = x.awaitConfiguration(); x.catalog == nil {
		x.refuseUntil(usually(noConfigurationRetryAfter), "no configuration is known yet")
		return false
	}
	path, _, _ := strings.Cut(x.req.RequestURI, "?")
	x.route = x.catalog.Match(hostOf(x.req.Host), path)
	if x.route == nil {
		// The call is only logged; an id that can't be read is left out.
		x.call, _ = x.relay.opts.Dialect.Call(x.req.Header)
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
	timeout := x.setDeadline()
	x.waited = x.relay.estimateWaited(x.route.Name, timeout)
	x.lastEventID = x.call.ResumeAfter
	if !x.readBody() || x.refusedByStop() {
		return false
	}
	x.setService(x.catalog.Services[x.route.Pick(rand.Float64())])
	x.setDemand()
	return true
}

// setDeadline sets until when the request may run, and returns how long its caller waits.
func (x *exchange) setDeadline() time.Duration {
	timeout := x.call.MaxWait
	if timeout <= 0 {
		timeout, x.unstated = defaultCallerTimeout, true
	}
	attempt := min(timeout, x.route.Timeout)
	x.deadline, x.longer = x.start.Add(attempt), timeout-attempt
	return timeout
}

// setService sets the service that the request goes to.
func (x *exchange) setService(s *catalog.Service) {
	x.service, x.parts = s, partFingerprints(s.Name, x.call.Prompt)
}

// targetTime returns the time until which the answer has its full value.
func (x *exchange) targetTime() time.Time { return x.start.Add(x.route.Target - x.waited) }

func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

func (x *exchange) authenticate() bool {
	x.priority = x.route.Priority
	if !x.catalog.KeysNeeded() || x.route.Public {
		return true
	}
	o := x.catalog.Organisation(x.call.Key)
	if o == nil {
		x.refuse(http.StatusUnauthorized, 0, "unknown key")
		return false
	}
	x.organisation = o.Name
	intake.Of(x.req.Context()).BelongsTo(o.Name)
	if o.Priority != nil {
		x.priority = *o.Priority
	}
	return true
}

// readBody reads the whole body: the request may have to be sent again, and net/http detects that the caller
// disconnected only once the body was read.
func (x *exchange) readBody() bool {
	limit := x.catalog.Limits.MaxBody
	if limit > 0 && x.req.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	}
	body, err := intake.ReadBody(x.w, x.req, intake.Bounds{Max: limit, Until: x.deadline})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, 0, "the body is too large")
		return false
	case errors.Is(err, intake.ErrNoRoom):
		x.gaveWay = true
		x.w.Header().Set("Connection", "close")
		x.refuseUntil(usually(x.elsewhere(noRoomRetryAfter)), err.Error())
		return false
	case errors.Is(err, intake.ErrTooSlow):
		x.gaveWay = true
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestTimeout, 0, err.Error())
		return false
	case err != nil:
		x.outcome, x.reason, x.abort = "left", "reading the request body failed: "+err.Error(), true
		return false
	}
	x.body = body
	x.fingerprint = suspect.Fingerprint(x.organisation, x.req.Host+x.req.RequestURI, body)
	return true
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
	// The caller may have disconnected; the HTTP server detects that itself.
	_, _ = io.WriteString(x.w, text+"\n")
}

// finish logs and counts the request, and aborts the connection when the answer must not look complete.
func (x *exchange) finish() {
	x.pass.Release()
	took := time.Since(x.start)
	x.count(took)
	if x.outcome == "answered" {
		x.relay.recordRouteTime(x.route.Name, took)
	}
	late := x.route != nil && x.firstByte+x.waited > x.route.Target
	shouldLog, suppressed := true, uint64(0)
	if x.gaveWay || x.outcome == "answered" && x.status < http.StatusInternalServerError && !late {
		shouldLog, suppressed = x.relay.answeredLog.Allow(time.Now())
	}
	if shouldLog {
		x.log(took, late, suppressed)
	}
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) count(took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_relay_requests_total{outcome=%q,status="%d"}`, x.outcome, x.status)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`daisyhatch_relay_request_seconds{outcome=%q}`, x.outcome)).Update(took.Seconds())
}

// log writes the request's log line: the outcome, its reason, and the version and age of the state that it was based
// on.
func (x *exchange) log(took time.Duration, late bool, suppressed uint64) {
	route, service, version := "", "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.service != nil {
		service = x.service.Name
	}
	if x.catalog != nil {
		version = x.catalog.Version
	}
	k := x.relay.opts.View
	fields := []any{
		"id", x.call.ID, "route", route, "service", service, "organisation", x.organisation, "outcome", x.outcome,
		"status", x.status, "reason", x.reason, "late", late, "took_ms", took.Milliseconds(), "waited_ms", x.waited.Milliseconds(),
		"staged_ms", x.stagesTook.Milliseconds(), "chains", x.stageRuns, "failed_stage", x.failedStage, "first_ms", x.firstByte.Milliseconds(), "servers", x.tried, "versions", x.versions, "resumes", x.call.Resumes, "after_event", x.call.ResumeAfter,
		"parts", formatFingerprints(x.parts),
		"version", version, "state", k.Number(), "state_age_ms", k.ContactAge(time.Now()).Milliseconds(),
	}
	if x.status == http.StatusNotFound && x.route == nil || x.status == http.StatusUnauthorized {
		path, _, _ := strings.Cut(x.req.RequestURI, "?")
		fields = append(fields, "host", fmt.Sprintf(loggedText, hostOf(x.req.Host)), "path", fmt.Sprintf(loggedText, path))
	}
	if x.outcome == "refused" {
		fields = append(fields, "remaining_ms", x.timeLeft().Milliseconds(), "retry_after_ms", x.told.After.Milliseconds(), "in_vain", x.told.InVain)
	}
	if x.serverStatus != 0 {
		fields = append(fields, "server_status", x.serverStatus)
	}
	if x.pass.OnTrial() {
		fields = append(fields, "on_trial", true)
	}
	if suppressed > 0 {
		fields = append(fields, "lines_left_out", suppressed)
	}
	x.relay.opts.Log.Info("request", fields...)
}

// loggedText bounds a text of the caller in a log line, in characters.
const loggedText = "%.128s"
