package slots

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// upcoming counts the calls of requests that are in earlier stages and will need a pool soon.
type upcoming struct {
	total int
	// own counts those of the organisation that the forecast is for.
	own int
}

// Forecast estimates how long a request of the organisation to a pipeline or service would take if it arrived now. Each
// step counts with the largest sum of wait and mean hold time among its stages; the last step with the upper estimate
// of the hold time instead of the mean. Requests in earlier stages count as queued ahead of a pool that has a queue.
// Stages without data count as zero. The result is 0 while no call would have to wait: then the executor judges whether
// the calls themselves fit the deadline. It lets a request through now and then, so that a pool that was slow for a
// while is not refused for good.
func (s *Slots) Forecast(set *config.Set, name, organisation string) time.Duration {
	if set == nil {
		return 0
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := set.Services[name]; v != nil {
		wait, stats := s.stageEstimate(set, v.Stage, organisation, upcoming{}, now)
		if wait == 0 {
			return 0
		}
		return wait + stats.upperEstimate()
	}
	p := set.Pipelines[name]
	if p == nil {
		return 0
	}
	total, waits := time.Duration(0), time.Duration(0)
	ahead := upcoming{}
	for i, step := range p.Steps {
		longest := time.Duration(0)
		for _, stage := range step {
			wait, stats := s.stageEstimate(set, stage, organisation, ahead, now)
			waits += wait
			if i == len(p.Steps)-1 {
				longest = max(longest, wait+stats.upperEstimate())
			} else {
				longest = max(longest, wait+stats.mean)
			}
		}
		total += longest
		ahead = s.addUpcoming(set, step, organisation, ahead)
	}
	if waits == 0 {
		return 0
	}
	return total
}

// stageEstimate returns the predicted wait for a stage's pool and how long the stage's calls hold their slots.
func (s *Slots) stageEstimate(set *config.Set, name, organisation string, ahead upcoming, now time.Time) (wait time.Duration, stats holdStats) {
	stage := set.Stages[name]
	if stage == nil {
		return 0, holdStats{}
	}
	p := s.pools[stage.Pool]
	if p == nil {
		return 0, holdStats{}
	}
	stats = p.statsFor(name)
	if p.queue.Len() == 0 {
		return 0, stats
	}
	wait, _ = p.predictWait(s.holder, organisation, s.weight(organisation), ahead, now)
	return wait, stats
}

// addUpcoming adds the calls of a step's stages to those that will need the pools of the next step. Of parallel stages
// only the one with the most calls counts.
func (s *Slots) addUpcoming(set *config.Set, step []string, organisation string, ahead upcoming) upcoming {
	largest := upcoming{}
	for _, name := range step {
		stage := set.Stages[name]
		if stage == nil || s.pools[stage.Pool] == nil {
			continue
		}
		if l := s.pools[stage.Pool].stages[name]; l != nil {
			largest.total = max(largest.total, l.calls)
			largest.own = max(largest.own, l.byOrganisation[organisation])
		}
	}
	return upcoming{total: ahead.total + largest.total, own: ahead.own + largest.own}
}
