package demand

import "time"

const (
	// largeResults is the size in bytes from which a stage's results are kept no longer than needed: the room of a stage
	// server holds only some of them.
	largeResults = 500_000
	// delayMargin is how much earlier than needed a delayed stage starts, as a multiple of its least time: its own wait isn't
	// known exactly.
	delayMargin = 1
)

// Progress is how far a stage is.
type Progress struct {
	Started, Finished bool
	// Running is the time since the stage was started.
	Running time.Duration
}

// Delay returns for how long the start of a stage can still wait without delaying the answer; 0 if it can't. wait returns how
// long work waits at a service.
//
// Load pattern: requests with a chain of stages beside a stage with large results, while the chain's servers are short of room.
// Started together, the large results take up the room of their servers for as long as the chain waits, and requests that need
// nothing else are turned away; if the chain is turned away, the large results were made for nothing.
func (d *Demand) Delay(stage int, progress []Progress, wait func(service string) time.Duration) time.Duration {
	s := &d.Stages[stage]
	if int64(s.Pieces)*s.ResultBytes < largeResults || d.hasConsumers(stage) {
		return 0
	}
	rest := time.Duration(0)
	for i := range d.Stages {
		if i == stage || progress[i].Finished {
			continue
		}
		left := d.timeOf(i, wait)
		if progress[i].Started {
			left = max(left-progress[i].Running, 0)
		}
		rest = max(rest, left+d.pathAfter(i, wait))
	}
	return max(0, rest-d.timeOf(stage, wait)-delayMargin*s.Least)
}

// hasConsumers reports whether another stage reads the results of a stage.
func (d *Demand) hasConsumers(stage int) bool {
	for i := range d.Stages {
		for _, a := range d.Stages[i].After {
			if a == stage && d.Stages[i].Pieces > 0 {
				return true
			}
		}
	}
	return false
}
