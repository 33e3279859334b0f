// Package promise decides which status the caller of a request is told. Some statuses promise that the request has not run and never
// will, and callers send even a request that must run at most once again after one. A server may use them for a request that it has
// run, so its status alone is no proof.
package promise

import "net/http"

// Known is what is known of a request when its caller is told a status.
type Known struct {
	// MayHaveRun is false only if no byte of the request was sent, or every server that got it stated that it did not run it.
	MayHaveRun bool
	// Repeatable is true if the request may run more than once, so that no promise keeps its caller from sending it again.
	Repeatable bool
}

// Made reports whether a status promises that the request has not run and never will.
func Made(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Status returns the status to tell the caller where the answer at hand has the given one: 502, which promises nothing, in place of a
// promise that isn't known to hold, and otherwise the same.
func (k Known) Status(status int) int {
	if Made(status) && k.MayHaveRun && !k.Repeatable {
		return http.StatusBadGateway
	}
	return status
}
