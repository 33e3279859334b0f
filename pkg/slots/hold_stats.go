package slots

import "time"

// Parameters of the hold time statistics.
const (
	// holdSmoothing is the weight of a new call in the moving average of the hold time.
	holdSmoothing = 0.1
	// deviationSmoothing is the weight of a new call in the mean deviation from that average.
	deviationSmoothing = 0.1
	// upperDeviations is how many mean deviations upperEstimate lies above the average.
	upperDeviations = 1.0
)

// holdStats describes how long calls of one kind hold their slots: an exponential moving average and the mean deviation
// from it.
type holdStats struct {
	mean      time.Duration
	deviation time.Duration
}

// observe adds the hold time of one call.
func (u *holdStats) observe(held time.Duration) {
	if u.mean == 0 {
		u.mean = held
		return
	}
	diff := held - u.mean
	u.mean += time.Duration(holdSmoothing * float64(diff))
	u.deviation += time.Duration(deviationSmoothing * float64(diff.Abs()-u.deviation))
}

// upperEstimate returns the time within which most calls end; 0 while there is no data.
func (u *holdStats) upperEstimate() time.Duration {
	return u.mean + time.Duration(upperDeviations*float64(u.deviation))
}

// stageLoad is what a pool knows of one stage: how long its calls hold their slots, and how many calls are in flight or
// queued, in total and by organisation.
type stageLoad struct {
	holdStats
	calls          int
	byOrganisation map[string]int
}

// begin counts a call as queued or in flight until end is called.
func (l *stageLoad) begin(organisation string) {
	l.calls++
	l.byOrganisation[organisation]++
}

func (l *stageLoad) end(organisation string) {
	l.calls--
	l.byOrganisation[organisation]--
	if l.byOrganisation[organisation] == 0 {
		delete(l.byOrganisation, organisation)
	}
}
