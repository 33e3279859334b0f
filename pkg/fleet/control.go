// Package fleet holds a system's VMs together that know only a few seeds: control VMs find one another, replace members
// that are gone, keep the configuration and the failure domains out of service in the replicated log, and hear the
// announcements of backend servers; every VM follows all control VMs and knows what they know.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// Errors of this package.
var (
	// ErrUnavailable means that the control group can't take an order or vouch for a read now.
	ErrUnavailable = errors.New("fleet: the control group is not available")
	// ErrInvalid means that an order is refused for what it says.
	ErrInvalid = errors.New("fleet: invalid order")
)

// Times of control.
const (
	// orderTimeout bounds an order or a read: callers give up after a second.
	orderTimeout = 900 * time.Millisecond
	// relayTimeout bounds the wait for other control VMs to take a departure: servers give up after a second.
	relayTimeout = 700 * time.Millisecond
	// joinInterval is the time between two requests to join the control group.
	joinInterval = 500 * time.Millisecond
	// quietBeforeJoin is how long a voter that obeys no leader waits until it asks to be added: it may have been removed.
	quietBeforeJoin = 2 * time.Second
	// planInterval is the time between two looks at the membership.
	planInterval = 300 * time.Millisecond
	// confirmInterval is the time between two confirmations of the state by the leader.
	confirmInterval = 400 * time.Millisecond
	// confirmLife is how long a confirmation makes what this VM says current.
	confirmLife = time.Second
	// unsteadyAfter is the time without a confirmation after which this VM counts as just started: an election is over by
	// then.
	unsteadyAfter = 2 * time.Second
	// followHeartbeat is the longest silence on a follow stream: a request whose stage work lies on a VM that froze goes to
	// another one after three of them.
	followHeartbeat = 200 * time.Millisecond
	// followBatch is the pause after an update, so that changes that come together go out together.
	followBatch = 20 * time.Millisecond
	// refreshInterval is how often followers hear that servers are still there: a third of what a silent one is kept.
	refreshInterval = 5 * time.Second
	// rosterRefresh is how often followers hear of the VMs when nothing changed: a third of entriesKept.
	rosterRefresh = entriesKept / 3
	// peerRefreshInterval is the same between control VMs.
	peerRefreshInterval = time.Second
)

// Parse reads and checks a configuration document.
type Parse func(document []byte) (*catalog.Set, error)

// ControlOptions are what a Control is made from.
type ControlOptions struct {
	// VM is the name in the control group, Address the peer address.
	VM          string
	Address     string
	Incarnation string
	LossesBorne int
	Node        *replica.Node
	Machine     *fsm.Machine
	State       *State
	Roster      *Roster
	Parse       Parse
	HTTP        *http.Client
	Log         logr.Logger
}

// Control is a control VM's part of the fleet.
type Control struct {
	daisyhatchv1connect.UnimplementedFleetServiceHandler
	opts ControlOptions

	mu        sync.Mutex
	joiners   map[string]Joiner
	followers map[string]follower
	confirmed time.Time
	// steady is since when this VM has run without a pause and in touch with the control group; told is when it last told a
	// follower.
	steady time.Time
	told   time.Time
	stages StageRunner
}

// follower is an entry VM that follows this VM.
type follower struct {
	streams int
	// left is when its last stream ended.
	left time.Time
}

// StageRunner runs stage calls for other VMs.
type StageRunner interface {
	// Run returns the results; inputsRead is called at most once before that, when nothing reads the inputs any more.
	Run(ctx context.Context, r *daisyhatchv1.StageRunRequest, inputsRead func()) (*daisyhatchv1.StageRunResponse, error)
	Free(handles []string)
}

// NewControl returns a Control; stages may be nil.
func NewControl(o ControlOptions, stages StageRunner) *Control {
	now := time.Now()
	return &Control{opts: o, steady: now, told: now, joiners: make(map[string]Joiner), followers: make(map[string]follower), stages: stages}
}

// Handler returns the path and handler of FleetService.
func (c *Control) Handler(o ...connect.HandlerOption) (string, http.Handler) {
	return daisyhatchv1connect.NewFleetServiceHandler(c, o...)
}

// Run works until ctx ends.
func (c *Control) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.takeOver(ctx) })
	wg.Go(func() { every(ctx, confirmInterval, c.confirm) })
	wg.Go(func() { every(ctx, planInterval, c.plan) })
	wg.Go(func() { every(ctx, joinInterval, c.join) })
	wg.Go(func() { every(ctx, time.Second, c.expire) })
	wg.Wait()
}

func every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// takeOver copies the replicated state into the VM's State.
func (c *Control) takeOver(ctx context.Context) {
	for {
		view, changed := c.opts.Machine.View()
		r := view.Revision
		if r.Number > c.opts.State.Number() {
			c.adopt(r.Number, r.Version, r.Document, r.DomainsOut)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Control) adopt(number, version uint64, document []byte, out []string) {
	var set *catalog.Set
	if known := c.opts.State.Catalog(); known == nil || known.Version < version {
		var err error
		if set, err = c.opts.Parse(document); err != nil && len(document) > 0 {
			c.opts.Log.Error(err, "configuration in force can't be read; the former one stays in use here", "version", version)
		}
	}
	if c.opts.State.apply(number, set, out, time.Now()) {
		c.opts.Log.Info("state in force", "number", number, "version", version, "domains_out", out)
	}
}

func (c *Control) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmLife)
	defer cancel()
	begin := time.Now()
	err := c.opts.Node.ReadBarrier(ctx)
	c.mu.Lock()
	before := !c.confirmed.IsZero() && begin.Sub(c.confirmed) < 3*confirmLife
	if err == nil {
		if begin.Sub(c.confirmed) > unsteadyAfter {
			c.steady = begin
		}
		c.confirmed = begin
	}
	c.mu.Unlock()
	if err == nil {
		c.opts.State.confirm(begin)
		if !before {
			c.opts.Log.Info("control group confirms this VM's state")
		}
	}
}

// steadyFor returns how long this VM has run without a pause and in touch with the control group, for a follower. When
// no follower was told anything for followSilence, all have turned to other VMs meanwhile.
func (c *Control) steadyFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.told) > followSilence {
		c.steady = now
	}
	c.told = now
	return now.Sub(c.steady)
}

func (c *Control) isCurrent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && now.Sub(c.confirmed) < confirmLife
}

func (c *Control) expire(context.Context) {
	for _, v := range c.opts.State.Quieten(time.Now()) {
		c.opts.Log.Info("server is quiet", "server", v.ID, "service", v.Service, "address", v.Address)
	}
	for _, v := range c.opts.State.Expire(time.Now()) {
		c.opts.Log.Info("server fell silent", "server", v.ID, "service", v.Service, "address", v.Address)
	}
}

// join asks the others to be taken into the group while this VM is no voter or obeys no leader.
func (c *Control) join(ctx context.Context) {
	s := c.opts.Node.Status()
	if len(s.Membership.GetPeers()) > 0 && !s.Learner && s.Quiet < quietBeforeJoin {
		return
	}
	req := &daisyhatchv1.JoinRequest{Vm: c.opts.VM, Address: c.opts.Address, Instance: c.opts.Node.Instance()}
	c.eachPeer(ctx, joinInterval, func(ctx context.Context, cl daisyhatchv1connect.FleetServiceClient) error {
		res, err := cl.Join(ctx, connect.NewRequest(req))
		if err == nil {
			c.opts.Roster.Name(res.Msg.GetControlAddresses(), time.Now())
		}
		return err
	})
}

// eachPeer makes a call to all other control VMs at once and returns how many took it.
func (c *Control) eachPeer(
	ctx context.Context, limit time.Duration, call func(context.Context, daisyhatchv1connect.FleetServiceClient) error,
) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addresses := c.opts.Roster.Addresses(time.Now())
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() { results <- call(ctx, c.client(a)) }()
	}
	took := 0
	for range addresses {
		if err := <-results; err == nil {
			took++
		}
	}
	return took
}

func (c *Control) client(address string) daisyhatchv1connect.FleetServiceClient {
	return daisyhatchv1connect.NewFleetServiceClient(c.opts.HTTP, "http://"+address)
}

// Join implements FleetService.
func (c *Control) Join(
	_ context.Context, req *connect.Request[daisyhatchv1.JoinRequest],
) (*connect.Response[daisyhatchv1.JoinResponse], error) {
	m, now := req.Msg, time.Now()
	c.mu.Lock()
	c.joiners[m.GetVm()] = Joiner{VM: m.GetVm(), Address: m.GetAddress(), Instance: m.GetInstance(), Asked: now}
	c.mu.Unlock()
	c.opts.Roster.Name([]string{m.GetAddress()}, now)
	return connect.NewResponse(&daisyhatchv1.JoinResponse{ControlAddresses: c.controlAddresses(now)}), nil
}

// controlAddresses returns the members of the group and the VMs that wait to join.
func (c *Control) controlAddresses(now time.Time) []string {
	out := []string{c.opts.Address}
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		out = append(out, p.GetAddress())
	}
	c.mu.Lock()
	for _, j := range c.joiners {
		if now.Sub(j.Asked) <= joinLife {
			out = append(out, j.Address)
		}
	}
	c.mu.Unlock()
	slices.Sort(out)
	return slices.Compact(out)
}

// plan makes the next change of the group if this VM leads.
func (c *Control) plan(ctx context.Context) {
	silences, err := c.opts.Node.Silences(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	var members []Member
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		members = append(members, Member{
			VM: p.GetVm(), Instance: p.GetInstance(), Learner: p.GetLearner(), Silence: silences[p.GetVm()],
		})
	}
	c.mu.Lock()
	joiners := slices.Collect(maps.Values(c.joiners))
	c.mu.Unlock()
	step := Plan(members, joiners, c.voters(), now)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	switch {
	case step.Add != nil:
		peer := &daisyhatchv1.ConsensusPeer{Vm: step.Add.VM, Address: step.Add.Address}
		err = c.opts.Node.ChangeMembership(ctx, peer, "")
	case step.Remove != "":
		err = c.opts.Node.ChangeMembership(ctx, nil, step.Remove)
	default:
		return
	}
	added := ""
	if step.Add != nil {
		added = step.Add.VM
	}
	c.opts.Log.Info("control group changed", "added", added, "removed", step.Remove, "members", len(members), "error", errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// voters is the size of the group that bears the losses of disks.
func (c *Control) voters() int { return 2*c.opts.LossesBorne + 1 }

// durable reports whether what the group accepts outlasts the losses of disks that must be borne.
func (c *Control) durable() bool {
	n := 0
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		if !p.GetLearner() {
			n++
		}
	}
	return n/2+1 > c.opts.LossesBorne
}

// propose puts a command into the log and returns its result.
func (c *Control) propose(ctx context.Context, cmd *daisyhatchv1.Command) (*daisyhatchv1.Result, error) {
	if !c.durable() {
		return nil, fmt.Errorf("%w: too few voters to bear the loss of %d disks", ErrUnavailable, c.opts.LossesBorne)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	cmd.Proposer, cmd.TimeUnixMs = c.opts.VM, time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	a, err := c.opts.Node.Propose(ctx, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	r, err := fsm.DecodeResult(a.Result)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return r, nil
}

// Publish puts a configuration document in force unless a higher version is. Errors: ErrInvalid when the document is
// refused, ErrUnavailable when it may or may not have been taken.
func (c *Control) Publish(ctx context.Context, document []byte) (accepted bool, err error) {
	set, err := c.opts.Parse(document)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	cmd := &daisyhatchv1.RevisionCommand{Version: set.Version, Document: document}
	r, err := c.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Revision{Revision: cmd}})
	if err != nil {
		return false, err
	}
	return r.GetRevision().GetOutcome() == daisyhatchv1.RevisionOutcome_REVISION_OUTCOME_ACCEPTED, nil
}

// Document returns the configuration in force: the newest one accepted when the call began, or ErrUnavailable.
func (c *Control) Document(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := c.opts.Node.ReadBarrier(ctx); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	view, _ := c.opts.Machine.View()
	if view.Revision.Version == 0 {
		return nil, 0, fmt.Errorf("%w: no configuration was accepted yet", ErrUnavailable)
	}
	return view.Revision.Document, view.Revision.Version, nil
}

// SetDomain takes a failure domain out of service or back in.
func (c *Control) SetDomain(ctx context.Context, domain string, out bool) error {
	cmd := &daisyhatchv1.DomainCommand{FailureDomain: domain, Out: out}
	_, err := c.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Domain{Domain: cmd}})
	return err
}

// Announce takes a server's announcement. One that ends the server's work is acknowledged only once so many other control
// VMs have it that the losses that must be borne leave one; ErrUnavailable otherwise.
func (c *Control) Announce(ctx context.Context, s directory.Server) error {
	changed := c.opts.State.Merge([]directory.Server{s})
	if len(changed) > 0 {
		c.opts.Log.Info("server announced", "server", s.ID, "service", s.Service, "state", s.State.String(),
			"address", s.Address, "domain", s.Domain, "born_ms", s.Born, "sequence", s.Sequence)
	}
	if s.State == directory.Ready {
		return nil
	}
	return c.relay(ctx, s)
}

// Leave takes a server's departure, as Announce does.
func (c *Control) Leave(ctx context.Context, id string) error {
	s := c.opts.State.Leave(id, time.Now())
	c.opts.Log.Info("server left", "server", id, "service", s.Service, "address", s.Address)
	return c.relay(ctx, s)
}

func (c *Control) relay(ctx context.Context, s directory.Server) error {
	req := &daisyhatchv1.RelayRequest{Servers: []*daisyhatchv1.AnnouncedServer{toWire(s, time.Now())}}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	addresses := c.opts.Roster.Addresses(time.Now())
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() {
			_, err := c.client(a).Relay(ctx, connect.NewRequest(req))
			results <- err
		}()
	}
	took := 0
	for range addresses {
		if err := <-results; err == nil {
			took++
		}
		if took >= c.opts.LossesBorne {
			return nil
		}
	}
	return fmt.Errorf("%w: %d other control VMs took the departure of %s, %d are needed",
		ErrUnavailable, took, s.ID, c.opts.LossesBorne)
}

// Relay implements FleetService.
func (c *Control) Relay(
	_ context.Context, req *connect.Request[daisyhatchv1.RelayRequest],
) (*connect.Response[daisyhatchv1.RelayResponse], error) {
	c.opts.State.Merge(allFromWire(req.Msg.GetServers(), time.Now()))
	return connect.NewResponse(&daisyhatchv1.RelayResponse{}), nil
}

// StageRun implements FleetService.
func (c *Control) StageRun(
	ctx context.Context, req *connect.Request[daisyhatchv1.StageRunRequest],
	stream *connect.ServerStream[daisyhatchv1.StageRunResponse],
) error {
	type end struct {
		res *daisyhatchv1.StageRunResponse
		err error
	}
	read, ended := make(chan struct{}), make(chan end, 1)
	go func() {
		res, err := c.stages.Run(ctx, req.Msg, func() { close(read) })
		ended <- end{res, err}
	}()
	for {
		select {
		case <-read:
			read = nil
			if err := stream.Send(&daisyhatchv1.StageRunResponse{InputsRead: true}); err != nil {
				return err
			}
		case e := <-ended:
			if e.err != nil {
				return connect.NewError(connect.CodeUnavailable, e.err)
			}
			return stream.Send(e.res)
		}
	}
}

// StageFree implements FleetService.
func (c *Control) StageFree(
	_ context.Context, req *connect.Request[daisyhatchv1.StageFreeRequest],
) (*connect.Response[daisyhatchv1.StageFreeResponse], error) {
	c.stages.Free(req.Msg.GetHandles())
	return connect.NewResponse(&daisyhatchv1.StageFreeResponse{}), nil
}
