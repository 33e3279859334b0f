package relay

import "sync/atomic"

// stageInputs are the stage results that the request itself reads. They occupy limited memory on the servers that hold
// them, so they are released as soon as the request's server has read them. A nil *stageInputs is empty. It is safe for
// concurrent use once handles is set.
type stageInputs struct {
	handles  []string
	free     func(handles []string)
	released atomic.Bool
}

func (s *stageInputs) list() []string {
	if s == nil {
		return nil
	}
	return s.handles
}

// release frees the results. Calls after the first do nothing.
func (s *stageInputs) release() {
	if s != nil && len(s.handles) > 0 && !s.released.Swap(true) {
		s.free(s.handles)
	}
}

// isReleased reports whether the results were released, so that a server that gets the request now would not find them.
func (s *stageInputs) isReleased() bool { return s != nil && s.released.Load() }
