// Package arrival tells for how long a request has been with this VM, and whether its caller still waits. While the process stands still,
// the system accepts connections and keeps what callers send. A request that is read afterwards may be older than its caller's patience: the
// caller may have sent it elsewhere since, and later ones that contradict it.
//
// The age doesn't depend on when the end of the caller's connection is noticed, nor on whether it reaches this VM.
package arrival

import (
	"errors"
	"fmt"
	"time"
)

// Errors of this package: why nobody waits for the answer to a request.
var (
	// ErrClosed means that the caller has closed its connection.
	ErrClosed = errors.New("arrival: the caller has closed its connection")
	// ErrExpired means that the request is older than callers wait.
	ErrExpired = errors.New("arrival: the request is older than its caller waits")
)

// catchUpTime is how long after a standstill of the process requests are still read that arrived during it.
const catchUpTime = time.Second

// Evidence is what is known of a request at one moment.
type Evidence struct {
	// SinceRead is the time since the request's handler began.
	SinceRead time.Duration
	// SinceData is the time since data last arrived on the request's connection, by the system's count. The request arrived then or before.
	SinceData time.Duration
	// Exact is true if SinceData is the request's age: the system tells it, and no other data follows a request before its answer.
	Exact bool
	// SinceStop is the time since the latest standstill of the process began, and ResumedBefore how long before the request was read it
	// ended; 0 if there was none.
	SinceStop, ResumedBefore time.Duration
	// Closed is true if the caller has closed its connection.
	Closed bool
}

// Age returns the longest time for which the request may have been with this VM.
func (e Evidence) Age() time.Duration {
	age := max(e.SinceRead, e.SinceData)
	if !e.Exact && e.SinceStop > 0 && e.ResumedBefore <= catchUpTime {
		age = max(age, e.SinceStop)
	}
	return age
}

// Check returns ErrClosed or ErrExpired if nobody waits for the answer any more, given how long callers wait for one. A patience of 0 or less has
// no end.
func (e Evidence) Check(patience time.Duration) error {
	if e.Closed {
		return ErrClosed
	}
	if age := e.Age(); patience > 0 && age >= patience {
		return fmt.Errorf("%w: it came %v ago, and callers wait for %v", ErrExpired, age.Round(time.Millisecond), patience)
	}
	return nil
}
