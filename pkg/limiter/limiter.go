// Package limiter applies the limits that backend servers name in their responses to the requests of one VM, and logs each
// decision about a server with a limit.
package limiter

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// Kinds of requests, in logs and metrics.
const (
	// KindFirst is the first send of a caller's request.
	KindFirst = "first"
	// KindRetry is a further send of a caller's request.
	KindRetry = "retry"
	// KindResume continues a stream that broke off.
	KindResume = "resume"
	// KindStage is a stage call for one or more requests.
	KindStage = "stage"
	// KindRoom asks a stage server for its free space.
	KindRoom = "room"
	// KindReport asks an engine for its load.
	KindReport = "report"
	// KindFree releases results at a stage server.
	KindFree = "free"
)

// View is the state of the system as far as limits need it. It is safe for concurrent use.
type View interface {
	// RecordLimit records what a server's response says of the server's limit, and reports whether that is new.
	RecordLimit(l serverlimit.Limit) serverlimit.Change
	// LimitUse returns the limit of a server's incarnation and this VM's share of it; nil when it has none.
	LimitUse(v directory.Server, now time.Time) *serverlimit.Use
	// TakeSend counts a request that is about to be sent to a server. It returns false when this VM has used up its share
	// of the server's limit.
	TakeSend(v directory.Server, now time.Time) bool
}

// malformedPerSecond bounds the log lines about limits that can't be parsed.
const malformedPerSecond = 1

// Limiter is safe for concurrent use.
type Limiter struct {
	view      View
	log       logr.Logger
	malformed *logsink.Budget
}

// New returns a Limiter.
func New(v View, log logr.Logger) *Limiter {
	return &Limiter{view: v, log: log, malformed: logsink.NewBudget(malformedPerSecond)}
}

// ErrExceeded stops a request to a server whose limit became known, or lower, after the request was counted.
var ErrExceeded = errors.New("limiter: the server's limit leaves this VM no room")

// Check returns ErrExceeded when this VM has sent a server more than its share, the request at hand included. It is for
// the time right before a request is sent.
func (l *Limiter) Check(v directory.Server) error {
	if l.view.LimitUse(v, time.Now()).Exceeded() {
		return ErrExceeded
	}
	return nil
}

// Take counts a request of a kind that is about to be sent to a server of a service. It returns false when the server's
// limit leaves this VM no room. request is the caller's request; empty for requests of this VM's own.
func (l *Limiter) Take(v directory.Server, service, kind, request string) bool {
	now := time.Now()
	if !l.view.TakeSend(v, now) {
		return false
	}
	if use := l.view.LimitUse(v, now); use != nil {
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_limited_sends_total{kind=%q}`, kind)).Inc()
		l.log.Info("request for limited server", append([]any{"service", service, "kind", kind, "request", request}, use.LogFields(now)...)...)
	}
	return true
}

// Record records what an answer of a server says of its limit. own is true when the answer is certain to be the server's
// own, and sent is when its request was sent.
func (l *Limiter) Record(v directory.Server, service string, a *dialect.Answer, own bool, sent time.Time) {
	if a.Misdirected || a.Encoded {
		return
	}
	now := time.Now()
	if a.Limit.Malformed {
		l.logMalformed(v, service, a.Limit.Value, now)
	}
	limit, ok := a.Limit.Statement(v.ID, v.Born, own, sent, now)
	if ok && l.view.RecordLimit(limit) == serverlimit.Changed {
		l.log.Info("server limit changed", append([]any{"service", service}, limit.LogFields(now)...)...)
	}
}

func (l *Limiter) logMalformed(v directory.Server, service, value string, now time.Time) {
	metrics.GetOrCreateCounter("daisyhatch_malformed_limits_total").Inc()
	if ok, leftOut := l.malformed.Allow(now); ok {
		l.log.Info("server limit can't be parsed; the former one stays in force", "service", service, "server", v.ID,
			"value", value, "lines_left_out", leftOut)
	}
}
