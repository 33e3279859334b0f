package relay

import "sync/atomic"

// stageInputs are the results of stages that the request itself needs. They take scarce room at their servers, so they
// are given up as soon as the request's server has read them. A nil one is empty. It is safe for concurrent use once
// handles are set.
type stageInputs struct {
	handles []string
	free    func(handles []string)
	givenUp atomic.Bool
}

func (s *stageInputs) list() []string {
	if s == nil {
		return nil
	}
	return s.handles
}

// giveUp gives the results up; only the first call counts.
func (s *stageInputs) giveUp() {
	if s != nil && len(s.handles) > 0 && !s.givenUp.Swap(true) {
		s.free(s.handles)
	}
}

// gone reports whether a server that gets the request now would not find its inputs.
func (s *stageInputs) gone() bool { return s != nil && s.givenUp.Load() }
