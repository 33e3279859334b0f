package relay

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/promise"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

// refuse answers a request that has not run. A positive retryAfter, after which there is room by a forecast, sets the Retry-After
// header; where the request can't be done then, or that is later than the caller waits, the caller is told that it can't be served.
func (x *exchange) refuse(status int, retryAfter time.Duration, reason string) {
	told := returning.Told{}
	if retryAfter > 0 {
		told = x.tell(returning.Room{After: retryAfter, Least: minRetryAfter})
	}
	x.refuseTold(status, told, reason)
}

// refuseUntil refuses a request for which there is room as given.
func (x *exchange) refuseUntil(room returning.Room, reason string) {
	x.refuseTold(http.StatusServiceUnavailable, x.tell(room), reason)
}

// usually returns that there usually is room after a time, and surely that there is none before.
func usually(after time.Duration) returning.Room {
	return returning.Room{After: after, Least: min(after, minRetryAfter), Guess: true}
}

func surely(after time.Duration) returning.Room { return returning.Room{After: after, Fixed: true} }

// refuseStage refuses a request whose stage was refused. Its owner judges by the time that is left for the stage; the caller may have
// time for another attempt.
func (x *exchange) refuseStage(e *StageRefusedError) {
	x.refuseUntil(returning.Room{After: e.RetryAfter, Least: minRetryAfter, Guess: e.Guess, Fixed: e.Fixed, Unpromised: e.InVain}, e.Error())
}

// tell returns what to tell the caller if there is room for its whole request as given.
func (x *exchange) tell(r returning.Room) returning.Told {
	if x.demand != nil {
		r.Need = x.demand.Time(nil)
	}
	return r.Tell(x.timeLeft(), rand.Float64())
}

func (x *exchange) refuseTold(status int, told returning.Told, reason string) {
	// Only a request that has not run is refused; whichever way leads here after a send, no promise may follow.
	known := promise.Known{MayHaveRun: x.possibleRuns > 0, Repeatable: x.route != nil && x.route.Repeatable()}
	if status != known.Status(status) {
		x.fail(known.Status(status), reason)
		return
	}
	x.outcome, x.status, x.reason, x.told = "refused", status, reason, told
	if told.After > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(x.told.After.Seconds(), 'f', 3, 64))
	}
	if x.told.InVain {
		refusedInVain.Inc()
		reason += returning.TextInVain
	}
	x.write(status, reason)
}

var refusedInVain = metrics.NewCounter("daisyhatch_relay_refused_for_good_total")

// timeLeft returns how long the caller waits for an answer still, in this attempt and others; 0 if that isn't known.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() || x.unstated {
		return 0
	}
	return time.Until(x.deadline) + x.longer
}

// elsewhere returns the time after which the caller of a request that only this VM can't take may return: another VM may have room at
// any time, so it is sooner than the caller returns at the latest.
func (x *exchange) elsewhere(d time.Duration) time.Duration {
	if left := x.timeLeft(); left > 0 {
		return min(d, returning.Longest(left)/2)
	}
	return d
}
