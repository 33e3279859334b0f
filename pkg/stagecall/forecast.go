package stagecall

import (
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

const (
	// arrivalWindow is the time over which the arrival rate is measured, a few calls long.
	arrivalWindow = 2 * time.Second
	// minSpareShare is the minimum share of the capacity that a forecast assumes to be left for late jobs.
	minSpareShare = 0.5
	// lateTimeShare is the share of a late job's remaining time that its forecast may use: more urgent work keeps arriving.
	lateTimeShare = 0.95
)

// arrivalRate returns the number of pieces that arrived per second, averaged over arrivalWindow.
func (s *Scheduler) arrivalRate(now time.Time) float64 {
	i := 0
	for i < len(s.arrivals) && now.Sub(s.arrivals[i].at) > arrivalWindow {
		i++
	}
	s.arrivals = s.arrivals[i:]
	n := 0
	for _, a := range s.arrivals {
		n += a.pieces
	}
	return float64(n) / arrivalWindow.Seconds()
}

// Waiting returns the number of queued pieces.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, j := range s.jobs {
		n += len(j.Pieces)
	}
	return n
}

// Drop removes a job from the queue.
func (s *Scheduler) Drop(j *Job) {
	s.jobs = slices.DeleteFunc(s.jobs, func(k *Job) bool { return k == j })
}

// throughput is the rate at which the servers process pieces and the rate at which pieces arrive.
type throughput struct {
	// capacity and arrivals are in pieces per second.
	capacity, arrivals float64
	// hasFreeServer is true if a server can take a call at once.
	hasFreeServer bool
	// limitDelay is the time until the limit of a server first allows a call; 0 if a server has no limit.
	limitDelay time.Duration
}

func (s *Scheduler) capacity(servers []Server, now time.Time) throughput {
	f := throughput{arrivals: s.arrivalRate(now), limitDelay: maxAvoid}
	size := max(s.avgCallPieces, 1)
	for _, v := range servers {
		st := s.state(v.ID)
		if !st.usable(v, now) {
			continue
		}
		calls := 1 / (s.batch.CallTime(int(size)).Seconds() * max(st.slowness(), 1))
		delay := time.Duration(0)
		if v.Limit != nil {
			calls = min(calls, v.Limit.ShareRate())
			delay = max(0, v.Limit.RoomAt.Sub(now))
		}
		if calls == 0 {
			continue
		}
		f.limitDelay = min(f.limitDelay, delay)
		f.capacity += size * calls
		f.hasFreeServer = f.hasFreeServer || st.busy < s.batch.Slots && v.Limit.HasRoom(now)
	}
	return f
}

// queueDelay returns how long a job waits for a server with the given number of pieces ahead of it. More urgent work that
// is still to arrive also goes ahead of a late job, so only the spare capacity counts for a late job.
func (s *Scheduler) queueDelay(j *Job, f throughput, ahead int, now time.Time) time.Duration {
	if f.capacity == 0 {
		// No server is usable now; one that is being avoided is tried again after maxAvoid at the latest.
		return maxAvoid
	}
	rate := f.capacity
	if !s.canMeetTarget(j, now) {
		rate = max(f.capacity-f.arrivals, minSpareShare*f.capacity)
	}
	w := time.Duration(float64(ahead) / rate * float64(time.Second))
	if !f.hasFreeServer {
		// On average the running calls are half done.
		w += s.batch.CallTime(int(s.avgCallPieces)) / 4
	}
	return max(w, f.limitDelay)
}

func (s *Scheduler) meetsDeadline(j *Job, f throughput, ahead int, now time.Time) bool {
	left := j.Deadline.Sub(now)
	if !s.canMeetTarget(j, now) {
		left = time.Duration(lateTimeShare * float64(left))
	}
	return s.queueDelay(j, f, ahead, now)+s.batch.CallTime(min(len(j.Pieces), s.batch.Size)) <= left
}

// Forecast returns how long a job queued now would wait for a server, and whether it is expected to meet its deadline.
func (s *Scheduler) Forecast(j *Job, servers []Server, now time.Time) (time.Duration, bool) {
	s.demoteLate(now)
	_, ahead := s.place(j, now)
	f := s.capacity(servers, now)
	return s.queueDelay(j, f, ahead, now), s.meetsDeadline(j, f, ahead, now)
}

// Refusal is what the owner of a service's calls knows of when the caller of a job that was turned away can return.
type Refusal struct {
	// After is when there is room.
	After time.Duration
	// Forecast is true if After is forecast from the queue; otherwise no server is known.
	Forecast bool
	// InVain is true if the job can't be done before its deadline, or its caller won't wait so long. Nothing is promised then.
	InVain bool
}

// Return returns after what time the caller of a job that was turned away can return: when the servers will have done all queued
// pieces, while new ones keep arriving, and what was promised to other callers. pieces is how many the job still needs.
func (s *Scheduler) Return(j *Job, pieces int, servers []Server, now time.Time) time.Duration {
	return s.Refuse(j, pieces, servers, now).After
}

// Refuse is Return with what the time is worth.
func (s *Scheduler) Refuse(j *Job, pieces int, servers []Server, now time.Time) Refusal {
	f := s.capacity(servers, now)
	if f.capacity == 0 {
		return Refusal{After: maxAvoid}
	}
	spare := max(f.capacity-f.arrivals, minSpareShare*f.capacity)
	timeFor := func(n int) time.Duration { return time.Duration(float64(n) / spare * float64(time.Second)) }
	backlog := max(timeFor(s.Waiting()), f.limitDelay)
	s.returns.SetRate(spare, now)
	left := j.Deadline.Sub(now)
	// As meetsDeadline judges a late job with an empty queue.
	need := time.Duration(float64(s.batch.CallTime(min(pieces, s.batch.Size))) / lateTimeShare)
	most := min(returning.Longest(left), left-need)
	room := s.returns.Room(backlog, timeFor(pieces), most, now)
	return Refusal{After: room, Forecast: true, InVain: room > most}
}
