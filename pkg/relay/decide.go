package relay

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
)

// ending is how one send to a server ended.
type ending int

const (
	// endedWell: the answer was delivered.
	endedWell ending = iota
	// endedUnsent: no byte has left.
	endedUnsent
	// endedNotRun: the server says that it did not run the request.
	endedNotRun
	// endedUnknown: the request may have run, and there is no answer of the server's to deliver.
	endedUnknown
	// endedFailed: the server ran the request and answered with a failure, which may be delivered.
	endedFailed
	// endedGone: the inputs of the request are gone; it has not run.
	endedGone
)

// step is what follows a send.
type step int

const (
	// stepDeliver hands the server's own answer on.
	stepDeliver step = iota
	// stepRepeat sends the request to another server.
	stepRepeat
	// stepRefuse answers that the request has not run.
	stepRefuse
	// stepFail answers that the request may have run.
	stepFail
	// stepRestage runs the stages anew and sends the request again.
	stepRestage
	// stepCut ends the connection, since part of the answer has been delivered.
	stepCut
)

// situation is what decides about the step after a send.
type situation struct {
	ending ending
	route  *catalog.Route
	// runs is how many servers may have run the request.
	runs int
	// sends is how many sends there were, runs included.
	sends int
	// delivered is true when part of the answer has gone to the caller.
	delivered bool
	left      time.Duration
	// restage is true when there is time to run the stages anew.
	restage bool
	// inputsGone is true when the stages must run anew before the request can be sent again.
	inputsGone bool
	// crashes is how many servers are known to have ended under the request, in this attempt or before.
	crashes int
	// others is how many servers there are that have not been tried.
	others int
	// allowed asks the budget of repeats; it takes one.
	allowed func() bool
}

const (
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 4
	// leastLeft is the time below which a repeat can't help.
	leastLeft = 40 * time.Millisecond
	// maxCrashes is from how many ends of servers under a request it is not repeated here: one may have been chance.
	maxCrashes = 2
)

// next decides what follows a send. A request that has not run may be sent to another server whatever its kind; one that
// may have run only when its route is repeatable and allows another server. A repeat needs time, a server that has not
// been tried, and a place in the budget that all VMs share. One under which servers go on ending is not repeated.
func next(s situation) step {
	mayRepeat := s.left >= leastLeft && s.others > 0 && s.sends < maxSends && (!s.inputsGone || s.restage)
	switch s.ending {
	case endedWell:
		return stepDeliver
	case endedUnsent:
		if mayRepeat {
			return stepRepeat
		}
	case endedNotRun:
		if mayRepeat && s.allowed() {
			return stepRepeat
		}
	case endedGone:
		if s.restage && !s.delivered {
			return stepRestage
		}
	case endedUnknown, endedFailed:
		if mayRepeat && s.crashes < maxCrashes && s.route.Repeatable() && s.runs < s.route.MaxServers && s.allowed() {
			return stepRepeat
		}
		if s.ending == endedFailed && !s.delivered {
			return stepDeliver
		}
	}
	switch {
	case s.delivered:
		return stepCut
	case s.runs > 0:
		return stepFail
	}
	return stepRefuse
}
