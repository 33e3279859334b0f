package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
)

const (
	// judgeInterval is how often the judge weighs the evidence on the roll-outs in progress.
	judgeInterval = 100 * time.Millisecond
	// rolloutReportInterval is the time between two reports of an entry VM while a roll-out is in progress, and
	// rolloutReportTimeout bounds one report.
	rolloutReportInterval = 250 * time.Millisecond
	rolloutReportTimeout  = 500 * time.Millisecond
	// refusedPerSecond bounds the lines about orders that started no roll-out.
	refusedPerSecond = 5
	// rolloutLogInterval is the time between two lines on the evidence of one roll-out.
	rolloutLogInterval = time.Second
)

var (
	rolloutOrders      = metrics.NewCounter("daisyhatch_rollout_orders_total")
	rolloutReports     = metrics.NewCounter("daisyhatch_rollout_reports_total")
	rolloutReportsLost = metrics.NewCounter("daisyhatch_rollout_reports_lost_total")
)

// conductors are the roll-outs that this VM judges as the leader of the control group.
type conductors struct {
	mu        sync.Mutex
	byService map[string]*rollout.Conductor
	loggedAt  map[string]time.Time
	// orderedAt is when this VM learned of each roll-out in progress, by number and this VM's clock.
	orderedAt map[uint64]time.Time
	// refusedLog bounds the lines about orders that started no roll-out.
	refusedLog *logsink.Budget
}

// StartRollout orders that the requests of a service move to a version within a duration. It returns once the order is recorded,
// also if it was recorded before. Errors: ErrInvalid for an unknown service or a duration out of range, ErrConflict while another roll-out of
// the service is in progress, ErrUnknown where roll-outs aren't configured, ErrUnavailable if it may or may not have been recorded.
func (c *Control) StartRollout(ctx context.Context, service, version string, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := c.orderRollout(ctx, &daisyhatchv1.RolloutStart{Service: service, Version: version, DurationMs: duration.Milliseconds()})
	rolloutOrders.Inc()
	allowed, leftOut := true, uint64(0)
	if r.GetOutcome() != daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED {
		allowed, leftOut = c.rollouts.refusedLog.Allow(time.Now())
	}
	if !allowed {
		return err
	}
	candidates, others := c.serversOf(service, version)
	c.opts.Log.Info("roll-out ordered", "service", fmt.Sprintf(loggedName, service), "to", fmt.Sprintf(loggedName, version),
		"duration_ms", duration.Milliseconds(), "outcome", r.GetOutcome().String(), "number", r.GetRollout().GetNumber(),
		"servers", candidates, "other_servers", others, "error", errorText(err), "lines_left_out", leftOut)
	return err
}

// loggedName bounds a name that an operator gave in a log line.
const loggedName = "%.128s"

func (c *Control) orderRollout(ctx context.Context, s *daisyhatchv1.RolloutStart) (*daisyhatchv1.RolloutResult, error) {
	if c.opts.RolloutBounds == nil {
		return nil, fmt.Errorf("%w: the settings set no bounds for roll-outs", ErrUnknown)
	}
	if err := rollout.CheckStart(s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	view, err := c.currentView(ctx)
	if err != nil {
		return nil, err
	}
	set := c.opts.State.Catalog()
	if set == nil || c.opts.State.Number() < view.Revision.Number {
		return nil, fmt.Errorf("%w: the configuration in force isn't known here yet", ErrUnavailable)
	}
	if set.Services[s.GetService()] == nil {
		return nil, fmt.Errorf("%w: no service %.128q", ErrInvalid, s.GetService())
	}
	r, err := c.proposeRollout(ctx, &daisyhatchv1.RolloutCommand{
		Action: &daisyhatchv1.RolloutCommand_Start{Start: s}, Base: rollout.BaseOf(view.Rollouts, s.GetService()),
	})
	if err == nil && r.GetOutcome() == daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_OVERTAKEN {
		err = fmt.Errorf("%w: another roll-out of service %q was recorded after the order came", ErrUnavailable, s.GetService())
	}
	if err == nil && r.GetOutcome() == daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_CONFLICT {
		err = fmt.Errorf("%w: a roll-out of service %q to version %q", ErrConflict, s.GetService(), r.GetRollout().GetVersion())
	}
	return r, err
}

func (c *Control) proposeRollout(ctx context.Context, cmd *daisyhatchv1.RolloutCommand) (*daisyhatchv1.RolloutResult, error) {
	r, err := c.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Rollout{Rollout: cmd}})
	return r.GetRollout(), err
}

// Rollouts returns the latest roll-out of each service as recorded when the call began, sorted by service. Errors: ErrUnavailable.
func (c *Control) Rollouts(ctx context.Context) ([]*daisyhatchv1.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if err := c.opts.Node.ReadBarrier(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return c.rolloutsInForce(), nil
}

// Rollout returns the latest roll-out of a service as recorded when the call began. Errors: ErrUnknown if there was none,
// ErrUnavailable.
func (c *Control) Rollout(ctx context.Context, service string) (*daisyhatchv1.Rollout, error) {
	list, err := c.Rollouts(ctx)
	if err != nil {
		return nil, err
	}
	i, found := rollout.Find(list, service)
	if !found {
		return nil, fmt.Errorf("%w: no roll-out of service %.128q", ErrUnknown, service)
	}
	return list[i], nil
}

// serversOf returns how many servers of a service that take new requests have a version, and how many have others.
func (c *Control) serversOf(service, version string) (candidates, others int) {
	for _, v := range c.opts.State.Serving(service, time.Now()) {
		if v.Version == version {
			candidates++
		} else {
			others++
		}
	}
	return candidates, others
}

// incarnations returns the servers of a service that are ready, also those in failure domains that are out.
func (s *State) incarnations(service string) []rollout.Server {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []rollout.Server
	for _, v := range s.dir.Serving(service) {
		out = append(out, rollout.Server{ID: v.ID, Version: v.Version, Born: v.Born})
	}
	return out
}

// judgeRollouts moves the roll-outs in progress on if this VM leads the control group.
func (c *Control) judgeRollouts(ctx context.Context) {
	view, _ := c.opts.Machine.View()
	leads := c.opts.Node.IsLeader()
	now := time.Now()
	for _, step := range c.rollouts.next(c, view.Rollouts, leads, now) {
		r, err := c.proposeRollout(ctx, step)
		if d := step.GetDecision(); d != nil {
			c.opts.Log.Info("roll-out decided", "service", d.GetService(), "number", d.GetNumber(), "phase", d.GetPhase().String(),
				"reason", d.GetReason(), "outcome", r.GetOutcome().String(), "error", errorText(err))
		} else if err != nil {
			c.opts.Log.Info("roll-out: no requests reserved", "service", step.GetReservation().GetService(), "reason", err.Error())
		} else if r.GetOutcome() == daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED {
			c.rollouts.reserved(step.GetReservation())
		}
	}
}

// reserved takes over an accepted reservation of this VM.
func (j *conductors) reserved(v *daisyhatchv1.RolloutReservation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.byService[v.GetService()]; d != nil {
		d.Reserved(v)
	}
}

// next returns the commands that the roll-outs in progress call for.
func (j *conductors) next(c *Control, list []*daisyhatchv1.Rollout, leads bool, now time.Time) []*daisyhatchv1.RolloutCommand {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.note(list, now)
	if !leads {
		j.byService = nil
		return nil
	}
	var out []*daisyhatchv1.RolloutCommand
	for _, r := range list {
		if rollout.Ended(r.GetPhase()) {
			delete(j.byService, r.GetService())
			continue
		}
		d := j.conductor(c, r, now)
		d.Committed(r, now)
		d.Servers(c.serversOf(r.GetService(), r.GetVersion()))
		phase, reason := d.Next(c.allEntries(now), EntryID, now)
		if phase != r.GetPhase() {
			out = append(out, &daisyhatchv1.RolloutCommand{Action: &daisyhatchv1.RolloutCommand_Decision{
				Decision: rollout.Decide(r, phase, reason, c.opts.State.incarnations(r.GetService())),
			}})
		} else if v, ok := d.Reserve(); ok {
			out = append(out, &daisyhatchv1.RolloutCommand{Action: &daisyhatchv1.RolloutCommand_Reservation{Reservation: v}})
		}
		j.log(c, r, d, now)
	}
	return out
}

// note remembers when this VM learned of roll-outs. One that learned of them late goes by the ages that entry VMs report, since
// the clocks of VMs may differ. j.mu must be held.
func (j *conductors) note(list []*daisyhatchv1.Rollout, now time.Time) {
	known := j.orderedAt
	j.orderedAt = make(map[uint64]time.Time)
	for _, r := range list {
		if rollout.Ended(r.GetPhase()) {
			continue
		}
		at, ok := known[r.GetNumber()]
		if !ok {
			at = now
		}
		j.orderedAt[r.GetNumber()] = at
	}
}

// conductor returns the Conductor of a roll-out; j.mu must be held.
func (j *conductors) conductor(c *Control, r *daisyhatchv1.Rollout, now time.Time) *rollout.Conductor {
	if j.byService == nil {
		j.byService, j.loggedAt = make(map[string]*rollout.Conductor), make(map[string]time.Time)
	}
	d := j.byService[r.GetService()]
	if d == nil || d.Number() != r.GetNumber() {
		if _, ok := j.orderedAt[r.GetNumber()]; !ok {
			j.note(c.rolloutsInForce(), now)
		}
		age := now.Sub(j.orderedAt[r.GetNumber()])
		cached := false
		if set := c.opts.State.Catalog(); set != nil && set.Services[r.GetService()] != nil {
			cached = set.Services[r.GetService()].Engine != nil
		}
		d = rollout.NewConductor(r, *c.opts.RolloutBounds, cached, age, now)
		j.byService[r.GetService()] = d
		c.opts.Log.Info("roll-out judged here", "service", r.GetService(), "number", r.GetNumber(), "age_ms", age.Milliseconds(), "reserved", r.GetReserved())
	}
	return d
}

// rolloutsInForce returns the latest roll-outs in the log as far as this VM has applied it.
func (c *Control) rolloutsInForce() []*daisyhatchv1.Rollout {
	view, _ := c.opts.Machine.View()
	return view.Rollouts
}

// log writes a line on a roll-out's evidence once per rolloutLogInterval; j.mu must be held.
func (j *conductors) log(c *Control, r *daisyhatchv1.Rollout, d *rollout.Conductor, now time.Time) {
	if now.Sub(j.loggedAt[r.GetService()]) < rolloutLogInterval {
		return
	}
	j.loggedAt[r.GetService()] = now
	known, most := d.Exposed()
	c.opts.Log.Info("roll-out in progress", "service", r.GetService(), "number", r.GetNumber(), "phase", r.GetPhase().String(),
		"exposed", known, "may_be_exposed", most, "reserved", r.GetReserved(), "evidence", d.Evidence())
}

// allEntries returns the ids of the entry VMs that follow this or another control VM.
func (c *Control) allEntries(now time.Time) []uint64 {
	ids, _ := c.entryIDs(false, now)
	return ids
}

// judgeAddress returns the peer address of the leader; empty while none is known.
func (c *Control) judgeAddress() string {
	s := c.opts.Node.Status()
	for _, p := range s.Membership.GetPeers() {
		if p.GetVm() == s.Leader {
			return p.GetAddress()
		}
	}
	return ""
}

// ReportRollouts implements FleetService.
func (c *Control) ReportRollouts(
	_ context.Context, req *connect.Request[daisyhatchv1.ReportRolloutsRequest],
) (*connect.Response[daisyhatchv1.ReportRolloutsResponse], error) {
	now := time.Now()
	// A leader that was cut off from the others can't decide anything, and may not know yet that another one leads.
	if c.opts.RolloutBounds != nil && c.opts.Node.IsLeader() && c.recentlyConfirmed(now) {
		rolloutReports.Inc()
		return connect.NewResponse(c.takeReports(req.Msg, now)), nil
	}
	out := c.changedRollouts(req.Msg)
	if a := c.judgeAddress(); a != c.opts.Address {
		out.JudgeAddress = a
	}
	return connect.NewResponse(out), nil
}

// changedRollouts returns an answer with the roll-outs, if they aren't those that the sender of a report knows.
func (c *Control) changedRollouts(req *daisyhatchv1.ReportRolloutsRequest) *daisyhatchv1.ReportRolloutsResponse {
	view, _ := c.opts.Machine.View()
	out := &daisyhatchv1.ReportRolloutsResponse{RolloutsNumber: view.RolloutsNumber}
	if req.GetRolloutsNumber() != view.RolloutsNumber {
		out.Rollouts = view.Rollouts
	}
	return out
}

// takeReports takes over reports as the judge, and returns the grants that answer them.
func (c *Control) takeReports(req *daisyhatchv1.ReportRolloutsRequest, now time.Time) *daisyhatchv1.ReportRolloutsResponse {
	out, list := c.changedRollouts(req), c.rolloutsInForce()
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	for _, r := range req.GetReports() {
		i, found := rollout.Find(list, r.GetService())
		if !found || list[i].GetNumber() != r.GetNumber() || rollout.Ended(list[i].GetPhase()) {
			continue
		}
		out.Grants = append(out.Grants, c.rollouts.conductor(c, list[i], now).Report(r, now))
	}
	return out
}

// updateRollouts takes over roll-outs that a control VM told.
func (f *Follower) updateRollouts(list []*daisyhatchv1.Rollout) {
	if f.opts.Rollouts == nil {
		return
	}
	for _, r := range f.opts.Rollouts.Update(list, time.Now()) {
		f.opts.Log.Info("roll-out in force", "service", r.GetService(), "to", r.GetVersion(), "number", r.GetNumber(),
			"phase", r.GetPhase().String(), "reason", r.GetReason())
	}
}

// reportRollouts tells the judge what this VM counts while roll-outs are in progress, and takes its grants, until ctx ends.
func (f *Follower) reportRollouts(ctx context.Context) {
	judge, number := "", uint64(0)
	runEvery(ctx, rolloutReportInterval, func(ctx context.Context) {
		reports := f.opts.Rollouts.Reports(time.Now())
		if len(reports) == 0 {
			return
		}
		if judge == "" {
			judge = f.anyControl()
		}
		next, err := f.reportRolloutsTo(ctx, judge, reports, &number)
		if err == nil && next != "" && next != judge {
			judge = next
			next, err = f.reportRolloutsTo(ctx, judge, reports, &number)
		}
		if err != nil {
			rolloutReportsLost.Inc()
			f.opts.Log.Info("roll-out not reported", "control", judge, "reason", err.Error())
		}
		judge = next
	})
}

// errNoControl means that no control VM is followed.
var errNoControl = errors.New("fleet: no control VM is followed")

// anyControl returns the address of a control VM that is followed; empty when there is none.
func (f *Follower) anyControl() string {
	for a := range f.openStreams() {
		return a
	}
	return ""
}

// reportRolloutsTo reports to one control VM. It returns the address of the judge as far as that VM knows: its own if it took
// the reports. number is that of the roll-outs that were told last.
func (f *Follower) reportRolloutsTo(
	ctx context.Context, address string, reports []*daisyhatchv1.RolloutReport, number *uint64,
) (judge string, err error) {
	if address == "" {
		return "", errNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutReportTimeout)
	defer cancel()
	sent := time.Now()
	client := daisyhatchv1connect.NewFleetServiceClient(f.opts.HTTP, "http://"+address)
	r, err := client.ReportRollouts(ctx, connect.NewRequest(&daisyhatchv1.ReportRolloutsRequest{Reports: reports, RolloutsNumber: *number}))
	if err != nil {
		return "", err
	}
	f.updateRollouts(r.Msg.GetRollouts())
	*number = r.Msg.GetRolloutsNumber()
	for _, g := range r.Msg.GetGrants() {
		f.opts.Rollouts.Grant(g, sent)
	}
	if len(r.Msg.GetGrants()) > 0 {
		return address, nil
	}
	return r.Msg.GetJudgeAddress(), nil
}
