package stagecall

import (
	"cmp"
	"slices"
	"time"
)

// Add queues a job again.
func (s *Scheduler) Add(j *Job, now time.Time) {
	s.updateLate(j, now)
	s.insert(j)
}

// updateLate notes whether a job can still meet its target.
func (s *Scheduler) updateLate(j *Job, now time.Time) {
	j.late = !s.canMeetTarget(j, now)
	if late := s.latestStart(j); !j.late && late.Before(s.nextLateAt) {
		s.nextLateAt = late
	}
}

// insert puts a job in its place, behind its equals.
func (s *Scheduler) insert(j *Job) { s.jobs = slices.Insert(s.jobs, s.position(j), j) }

// position returns how many jobs go before a job that has been judged.
func (s *Scheduler) position(j *Job) int {
	i, _ := slices.BinarySearchFunc(s.jobs, j, func(a, b *Job) int {
		if compareJobs(a, b) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// effectiveTarget orders jobs that can meet their targets: by target, and a step of priority counts as priorityStep.
func (j *Job) effectiveTarget() time.Time {
	return j.Target.Add(time.Duration(j.Priority) * priorityStep)
}

// demoteLate moves the jobs that have become late behind those that are on time.
func (s *Scheduler) demoteLate(now time.Time) {
	if now.Before(s.nextLateAt) {
		return
	}
	s.nextLateAt = now.Add(time.Hour)
	var late []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if !j.late {
			s.updateLate(j, now)
			if j.late {
				late = append(late, j)
			}
			return j.late
		}
		return false
	})
	for _, j := range late {
		s.insert(j)
	}
}

// canMeetTarget reports whether a job that is begun now in a full call meets its target.
func (s *Scheduler) canMeetTarget(j *Job, now time.Time) bool { return !now.After(s.latestStart(j)) }

// latestStart is until when a job that is begun in a full call meets its target.
func (s *Scheduler) latestStart(j *Job) time.Time {
	return j.Target.Add(-s.batch.CallTime(s.batch.Size))
}

// compareJobs orders two jobs: those that can still meet their target by it, then the late ones by priority and deadline. So
// a backlog that is late already doesn't make what comes after it late as well.
func compareJobs(a, b *Job) int {
	switch {
	case a.late != b.late && b.late:
		return -1
	case a.late != b.late:
		return 1
	case !a.late:
		return cmp.Or(a.effectiveTarget().Compare(b.effectiveTarget()), a.Arrived.Compare(b.Arrived))
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline), a.Arrived.Compare(b.Arrived))
}
