package stagecall

import (
	"slices"
	"time"
)

const (
	// inflowWindow is the time over which the inflow is counted: a few calls long.
	inflowWindow = 2 * time.Second
	// leastSpare is the share of the capacity that is taken to be left for late jobs at least.
	leastSpare = 0.5
	// lateMargin is the share of a late job's time that its forecast may use: more urgent work goes on arriving.
	lateMargin = 0.95
)

// inflowRate returns the pieces that came in a second.
func (s *Scheduler) inflowRate(now time.Time) float64 {
	i := 0
	for i < len(s.inflow) && now.Sub(s.inflow[i].at) > inflowWindow {
		i++
	}
	s.inflow = s.inflow[i:]
	n := 0
	for _, a := range s.inflow {
		n += a.pieces
	}
	return float64(n) / inflowWindow.Seconds()
}

// Waiting returns how many pieces wait.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, j := range s.jobs {
		n += len(j.Pieces)
	}
	return n
}

// Drop takes a job out of the queue.
func (s *Scheduler) Drop(j *Job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(k *Job) bool { return k == j })
}

// Hopeless takes the jobs out of the queue that are not expected to be done before their deadline.
func (s *Scheduler) Hopeless(servers []Server, now time.Time) []*Job {
	if len(s.jobs) == 0 {
		return nil
	}
	s.order(now)
	f := s.capacity(servers, now)
	before := 0
	var out []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if !s.inTime(j, f, before, now) {
			out = append(out, j)
			return true
		}
		before += len(j.Pieces)
		return false
	})
	return out
}

// flow is what the servers can do and what comes.
type flow struct {
	// capacity and inflow are in pieces a second.
	capacity, inflow float64
	// free is true when a server has a free place.
	free bool
}

func (s *Scheduler) capacity(servers []Server, now time.Time) flow {
	f := flow{inflow: s.inflowRate(now)}
	size := max(s.filled, 1)
	for _, v := range servers {
		st := s.state(v.ID)
		if !st.usable(v, now) {
			continue
		}
		f.capacity += size / (s.batch.CallTime(int(size)).Seconds() * max(st.speed(), 1))
		f.free = f.free || st.busy < s.batch.Slots
	}
	return f
}

// wait returns how long a job waits for a server when so many pieces go before it. More urgent work that is still to come
// goes before a late job as well, so that only the spare capacity counts for one.
func (s *Scheduler) wait(j *Job, f flow, before int, now time.Time) time.Duration {
	if f.capacity == 0 {
		// No server can be used now: one that is avoided is tried again after avoidMost at the latest.
		return avoidMost
	}
	rate := f.capacity
	if !s.onTime(j, now) {
		rate = max(f.capacity-f.inflow, leastSpare*f.capacity)
	}
	w := time.Duration(float64(before) / rate * float64(time.Second))
	if !f.free {
		// On average the running calls are half done.
		w += s.batch.CallTime(int(s.filled)) / 4
	}
	return w
}

func (s *Scheduler) inTime(j *Job, f flow, before int, now time.Time) bool {
	left := j.Deadline.Sub(now)
	if !s.onTime(j, now) {
		left = time.Duration(lateMargin * float64(left))
	}
	return s.wait(j, f, before, now)+s.batch.CallTime(min(len(j.Pieces), s.batch.Size)) <= left
}

// Forecast returns how long a job that is queued now waits for a server, and whether it is expected to be done in time.
func (s *Scheduler) Forecast(j *Job, servers []Server, now time.Time) (time.Duration, bool) {
	s.order(now)
	j.late = !s.onTime(j, now)
	before := 0
	for _, k := range s.jobs[:s.place(j)] {
		before += len(k.Pieces)
	}
	f := s.capacity(servers, now)
	return s.wait(j, f, before, now), s.inTime(j, f, before, now)
}

// Backlog returns how long the servers need for all that waits, beside what comes.
func (s *Scheduler) Backlog(servers []Server, now time.Time) time.Duration {
	f := s.capacity(servers, now)
	if f.capacity == 0 {
		return avoidMost
	}
	return time.Duration(float64(s.Waiting()) / max(f.capacity-f.inflow, leastSpare*f.capacity) * float64(time.Second))
}
