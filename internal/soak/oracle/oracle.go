// Package oracle knows what was asked of a system under test, what was published, and what each backend server really
// ran, and checks the promises from outside. The run in virtual time and the run on processes share it.
package oracle

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
)

// dryAfter is when a failure domain that was taken out gets no new work at the latest: the users' 4 s in which a
// change is in force everywhere.
const dryAfter = 4 * time.Second

// NoticeTime is how long a server that turned cold without a restart bears what was meant for a warm one: the system
// can only learn of it from load reports, which lag, and from slow first tokens.
const NoticeTime = 3 * time.Second

// maxPoisonRuns is the most backend servers that one request may take down.
const maxPoisonRuns = 2

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	// Whole asks for an answer in one piece.
	Whole Kind = iota
	// Stream asks for a streamed answer.
	Stream
	// Booking must not run twice.
	Booking
	// Poison crashes each backend server that runs it.
	Poison
)

func (k Kind) String() string {
	return [...]string{"whole", "stream", "booking", "poison"}[k]
}

// PoisonMark in a request's body crashes the backend server that runs it.
const PoisonMark = "poison"

// asked is what the callers know of one request.
type asked struct {
	id   string
	kind Kind
	// answered is true once a whole good answer came.
	answered bool
	// mayHaveRun is true once any try ended otherwise than with not_run.
	mayHaveRun bool
	// notRunAt is when the last try began that ended with not_run.
	notRunAt time.Time
}

// Reply is how one try of a request ended for its caller.
type Reply struct {
	Good bool
	Code apierr.Code
	Run  apierr.Run
	// Err is the connection's error; nil when an answer or a refusal came.
	Err error
	// Wrong tells what is wrong with an answer that claims to be good.
	Wrong string
}

// Server is one backend server as the oracle sees it.
type Server struct {
	Name          string
	FailureDomain string
	*standin.Server
}

// outage is a time in which a failure domain was out.
type outage struct {
	domain   string
	from, to time.Time
}

// inForce is a version in force on a VM.
type inForce struct {
	vm      string
	version uint64
}

// Oracle knows what was asked, published and in force. It is safe for concurrent use.
type Oracle struct {
	mu       sync.Mutex
	asked    map[string]*asked
	versions map[string]uint64
	// seen tells when a VM first had a version or a later one in force.
	seen     map[inForce]time.Time
	accepted map[uint64]string
	outages  []outage
	broken   []Violation
	counts   map[string]int
}

// New returns an Oracle that knows of nothing yet.
func New() *Oracle {
	return &Oracle{
		asked:    make(map[string]*asked),
		versions: make(map[string]uint64),
		seen:     make(map[inForce]time.Time),
		accepted: make(map[uint64]string),
		counts:   make(map[string]int),
	}
}

// Violate notes a broken promise.
func (o *Oracle) Violate(p Promise, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = append(o.broken, Violation{Promise: p, Detail: fmt.Sprintf(format, args...)})
}

// Count counts something met.
func (o *Oracle) Count(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

// InForce notes the version in force on a VM; it must never go back, also over restarts.
func (o *Oracle) InForce(vm string, version uint64, at time.Time) {
	o.mu.Lock()
	before := o.versions[vm]
	o.versions[vm] = max(before, version)
	for v := before + 1; v <= version; v++ {
		o.seen[inForce{vm, v}] = at
	}
	o.mu.Unlock()
	if version < before {
		o.Violate(VersionsGrow, "%s went back from version %d to %d at %s", vm, before, version, at)
	}
}

// InForceAt returns when a VM first had a version or a later one in force; ok is false while it has not.
func (o *Oracle) InForceAt(vm string, version uint64) (at time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok = o.seen[inForce{vm, version}]
	return at, ok
}

// PublishedAs notes that a change was accepted as a version; no two changes may be the same one.
func (o *Oracle) PublishedAs(version uint64, changeID string) {
	o.mu.Lock()
	other, taken := o.accepted[version]
	o.accepted[version] = changeID
	o.mu.Unlock()
	if taken && other != changeID {
		o.Violate(VersionsGrow, "version %d was accepted for changes %s and %s", version, other, changeID)
	}
}

// Ask notes a new request before its first try.
func (o *Oracle) Ask(id string, k Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked[id] = &asked{id: id, kind: k}
}

// Ended notes how one try of a request ended that began at a time.
func (o *Oracle) Ended(id string, begun time.Time, r Reply) {
	o.mu.Lock()
	a := o.asked[id]
	a.answered = a.answered || r.Good
	a.mayHaveRun = a.mayHaveRun || r.Run != apierr.NotRun
	if r.Run == apierr.NotRun && begun.After(a.notRunAt) {
		a.notRunAt = begun
	}
	what := "refused " + string(r.Code)
	switch {
	case r.Good:
		what = "answered"
	case errors.Is(r.Err, context.DeadlineExceeded):
		what = "no answer in time"
	case r.Err != nil:
		what = "connection errors"
	}
	if a.kind == Poison {
		what = "poison " + what
	}
	o.counts[what]++
	o.mu.Unlock()
	if r.Wrong != "" {
		o.Violate(OwnWholeAnswer, "request %s: %s", a.id, r.Wrong)
	}
	if r.Code == apierr.RequestQuarantined && a.kind != Poison {
		o.Violate(InnocentServed, "request %s was convicted, and is innocent", a.id)
	}
}

// ran is what backend servers ran for one request.
type ran struct {
	calls int
	// first is when the first call began.
	first time.Time
	// crashed counts the servers whose run crashed them.
	crashed int
}

// Check compares what was asked with what the servers ran.
func (o *Oracle) Check(servers []Server) {
	runs := make(map[string]*ran)
	for _, s := range servers {
		if n := s.Falls(); n > 0 {
			o.Violate(ColdServer, "%s fell over %d times under work while cold", s.Name, n)
		}
		for _, r := range s.Records() {
			o.checkOutage(s, r)
			id := requestIn(r.Body)
			if runs[id] == nil {
				runs[id] = &ran{first: r.At}
			}
			runs[id].calls++
			if r.At.Before(runs[id].first) {
				runs[id].first = r.At
			}
			if strings.Contains(r.Body, PoisonMark) {
				runs[id].crashed++
			}
		}
	}
	o.checkLatest()
	for id, a := range o.asked {
		o.checkRuns(a, runs[id])
	}
}

// checkLatest demands that every VM ended with the last accepted version or a later one.
func (o *Oracle) checkLatest() {
	var latest uint64
	for v := range o.accepted {
		latest = max(latest, v)
	}
	for vm, v := range o.versions {
		if v < latest {
			o.Violate(VersionsGrow, "%s ended with version %d; version %d was accepted", vm, v, latest)
		}
	}
}

func (o *Oracle) checkOutage(s Server, r standin.Record) {
	for _, out := range o.outages {
		if out.domain == s.FailureDomain && r.At.After(out.from.Add(dryAfter)) && r.At.Before(out.to) {
			o.Violate(DryDomain, "%s began %q %s after failure domain %s was taken out", s.Name, requestIn(r.Body), r.At.Sub(out.from), s.FailureDomain)
		}
	}
}

func (o *Oracle) checkRuns(a *asked, r *ran) {
	if r == nil {
		r = &ran{}
	}
	if r.calls > 0 && !a.mayHaveRun {
		o.Violate(TrueNotRun, "request %s was called not_run and ran %d times", a.id, r.calls)
	}
	if a.kind == Booking && r.calls > 0 && a.notRunAt.After(r.first) {
		o.Violate(TrueNotRun, "booking %s ran, and a resend %s later was called not_run", a.id, a.notRunAt.Sub(r.first))
	}
	if a.kind == Booking && r.calls > 1 {
		o.Violate(AtMostOnce, "booking %s ran %d times", a.id, r.calls)
	}
	if a.answered && r.calls == 0 {
		o.Violate(OwnWholeAnswer, "request %s was answered and never ran", a.id)
	}
	if r.crashed > maxPoisonRuns {
		o.Violate(PoisonBounded, "request %s took %d servers down", a.id, r.crashed)
	}
}

// requestIn returns the request's name in a body: the word that begins with "q-".
func requestIn(body string) string {
	i := strings.Index(body, "q-")
	if i < 0 {
		return ""
	}
	end := strings.IndexFunc(body[i:], func(r rune) bool { return r == '"' || r == ' ' || r == '\n' })
	if end < 0 {
		return body[i:]
	}
	return body[i : i+end]
}
