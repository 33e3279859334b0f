package relay

import "time"

// Health parameters.
const (
	// minBackoff and maxBackoff bound how long a server is avoided after a failed call; the time doubles with each
	// consecutive failure.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 4 * time.Second
	// failureDecayTime is how long a failure lowers a server's rank.
	failureDecayTime = 8 * time.Second
	// slownessDecayTime is how long a slow answer lowers a server's rank when no other follows. Without an end, a server that is
	// ranked last for it would get no request that shows otherwise.
	slownessDecayTime = 8 * time.Second
	// answerTrustTime is how long after an answer a server that the control VMs do not hear from counts as alive.
	answerTrustTime = 2 * time.Second
	// firstByteSmoothing is the weight of the newest sample in the average time to first byte.
	firstByteSmoothing = 0.2
)

// health records what this VM's own calls showed about servers. Relay.mu guards it.
type health struct {
	servers map[string]*serverHealth
	// avgFirstByte is the average time to first byte over the servers of a service, by service name.
	avgFirstByte map[string]time.Duration
	// workTimes measures how the time to first byte depends on the prompt, by service name.
	workTimes map[string]*workTime
}

type serverHealth struct {
	// failures counts consecutive failures.
	failures     int
	backoffUntil time.Time
	lastFailure  time.Time
	// failureWeight is the decaying count of recent failures as of lastFailure; see decayedWeight.
	failureWeight float64
	// firstByte is the smoothed time to first byte; 0 without samples. lastAnswer is the time of its latest sample.
	firstByte time.Duration
	// lastAnswer is when the server last answered a call of this VM.
	lastAnswer time.Time
}

func newHealth() *health {
	return &health{servers: make(map[string]*serverHealth), avgFirstByte: make(map[string]time.Duration), workTimes: make(map[string]*workTime)}
}

func (h *health) getOrCreate(id string) *serverHealth {
	s := h.servers[id]
	if s == nil {
		s = &serverHealth{}
		h.servers[id] = s
	}
	return s
}

// usable reports whether a server is outside its backoff time.
func (h *health) usable(id string, now time.Time) bool {
	s := h.servers[id]
	return s == nil || !now.Before(s.backoffUntil)
}

// recentlyAnswered reports whether a server answered this VM within answerTrustTime. Such a server is used like any
// other even when the control VMs do not hear from it.
func (h *health) recentlyAnswered(id string, now time.Time) bool {
	s := h.servers[id]
	return s != nil && now.Sub(s.lastAnswer) < answerTrustTime
}

// recordFailure records a call without a usable answer and starts or extends the server's backoff.
func (h *health) recordFailure(id string, now time.Time) {
	s := h.getOrCreate(id)
	s.failureWeight = s.decayedWeight(now) + 1
	s.failures++
	s.lastFailure = now
	s.backoffUntil = now.Add(min(minBackoff<<min(s.failures-1, 8), maxBackoff))
}

// decayedWeight returns the failure weight at now; it falls linearly to 0 over failureDecayTime.
func (s *serverHealth) decayedWeight(now time.Time) float64 {
	age := now.Sub(s.lastFailure)
	if age >= failureDecayTime {
		return 0
	}
	return s.failureWeight * (1 - float64(age)/float64(failureDecayTime))
}

// failureScore returns the decayed number of recent failures; 0 for a server without any.
func (h *health) failureScore(id string, now time.Time) float64 {
	s := h.servers[id]
	if s == nil {
		return 0
	}
	return s.decayedWeight(now)
}

// recordAnswer records an answer and its time to first byte, and ends the server's run of consecutive failures.
func (h *health) recordAnswer(service, id string, first time.Duration, now time.Time) {
	s := h.getOrCreate(id)
	if s.firstByte == 0 {
		s.firstByte = first
	}
	s.firstByte += time.Duration(max(firstByteSmoothing, s.sampleAge(now)) * float64(first-s.firstByte))
	s.lastAnswer = now
	s.failures = 0
	if h.avgFirstByte[service] == 0 {
		h.avgFirstByte[service] = first
	}
	// The service average gets samples from all servers, so each one has a smaller weight.
	h.avgFirstByte[service] += time.Duration(firstByteSmoothing / 8 * float64(first-h.avgFirstByte[service]))
}

// sampleAge returns the age of the latest sample of the time to first byte as a fraction of slownessDecayTime, at most 1.
func (s *serverHealth) sampleAge(now time.Time) float64 {
	return min(float64(now.Sub(s.lastAnswer))/float64(slownessDecayTime), 1)
}

// slowness returns the ratio of a server's time to first byte to its service's average; 1 when there are no samples. Without a
// new sample it falls to 1 over slownessDecayTime.
func (h *health) slowness(service, id string, now time.Time) float64 {
	s, average := h.servers[id], h.avgFirstByte[service]
	if s == nil || s.firstByte == 0 || average == 0 {
		return 1
	}
	ratio := float64(s.firstByte) / float64(average)
	if ratio <= 1 {
		return ratio
	}
	return 1 + (ratio-1)*(1-s.sampleAge(now))
}

// retain drops the servers for which keep returns false.
func (h *health) retain(keep func(id string) bool) {
	for id := range h.servers {
		if !keep(id) {
			delete(h.servers, id)
		}
	}
}
