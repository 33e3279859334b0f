package stagecall

import (
	"cmp"
	"slices"
	"time"
)

// Requeue puts a job back into the queue, without counting it as an arrival.
func (s *Scheduler) Requeue(j *Job, now time.Time) {
	s.updateLate(j, now)
	s.insert(j)
}

// updateLate updates whether a job can still meet its target, and when the queue must be checked for late jobs again.
func (s *Scheduler) updateLate(j *Job, now time.Time) {
	j.late = !s.canMeetTarget(j, now)
	if late := s.latestStart(j); !j.late && late.Before(s.nextLateAt) {
		s.nextLateAt = late
	}
}

// insert adds a job to the queue in order, after jobs that compare equal.
func (s *Scheduler) insert(j *Job) { s.jobs = slices.Insert(s.jobs, s.position(j), j) }

// position returns the index at which a job belongs; j.late must be up to date.
func (s *Scheduler) position(j *Job) int {
	i, _ := slices.BinarySearchFunc(s.jobs, j, func(a, b *Job) int {
		if compareJobs(a, b) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// effectiveTarget is the sort key of jobs that can meet their target: each priority level adds priorityStep.
func (j *Job) effectiveTarget() time.Time {
	return j.Target.Add(time.Duration(j.Priority) * priorityStep)
}

// demoteLate moves jobs that can no longer meet their target behind those that can.
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

// canMeetTarget reports whether a job that starts now in a full call meets its target.
func (s *Scheduler) canMeetTarget(j *Job, now time.Time) bool { return !now.After(s.latestStart(j)) }

// latestStart is the latest time at which a job can start in a full call and still meet its target.
func (s *Scheduler) latestStart(j *Job) time.Time {
	return j.Target.Add(-s.batch.CallTime(s.batch.Size))
}

// compareJobs orders two jobs: first those that can still meet their target, by target and priority, then the late ones by
// priority and deadline. This way a backlog of late jobs doesn't make newer jobs late too.
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
