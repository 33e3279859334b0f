package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/demand"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

var limitRefusals = metrics.NewCounter("daisyhatch_limit_refusals_total")

// reasonLimits is why a request is refused when all servers are at their limits.
const reasonLimits = "the servers of the service are at the limits that they named"

// noRoomNow reports whether there are servers, and the limits of all of them leave this VM no room now.
func noRoomNow(servers []fleet.Candidate, now time.Time) bool {
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(c fleet.Candidate) bool { return c.Limit.HasRoom(now) })
}

// stagesInVain reports whether a request would find no room at a server after its stages, which take stageTime, when inStages
// requests whose stages run already go before it. Under a load beyond the limits of all servers, the stages' work would be
// thrown away.
func stagesInVain(servers []fleet.Candidate, inStages int, stageTime time.Duration, now time.Time) bool {
	room := 0
	for _, c := range servers {
		if c.Limit == nil {
			return false
		}
		room += c.Limit.RoomBy(now.Add(stageTime))
	}
	return len(servers) > 0 && inStages >= room
}

// reasonWhole is why a request is refused whose stages can't all be done in time.
const reasonWhole = "the queues of the stages are too long for the deadline"

var wholeRefusals = metrics.NewCounter("daisyhatch_whole_refusals_total")

// setDemand records what the request needs.
func (x *exchange) setDemand() {
	d := demand.New(x.catalog, x.route, &x.call)
	d.Organisation, d.Service, d.Priority = x.organisation, x.service.Name, int(x.priority)
	d.Arrived, d.Target, d.Deadline, d.Answer = x.start.Add(-x.waited), x.targetTime(), x.deadline, engineFirstEventP95
	x.demand = d
}

// refusedAsWhole refuses a request whose stages can't all be done in time, as far as the waits are known that the owners of
// the calls of its later stages told.
func (x *exchange) refusedAsWhole(now time.Time) bool {
	over := x.demand.TimeOnceStarted(x.stageWait) - x.deadline.Sub(now)
	if over <= 0 || x.demand.Time(nil) > x.deadline.Sub(now) {
		// What can't be done even without a wait is left to the owner of the first stage.
		return false
	}
	wholeRefusals.Inc()
	attempt, left := x.deadline.Sub(now), x.timeLeft()
	room, ok := x.demand.RoomIn(attempt, returning.Longest(attempt), x.stageWait)
	if !ok {
		// There is room for a new attempt, as long as this one, once the waits have shortened by what is too much.
		room = over
		if left > 0 && over+attempt > left {
			room = max(over, left)
		}
	}
	waits := make(map[string]int64, len(x.demand.Stages))
	for _, st := range x.demand.Stages {
		waits[st.Service] = x.stageWait(st.Service).Milliseconds()
	}
	x.relay.opts.Log.Info("refused as a whole", "request", x.call.ID, "route", x.route.Name, "priority", int(x.priority), "organisation", x.organisation,
		"remaining_ms", x.deadline.Sub(now).Milliseconds(), "least_ms", x.demand.Time(nil).Milliseconds(), "waits_ms", waits)
	x.refuse(http.StatusServiceUnavailable, room, reasonWhole)
	return true
}

// startStages counts the request among those whose stages run, or refuses it and returns false.
func (x *exchange) startStages() bool {
	now := time.Now()
	if x.refusedAsWhole(now) {
		return false
	}
	servers := x.serving(now)
	r := x.relay
	r.mu.Lock()
	inVain := stagesInVain(servers, r.inStages[x.service.Name], x.minStageTime(), now)
	if !inVain {
		r.inStages[x.service.Name]++
	}
	r.mu.Unlock()
	if inVain {
		limitRefusals.Inc()
		x.refuseUntil(x.roomNoServer(), reasonLimits)
	}
	return !inVain
}

// endStages ends what startStages counted.
func (x *exchange) endStages() {
	r := x.relay
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inStages[x.service.Name]--; r.inStages[x.service.Name] <= 0 {
		delete(r.inStages, x.service.Name)
	}
}
