package stageclient

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxToldWait bounds the wait that an owner may tell; more counts as nothing told.
const maxToldWait = time.Minute

var badWaits = metrics.NewCounter("daisyhatch_stage_waits_ignored_total")

// waits is how long jobs of a service and priority wait for a server, as the owners of the calls told last.
type waits map[waitKey]toldWait

type waitKey struct {
	service  string
	priority int
}

type toldWait struct {
	wait time.Duration
	at   time.Time
}

// note records what an owner told, in milliseconds.
func (w waits) note(service string, priority int, ms uint64, now time.Time) {
	if ms > uint64(maxToldWait/time.Millisecond) {
		badWaits.Inc()
		return
	}
	w[waitKey{service, priority}] = toldWait{time.Duration(ms) * time.Millisecond, now}
}

// left returns what is left of the wait told last: a queue that takes nothing more in is empty after that time, so that a
// wait told long ago is never held against a request. It returns 0 if nothing is known.
func (w waits) left(service string, priority int, now time.Time) time.Duration {
	t := w[waitKey{service, priority}]
	return max(0, t.wait-max(0, now.Sub(t.at)))
}
