package stagecall

import (
	"slices"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/demand"
)

// Requeue puts a job back into the queue, without counting it as an arrival.
func (s *Scheduler) Requeue(j *Job, now time.Time) {
	s.updateClaim(j, now)
	s.updateLate(j, now)
	s.insert(j)
}

// updateLate updates whether a job can still meet its target, and when the queue must be checked for late jobs again.
func (s *Scheduler) updateLate(j *Job, now time.Time) {
	j.claim.Late = j.deferred || !s.canMeetTarget(j, now)
	if late := s.latestStart(j); !j.claim.Late && late.Before(s.nextLateAt) {
		s.nextLateAt = late
	}
}

// insert adds a job to the queue in order, after jobs that compare equal.
func (s *Scheduler) insert(j *Job) { s.jobs = slices.Insert(s.jobs, s.position(j), j) }

// position returns the index at which a job belongs; j.claim.Late must be up to date.
func (s *Scheduler) position(j *Job) int {
	i, _ := slices.BinarySearchFunc(s.jobs, j, func(a, b *Job) int {
		if s.compareJobs(a, b) <= 0 {
			return -1
		}
		return 1
	})
	return i
}

// demoteLate moves jobs that can no longer meet their target behind those that can.
func (s *Scheduler) demoteLate(now time.Time) {
	if now.Before(s.nextLateAt) {
		return
	}
	s.nextLateAt = now.Add(time.Hour)
	var late []*Job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *Job) bool {
		if !j.claim.Late {
			s.updateLate(j, now)
			if j.claim.Late {
				late = append(late, j)
			}
			return j.claim.Late
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

// compareJobs compares two jobs for who goes first.
func (s *Scheduler) compareJobs(a, b *Job) int { return s.order.First(&a.claim, &b.claim) }

// updateClaim updates what a job asks of the servers, as of now; j.claim.Late is updated by updateLate.
func (s *Scheduler) updateClaim(j *Job, now time.Time) {
	c := &j.claim
	c.Priority, c.Target, c.Deadline, c.Arrived = j.Priority, j.Target, j.Deadline, j.Arrived
	c.Left, c.Done = demand.Work(&s.batch, len(j.Pieces))+j.WorkAfter, j.WorkDone
	c.Short = s.shares.Short(j.Priority, j.Organisation, now)
}
