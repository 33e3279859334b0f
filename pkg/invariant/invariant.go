// Package invariant checks at run time what must always hold. A broken invariant is logged and counted; the
// caller then takes the safe outcome, such as a refusal. It never stops the process.
package invariant

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// Recorder collects broken invariants. A nil Recorder drops them. It is safe for concurrent use.
type Recorder struct {
	log logr.Logger

	mu     sync.Mutex
	broken []Violation
	total  uint64
}

// Violation is one broken invariant.
type Violation struct {
	Name   string
	Detail string
}

// keptViolations bounds the memory of a Recorder.
const keptViolations = 64

// NewRecorder returns a Recorder that logs to log.
func NewRecorder(log logr.Logger) *Recorder {
	return &Recorder{log: log}
}

// Assert reports whether ok holds, and records a violation of the invariant called name otherwise. Names are
// fixed words such as "grant-sum", never built from data.
func (r *Recorder) Assert(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	if r == nil {
		return false
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	r.total++
	if len(r.broken) < keptViolations {
		r.broken = append(r.broken, v)
	}
	r.mu.Unlock()
	metrics.GetOrCreateCounter(fmt.Sprintf("daisyhatch_invariant_violations_total{name=%q}", name)).Inc()
	r.log.Error(nil, "invariant broken", "invariant", name, "detail", v.Detail)
	return false
}

// Violations returns the first violations, at most 64, and the count of all.
func (r *Recorder) Violations() ([]Violation, uint64) {
	if r == nil {
		return nil, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.broken...), r.total
}
