package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
)

const (
	takeoverOrder = 12 * time.Second
	takeoverTick  = 50 * time.Millisecond
	// electionTime is how long no control VM leads after the leader was lost, and inFlightTime how long after it a command that
	// it had proposed may reach the log.
	electionTime = 600 * time.Millisecond
	inFlightTime = 1200 * time.Millisecond
	// grantedOften has the leaders lost that gave the first grants, up to oftenKilled.
	grantedOften = "granted, each leader"
	oftenKilled  = 5
	// takeoverTell is how long after an end the last VM in touch learns of it.
	takeoverTell = 2 * takeoverTick
)

// controlFake is a control VM with its copy of the log.
type controlFake struct {
	*Control
	machine *fsm.Machine
}

// entryFake is an entry VM.
type entryFake struct {
	*rollout.Holder
	number uint64
	// cut is true while it reaches no control VM, since cutAt.
	cut   bool
	cutAt time.Time
}

// rolloutFleet is three control VMs over one log and entry VMs in virtual time. The leader is lost when the roll-out reaches
// killAt, the first time.
type rolloutFleet struct {
	t        *testing.T
	r        *rand.Rand
	now      time.Time
	bounds   rollout.Bounds
	controls []*controlFake
	leader   int
	leadsAt  time.Time
	killAt   string
	kills    int
	inFlight []func()
	entries  []*entryFake
	servers  []directory.Server
	view     *State
	bad      bool
	index    uint64
	// sent and exposed are the requests of all entry VMs, and those of them to the version.
	sent, exposed int
	endedAt       time.Time
	// phases are those that were entered, in order.
	phases []daisyhatchv1.RolloutPhase
}

func newRolloutFleet(t *testing.T, killAt string, bad bool) *rolloutFleet {
	f := &rolloutFleet{
		t: t, r: rand.New(rand.NewPCG(1, 1)), now: time.Now(), bounds: rollout.Bounds{Share: 0.1, Extra: 20}, killAt: killAt, bad: bad,
		view: NewState(StateOptions{}),
	}
	for i := range 12 {
		f.servers = append(f.servers, directory.Server{
			ID: fmt.Sprint("i", i), Born: 1, Sequence: 1, Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), State: directory.Ready,
			Domain: fmt.Sprint("d", i/2%3), Version: fmt.Sprint("v", i%2+1), Heard: f.now,
		})
	}
	f.view.Merge(f.servers)
	for range 3 {
		c := &controlFake{machine: fsm.New()}
		c.Control = NewControl(ControlOptions{
			State: NewState(StateOptions{}), Machine: c.machine, RolloutBounds: &f.bounds, Log: logr.Discard(), Parse: parseFake,
		}, nil)
		c.opts.State.Merge(f.servers)
		for i := range 6 {
			c.followers[EntryID(fmt.Sprint("vm", i))] = entryFollower{streams: 1}
		}
		f.controls = append(f.controls, c)
	}
	for i := range 6 {
		f.entries = append(f.entries, &entryFake{Holder: rollout.NewHolder(fmt.Sprint("vm", i), "1", true)})
	}
	f.configure(1)
	return f
}

func parseFake(document []byte) (*catalog.Set, error) {
	return &catalog.Set{Version: uint64(len(document)), Services: map[string]*catalog.Service{"s": {Name: "s"}}}, nil
}

// append commits a command, and has all control VMs apply it.
func (f *rolloutFleet) append(c *daisyhatchv1.Command) *daisyhatchv1.Result {
	f.index++
	c.Proposer, c.TimeUnixMs = fmt.Sprint("c", f.leader), f.now.UnixMilli()
	data, err := proto.Marshal(c)
	require.NoError(f.t, err)
	var out *daisyhatchv1.Result
	for _, v := range f.controls {
		out, err = fsm.DecodeResult(v.machine.Apply(f.index, data))
		require.NoError(f.t, err)
		view, _ := v.machine.View()
		v.applyRevision(view.Revision.Number, view.Revision.Version, view.Revision.Document, view.Revision.DomainsOut)
	}
	view, _ := f.controls[0].machine.View()
	f.view.apply(view.Revision.Number, nil, view.Revision.DomainsOut, f.now)
	return out
}

func (f *rolloutFleet) rollout() *daisyhatchv1.Rollout {
	view, _ := f.controls[f.leader].machine.View()
	return view.Rollouts[0]
}

// step is called when the roll-out reaches a step. It returns true if the leader is lost with it.
func (f *rolloutFleet) step(name string) bool {
	again := f.killAt == grantedOften && name == "granted" && f.kills < oftenKilled
	if !again && (f.kills > 0 || name != f.killAt) {
		return false
	}
	f.kills++
	lost := f.controls[f.leader]
	lost.rollouts.next(lost.Control, lost.rolloutsInForce(), false, f.now)
	f.leader = (f.leader + 1) % len(f.controls)
	f.leadsAt = f.now.Add(electionTime)
	return true
}

func (f *rolloutFleet) leads() bool { return !f.now.Before(f.leadsAt) }

// propose commits a command of the judge. One that is lost with its leader is committed later.
func (f *rolloutFleet) propose(c *daisyhatchv1.RolloutCommand) {
	commit := func() bool {
		r := f.append(&daisyhatchv1.Command{Body: &daisyhatchv1.Command_Rollout{Rollout: c}}).GetRollout()
		ok := r.GetOutcome() == daisyhatchv1.RolloutOutcome_ROLLOUT_OUTCOME_ACCEPTED
		if d := c.GetDecision(); ok && d != nil {
			f.phases = append(f.phases, d.GetPhase())
			if rollout.Ended(d.GetPhase()) {
				f.endedAt = f.now
			}
		}
		return ok
	}
	d := c.GetDecision()
	if d != nil && f.step("decided "+d.GetPhase().String()) {
		at := f.now.Add(inFlightTime)
		f.inFlight = append(f.inFlight, func() {
			if !f.now.Before(at) {
				commit()
				f.inFlight = nil
			}
		})
		return
	}
	judge, ok := f.controls[f.leader], commit()
	if d != nil {
		f.step("committed " + d.GetPhase().String())
	} else if ok && c.GetReservation() != nil {
		judge.rollouts.reserved(c.GetReservation())
	}
}

// tick lets takeoverTick pass.
func (f *rolloutFleet) tick(n int) {
	f.now = f.now.Add(takeoverTick)
	for _, e := range f.entries {
		f.requests(e)
	}
	for _, commit := range f.inFlight {
		commit()
	}
	if n%2 == 0 {
		for _, e := range f.entries {
			if !e.cut {
				e.Update([]*daisyhatchv1.Rollout{f.rollout()}, f.now)
			}
		}
		f.step("in force " + f.rollout().GetPhase().String())
	}
	if n%5 == 0 {
		for _, e := range f.entries {
			f.report(e)
		}
	}
	if n%2 == 1 && f.leads() {
		c := f.controls[f.leader]
		for _, cmd := range c.rollouts.next(c.Control, c.rolloutsInForce(), true, f.now) {
			f.propose(cmd)
		}
	}
}

func (f *rolloutFleet) report(e *entryFake) {
	reports := e.Reports(f.now)
	if len(reports) == 0 || e.cut || !f.leads() || f.r.IntN(20) == 0 {
		return
	}
	r := f.controls[f.leader].takeReports(&daisyhatchv1.ReportRolloutsRequest{Reports: reports, RolloutsNumber: e.number}, f.now)
	granted := slices.ContainsFunc(r.GetGrants(), func(g *daisyhatchv1.RolloutGrant) bool { return g.GetGranted() > 0 })
	if f.r.IntN(20) == 0 {
		return
	}
	e.Update(r.GetRollouts(), f.now)
	e.number = r.GetRolloutsNumber()
	for _, g := range r.GetGrants() {
		e.Grant(g, f.now)
	}
	if granted {
		f.step("granted")
	}
}

// requests sends one or two requests of an entry VM.
func (f *rolloutFleet) requests(e *entryFake) {
	for range 1 + f.r.IntN(2) {
		p := e.NewPass("s", fmt.Sprint(f.r.Uint64()))
		list := rollout.Select(p, f.view.Serving("s", f.now), func(c Candidate) rollout.Server {
			return rollout.Server{ID: c.ID, Version: c.Version, Born: c.Born, Cold: c.Cold}
		}, nil, f.now)
		require.NotEmpty(f.t, list, "a request finds no server")
		c := list[f.r.IntN(len(list))]
		s := rollout.Server{ID: c.ID, Version: c.Version, Born: c.Born, Cold: c.Cold}
		p.Begin(s, f.now)
		require.True(f.t, p.MaySend(s, f.now))
		took := time.Duration(20+f.r.IntN(20)) * time.Millisecond
		p.Answered(took, f.bad && s.Version == "v2" && f.r.IntN(2) == 0)
		p.End(fmt.Sprint("route", f.r.IntN(2)), false, f.now.Add(took))
		p.Release()
		f.count(e, s)
	}
}

func (f *rolloutFleet) count(e *entryFake, s rollout.Server) {
	f.sent++
	if s.Version == "v2" {
		f.exposed++
	}
	if phase := f.rollout().GetPhase(); phase == rollout.Trial || phase == rollout.RolledBack {
		require.LessOrEqual(f.t, float64(f.exposed), f.bounds.Share*float64(f.sent)+f.bounds.Extra)
	}
	if !f.endedAt.IsZero() && f.now.Sub(f.endedAt) > takeoverTell && !e.cut {
		require.Equal(f.t, f.bad, s.Version == "v1", "after the end")
	}
	if e.cut && f.now.Sub(e.cutAt) > rollout.GrantLifetime {
		require.Equal(f.t, "v1", s.Version, "without contact")
	}
}

func (f *rolloutFleet) configure(version int) {
	f.append(&daisyhatchv1.Command{Body: &daisyhatchv1.Command_Revision{Revision: &daisyhatchv1.RevisionCommand{
		Version: uint64(version), Document: make([]byte, version), //nolint:gosec // small numbers
	}}})
}

func (f *rolloutFleet) evacuate(domain string, out bool) {
	f.append(&daisyhatchv1.Command{Body: &daisyhatchv1.Command_Domain{Domain: &daisyhatchv1.DomainCommand{FailureDomain: domain, Out: out}}})
}

func (f *rolloutFleet) cutOff(e *entryFake, cut bool) {
	if cut && !e.cut {
		e.cutAt = f.now
	}
	if e.cut = cut; !cut {
		e.Update([]*daisyhatchv1.Rollout{f.rollout()}, f.now)
	}
}

// takeoverBeside is what happens beside the roll-out, called at each second of it.
var takeoverBeside = map[string]func(f *rolloutFleet, second int){
	"nothing else":    func(*rolloutFleet, int) {},
	"a VM is cut off": func(f *rolloutFleet, second int) { f.cutOff(f.entries[5], second > 0 && second < 14) },
	"configurations":  func(f *rolloutFleet, second int) { f.configure(second + 2) },
	"evacuations":     func(f *rolloutFleet, second int) { f.evacuate(fmt.Sprint("d", second/2%3), second%2 == 0) },
	"servers leave": func(f *rolloutFleet, second int) {
		left := f.servers[min(second, 7)]
		for _, c := range f.controls {
			c.opts.State.Leave(left.ID, left.Born, f.now)
		}
		f.view.Leave(left.ID, left.Born, f.now)
	},
}

// The leader is lost at each step of a roll-out, beside changes and a VM that is cut off: the roll-out ends in time, no
// version on trial gets more than its bound, each step takes effect once, and no VM in touch uses the version that lost.
func TestRolloutsOutliveTheirLeader(t *testing.T) {
	steps := func(phases ...daisyhatchv1.RolloutPhase) []string {
		out := []string{"no", "ordered", "granted", grantedOften}
		for _, p := range phases {
			out = append(out, "decided "+p.String(), "committed "+p.String(), "in force "+p.String())
		}
		return out
	}
	for end, killAt := range map[daisyhatchv1.RolloutPhase][]string{
		rollout.Completed: steps(rollout.Switching, rollout.Completed), rollout.RolledBack: steps(rollout.RolledBack),
	} {
		for _, step := range killAt {
			for name, beside := range takeoverBeside {
				t.Run(fmt.Sprintf("%s/%s/%s", end, step, name), func(t *testing.T) {
					t.Parallel()
					newRolloutFleet(t, step, end == rollout.RolledBack).run(beside, end)
				})
			}
		}
	}
}

func (f *rolloutFleet) run(beside func(*rolloutFleet, int), end daisyhatchv1.RolloutPhase) {
	begun := f.now
	start := &daisyhatchv1.RolloutStart{Service: "s", Version: "v2", DurationMs: takeoverOrder.Milliseconds()}
	f.propose(&daisyhatchv1.RolloutCommand{Action: &daisyhatchv1.RolloutCommand_Start{Start: start}})
	f.step("ordered")
	perSecond := int(time.Second / takeoverTick)
	for n := range 16 * perSecond {
		if n%perSecond == 0 {
			beside(f, n/perSecond)
		}
		f.tick(n)
	}
	require.Equal(f.t, f.killAt != "no", f.kills > 0)
	require.Equal(f.t, end, f.rollout().GetPhase(), f.rollout().GetReason())
	require.LessOrEqual(f.t, f.endedAt.Sub(begun), takeoverOrder)
	require.True(f.t, slices.IsSorted(f.phases) && len(slices.Compact(f.phases)) == len(f.phases), "%v", f.phases)
	for _, c := range f.controls {
		view, _ := c.machine.View()
		require.EqualValues(f.t, 1+len(f.phases), view.RolloutsNumber, "the order and each step count once")
		require.True(f.t, proto.Equal(f.rollout(), view.Rollouts[0]))
	}
}
