package relay

import "time"

// Times of health.
const (
	// avoidFirst and avoidMost are how long a server that failed is avoided, doubled with each failure in a row.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 4 * time.Second
	// failureMemory is how long a failure makes a server look worse than its fellows.
	failureMemory = 8 * time.Second
	// trustFor is how long an answer shows that a server lives that the control VMs don't hear.
	trustFor = 2 * time.Second
	// healthSmoothing is the weight of the newest time to the first byte.
	healthSmoothing = 0.2
)

// health is what this VM's own calls say about servers. The relay's lock guards it.
type health struct {
	servers map[string]*serverHealth
	// usual is the average time to the first byte of a service's servers.
	usual map[string]time.Duration
}

type serverHealth struct {
	failures int
	avoided  time.Time
	failedAt time.Time
	// weight counts recent failures; it decays over failureMemory.
	weight float64
	first  time.Duration
	// answeredAt is when it last answered this VM.
	answeredAt time.Time
}

func newHealth() *health {
	return &health{servers: make(map[string]*serverHealth), usual: make(map[string]time.Duration)}
}

func (h *health) get(id string) *serverHealth {
	s := h.servers[id]
	if s == nil {
		s = &serverHealth{}
		h.servers[id] = s
	}
	return s
}

// usable reports whether a server isn't avoided now.
func (h *health) usable(id string, now time.Time) bool {
	s := h.servers[id]
	return s == nil || !now.Before(s.avoided)
}

// trusted reports whether a server that the control VMs don't hear may be used as any other: it answered this VM lately.
func (h *health) trusted(id string, now time.Time) bool {
	s := h.servers[id]
	return s != nil && now.Sub(s.answeredAt) < trustFor
}

// failed notes a call that got no answer.
func (h *health) failed(id string, now time.Time) {
	s := h.get(id)
	s.weight = s.decayed(now) + 1
	s.failures++
	s.failedAt = now
	s.avoided = now.Add(min(avoidFirst<<min(s.failures-1, 8), avoidMost))
}

// decayed returns the weight of recent failures.
func (s *serverHealth) decayed(now time.Time) float64 {
	age := now.Sub(s.failedAt)
	if age >= failureMemory {
		return 0
	}
	return s.weight * (1 - float64(age)/float64(failureMemory))
}

// suspicion returns how much worse than its fellows a server looks, 0 for a sound one.
func (h *health) suspicion(id string, now time.Time) float64 {
	s := h.servers[id]
	if s == nil {
		return 0
	}
	return s.decayed(now)
}

// answered notes a call's time to the first byte.
func (h *health) answered(service, id string, first time.Duration, now time.Time) {
	s := h.get(id)
	s.answeredAt = now
	s.failures = 0
	if s.first == 0 {
		s.first = first
	}
	s.first += time.Duration(healthSmoothing * float64(first-s.first))
	if h.usual[service] == 0 {
		h.usual[service] = first
	}
	// The service's average moves more slowly, since it has more samples.
	h.usual[service] += time.Duration(healthSmoothing / 8 * float64(first-h.usual[service]))
}

// slowness is the ratio of a server's time to its service's usual one; 1 when nothing is known.
func (h *health) slowness(service, id string) float64 {
	s, usual := h.servers[id], h.usual[service]
	if s == nil || s.first == 0 || usual == 0 {
		return 1
	}
	return float64(s.first) / float64(usual)
}

func (h *health) retain(keep func(id string) bool) {
	for id := range h.servers {
		if !keep(id) {
			delete(h.servers, id)
		}
	}
}
