package relay

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/promise"
)

// sendStatus is the result of one send to a server.
type sendStatus int

const (
	// sendAnswered: the server answered, and the answer can be delivered.
	sendAnswered sendStatus = iota
	// sendNotSent: no byte of the request was sent.
	sendNotSent
	// sendNotRun: the server answered that it did not run the request.
	sendNotRun
	// sendOutcomeUnknown: the request may have run, and there is no answer of the server to deliver.
	sendOutcomeUnknown
	// sendServerFailed: the server ran the request and answered with an error status, which may be delivered.
	sendServerFailed
	// sendInputsGone: the server did not find the inputs of the request, which has not run.
	sendInputsGone
)

// action is what the relay does after a send.
type action int

const (
	// actionDeliver passes the server's answer to the caller.
	actionDeliver action = iota
	// actionRetry sends the request to another server.
	actionRetry
	// actionRefuse answers that the request has not run.
	actionRefuse
	// actionFail answers that the request may have run.
	actionFail
	// actionRerunStages runs the stages again and then sends the request again.
	actionRerunStages
	// actionAbort closes the caller's connection, since part of the answer was already delivered.
	actionAbort
)

// sendState is the input of nextAction.
type sendState struct {
	status sendStatus
	// answer is the status of the server's answer if there is one that can be delivered.
	answer int
	route  *catalog.Route
	// runs is the number of servers that may have run the request.
	runs int
	// sends is the number of sends, including those counted in runs.
	sends int
	// delivered is true when part of the answer was sent to the caller.
	delivered bool
	remaining time.Duration
	// canRerunStages is true when there is time to run the stages again.
	canRerunStages bool
	// inputsReleased is true when the stages must run again before the request can be sent again.
	inputsReleased bool
	// crashes is the number of servers known to have crashed while they ran the request, in this attempt or earlier
	// ones.
	crashes int
	// untried is the number of serving servers that have not been tried.
	untried int
	// takeRetry takes one retry from the budget of the service; false when none is left.
	takeRetry func() bool
}

const (
	// maxSends bounds the sends of one request, including those that servers refused.
	maxSends = 4
	// minRetryTime is the remaining time below which a retry can't succeed any more.
	minRetryTime = 40 * time.Millisecond
	// maxCrashes is the number of server crashes at which the request is no longer retried. A single crash may be a
	// coincidence.
	maxCrashes = 2
)

// nextAction decides what follows a send. A request that has not run may be sent to another server whatever the kind of
// its route; one that may have run only if its route is repeatable and allows another server. A retry needs enough
// time, an untried server and, unless nothing was sent, a place in the retry budget that all VMs share. A request under
// which maxCrashes servers crashed is not retried after a send that may have run.
func nextAction(s sendState) action {
	mayRetry := s.remaining >= minRetryTime && s.untried > 0 && s.sends < maxSends && (!s.inputsReleased || s.canRerunStages)
	switch s.status {
	case sendAnswered:
		if s.promiseHolds() {
			return actionDeliver
		}
	case sendNotSent:
		if mayRetry {
			return actionRetry
		}
	case sendNotRun:
		if mayRetry && s.takeRetry() {
			return actionRetry
		}
	case sendInputsGone:
		if s.canRerunStages && !s.delivered {
			return actionRerunStages
		}
	case sendOutcomeUnknown, sendServerFailed:
		if mayRetry && s.crashes < maxCrashes && s.route.Repeatable() && s.runs < s.route.MaxServers && s.takeRetry() {
			return actionRetry
		}
		if s.status == sendServerFailed && !s.delivered && s.promiseHolds() {
			return actionDeliver
		}
	}
	switch {
	case s.delivered:
		return actionAbort
	case s.runs > 0:
		return actionFail
	}
	return actionRefuse
}

// promiseHolds reports whether the caller may be told the status of the server's answer: it promises nothing, or nothing that isn't
// known to hold.
func (s *sendState) promiseHolds() bool {
	known := promise.Known{MayHaveRun: s.runs > 0, Repeatable: s.route.Repeatable()}
	return known.Status(s.answer) == s.answer
}
