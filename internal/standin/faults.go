package standin

import (
	"time"
)

// Fault is a way in which calls go wrong.
type Fault int

// Faults.
const (
	FaultNone Fault = iota
	// FaultCrash ends the server in the midst of the call.
	FaultCrash
	// FaultCrashMidStream ends the server in the middle of a stream.
	FaultCrashMidStream
	// FaultSilent keeps the connection open and says nothing.
	FaultSilent
	// FaultSilentMidStream falls silent in the middle of a stream.
	FaultSilentMidStream
	// FaultTruncate breaks the answer off in its middle.
	FaultTruncate
	// FaultDuplicate sends each token of a stream twice.
	FaultDuplicate
	// FaultCross answers with another attempt's ID.
	FaultCross
	// FaultLate holds the answer back.
	FaultLate
	// FaultRefuse answers with status 503 and runs nothing.
	FaultRefuse
	// FaultError answers with status 500.
	FaultError
)

// lateBy is how long FaultLate holds an answer back.
const lateBy = 2 * time.Second

// FaultNames are the names of the faults on the command line, by value.
var FaultNames = []string{
	"none", "crash", "crash-mid-stream", "silent", "silent-mid-stream", "truncate", "duplicate", "cross", "late", "refuse", "error",
}

// SetFault makes the next calls go wrong; calls below 0 means all.
func (s *Server) SetFault(f Fault, calls int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.faultCalls = calls
}

// SetPoison makes the server crash on each body that contains one of the texts.
func (s *Server) SetPoison(texts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poison = texts
}

// SetCold makes the server cold again for its next n calls.
func (s *Server) SetCold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.ColdCalls = n
	s.started = 0
}

// SetSpeed changes the delays.
func (s *Server) SetSpeed(firstToken, tokenTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.FirstToken = firstToken
	s.opts.TokenTime = tokenTime
}

func (s *Server) firstToken() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.FirstToken
}

func (s *Server) tokenTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.opts.TokenTime) * (1 + s.opts.Interference*float64(s.prompts)))
}

// takeFault returns the fault of the next call.
func (s *Server) takeFault() Fault {
	if s.faultCalls == 0 {
		return FaultNone
	}
	if s.faultCalls > 0 {
		s.faultCalls--
	}
	return s.fault
}
