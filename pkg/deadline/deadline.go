// Package deadline divides the time until a request's deadline among the stages that have yet to run.
package deadline

import "time"

// Need is the time that one step is expected to take.
type Need struct {
	// Minimum is the configured minimum duration of the step.
	Minimum time.Duration
	// Typical and High are measured quantiles of the step's duration, the median and a high one; 0 while unknown.
	Typical time.Duration
	High    time.Duration
}

// least returns the time below which the step is unlikely to succeed.
func (n Need) least() time.Duration {
	return max(n.Minimum, n.Typical)
}

// likely returns the time within which the step nearly always succeeds.
func (n Need) likely() time.Duration {
	return max(n.least(), n.High)
}

// Share is a step's part of the time until the deadline.
type Share struct {
	// Target is when the step should be done so that the later steps nearly always get the time that they need.
	Target time.Time
	// Cutoff is when the step is to be abandoned, since after it the minimum durations of the later steps no longer fit
	// before the deadline.
	Cutoff time.Time
}

// Of returns the share of a step that starts at now and is followed by the later steps. The time until the deadline is
// divided in proportion to the steps' needs, whether it is more or less than their sum, and equally while no need is known.
// The last step gets all of it. Target is never after Cutoff.
func Of(now, deadline time.Time, own Need, later []Need) Share {
	var minimums, total time.Duration
	for _, n := range later {
		minimums += n.Minimum
		total += n.likely()
	}
	cut := deadline.Add(-minimums)
	left := deadline.Sub(now)
	if left <= 0 || len(later) == 0 {
		return Share{Target: cut, Cutoff: cut}
	}
	total += own.likely()
	if total <= 0 {
		each := left / time.Duration(len(later)+1)
		return Share{Target: earlier(now.Add(each), cut), Cutoff: cut}
	}
	part := float64(own.likely()) / float64(total)
	return Share{Target: earlier(now.Add(time.Duration(float64(left)*part)), cut), Cutoff: cut}
}

// Meetable reports whether the steps, run one after the other from now, are likely to finish by the deadline.
func Meetable(now, deadline time.Time, steps []Need) bool {
	var sum time.Duration
	for _, n := range steps {
		sum += n.least()
	}
	return !now.Add(sum).After(deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
