package stagecall

import "time"

const (
	// repeatsFor is how long a job that was turned away is known, so that its repeats don't count; shares forget in that time.
	repeatsFor = 10 * time.Second
	// maxRefused bounds the jobs that are known; beyond it all are forgotten.
	maxRefused = 4096
)

// refusedKey identifies a stage of a request by its content; 0 if that is not known.
func (j *Job) refusedKey() uint64 {
	if j.Fingerprint == 0 {
		return 0
	}
	// Any odd factor keeps the stages of a request apart.
	return j.Fingerprint + uint64(j.Stage)*0x9e3779b97f4a7c15
}

// countAsked counts a job in the shares, unless it repeats one that was turned away lately and is still counted as such.
func (s *Scheduler) countAsked(j *Job, now time.Time) {
	at, known := s.refused[j.refusedKey()]
	if j.repeat = known && now.Sub(at) < repeatsFor; !j.repeat {
		s.shares.Asked(j.Priority, j.Organisation, now)
	}
}

// countServed takes back that a job, which is admitted now, was turned away before.
func (s *Scheduler) countServed(j *Job, now time.Time) {
	if j.repeat {
		j.repeat = false
		delete(s.refused, j.refusedKey())
		s.shares.Served(j.Priority, j.Organisation, now)
	}
}

// turnedAway counts a job that was counted on arrival as not served.
func (s *Scheduler) turnedAway(j *Job, now time.Time) {
	if j.repeat {
		return
	}
	s.shares.Refused(j.Priority, j.Organisation, now)
	if key := j.refusedKey(); key != 0 {
		if s.refused == nil || len(s.refused) >= maxRefused {
			s.refused = make(map[uint64]time.Time)
		}
		s.refused[key] = now
	}
}
