package routing

import (
	"slices"
	"time"
)

// Parameters of load and latency tracking.
const (
	// maxEvents is the number of recent call starts and ends that are kept per server to correct its load reports.
	maxEvents = 64
	// reportTTL is the age from which a load report is ignored.
	reportTTL = 5 * time.Second
	// smoothing is the weight of a new latency in a server's exponential moving average.
	smoothing = 0.1
	// minSamples is the minimum number of latencies before a server can count as a straggler.
	minSamples = 5
	// rankInterval is the number of latencies after which the median is computed and the servers are ranked again.
	rankInterval = 32
	// stragglerRatio is the ratio to the pool's median latency from which a server is a straggler.
	stragglerRatio = 2.5
	// ejectionTime is how long a straggler is avoided after its last observed latency.
	ejectionTime = 10 * time.Second
	// maxEjectedShare is the maximum fraction of a pool's servers that count as stragglers.
	maxEjectedShare = 0.3
)

// server is the load and latency of one backend server.
type server struct {
	// reported is the number of running and queued calls in the last load report.
	reported   int
	reportedAt time.Time
	// events is a ring buffer of call starts and ends; next is the number of events recorded so far.
	events [maxEvents]event
	next   int
	// latency is the moving average of the time to first byte over samples calls.
	latency time.Duration
	samples int
	// observedAt is when the last latency was observed.
	observedAt time.Time
	// slowRatio is the ratio of the latency to the pool's median; 0 unless the server is a straggler.
	slowRatio float64
}

// event is the start (delta +1) or end (delta -1) of one of this VM's calls.
type event struct {
	at    time.Time
	delta int
}

// record adds an event to the ring buffer.
func (s *server) record(delta int, now time.Time) {
	s.events[s.next%maxEvents] = event{now, delta}
	s.next++
}

// outstanding estimates the number of calls on the server: the last reported number, corrected by the calls that this VM
// has started and ended since. Other VMs' calls are discounted linearly with the age of the report; own is this VM's
// calls in flight, which always count in full.
func (s *server) outstanding(own int, now time.Time) float64 {
	if s == nil || s.reportedAt.IsZero() {
		return float64(own)
	}
	age := now.Sub(s.reportedAt)
	if age >= reportTTL {
		return float64(own)
	}
	n := s.reported
	for i := s.next - 1; i >= max(0, s.next-maxEvents); i-- {
		e := &s.events[i%maxEvents]
		if !e.at.After(s.reportedAt) {
			break
		}
		n += e.delta
	}
	others := max(0, n-own)
	return float64(own) + float64(others)*(1-float64(age)/float64(reportTTL))
}

// observe adds a latency to the average. The first one after an ejection replaces the average.
func (s *server) observe(latency time.Duration, now time.Time) {
	if s.slowRatio > 0 && now.Sub(s.observedAt) >= ejectionTime {
		s.latency, s.slowRatio = latency, 0
	}
	s.observedAt = now
	s.samples++
	if s.samples == 1 {
		s.latency = latency
		return
	}
	s.latency += time.Duration(smoothing * float64(latency-s.latency))
}

// slowness returns the factor on the cost of a straggler, and 1 for other servers. A straggler without an observed latency
// for ejectionTime also gets 1, so that it is tried again.
func (s *server) slowness(now time.Time) float64 {
	if s == nil || s.slowRatio == 0 || now.Sub(s.observedAt) >= ejectionTime {
		return 1
	}
	return min(s.slowRatio, maxSlowness)
}

// rank computes the median of the servers' latencies and marks the stragglers, slowest first, up to maxEjectedShare of the
// pool.
func (p *Picker) rank() {
	p.samplesSinceRank = 0
	known := make([]*server, 0, len(p.servers))
	for _, s := range p.servers {
		s.slowRatio = 0
		if s.samples >= minSamples {
			known = append(known, s)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.SortFunc(known, func(a, b *server) int { return int(b.latency - a.latency) })
	p.median = known[len(known)/2].latency
	if p.median <= 0 {
		return
	}
	for _, s := range known[:int(maxEjectedShare*float64(len(known)))] {
		ratio := float64(s.latency) / float64(p.median)
		if ratio < stragglerRatio {
			return
		}
		s.slowRatio = ratio
	}
}
