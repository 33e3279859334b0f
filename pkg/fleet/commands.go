package fleet

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/arrival"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
)

// durable reports whether a committed command survives the loss of LossesBorne disks.
func (c *Control) durable() bool {
	n := 0
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		if !p.GetLearner() {
			n++
		}
	}
	return n/2+1 > c.opts.LossesBorne
}

// propose commits a command to the replicated log and returns its result. It returns ErrUnavailable if the command
// would not be durable.
func (c *Control) propose(ctx context.Context, cmd *daisyhatchv1.Command) (*daisyhatchv1.Result, error) {
	if !c.durable() {
		return nil, fmt.Errorf("%w: too few voters to survive the loss of %d disks", ErrUnavailable, c.opts.LossesBorne)
	}
	return c.proposeUnchecked(ctx, cmd)
}

// proposeUnchecked is propose without the check for durability, for commands that are made again if they are lost.
func (c *Control) proposeUnchecked(ctx context.Context, cmd *daisyhatchv1.Command) (*daisyhatchv1.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// Publish puts a configuration document in force unless a higher version is. It returns ErrInvalid if the document is
// rejected and ErrUnavailable if it may or may not have been accepted.
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

// Document returns the configuration in force: the latest one accepted when the call began. It returns ErrUnavailable
// if the control group can't confirm it or none was accepted yet.
func (c *Control) Document(ctx context.Context) (document []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// SetDomain takes a failure domain out of service, or puts it back if out is false. It returns ErrUnavailable as well if nobody waits for the answer
// any more, or if the failure domain was changed meanwhile: the caller may have given the order elsewhere, and a later one after it.
func (c *Control) SetDomain(ctx context.Context, domain string, out bool) error {
	age := arrival.Of(ctx).Evidence().Age()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	begin := time.Now()
	confirmed, err := c.orderDomain(ctx, domain, out)
	c.opts.Log.Info("order for a failure domain", "failure_domain", domain, "out", out, "age_ms", age.Milliseconds(),
		"confirm_ms", confirmed.Sub(begin).Milliseconds(), "commit_ms", time.Since(confirmed).Milliseconds(), "error", errorText(err))
	return err
}

// orderDomain is SetDomain without the log line. It returns when the control group had confirmed the state, or refused to.
func (c *Control) orderDomain(ctx context.Context, domain string, out bool) (confirmed time.Time, err error) {
	view, err := c.currentView(ctx)
	confirmed = time.Now()
	if err != nil {
		return confirmed, err
	}
	base := view.Revision.Number
	cmd := &daisyhatchv1.DomainCommand{FailureDomain: domain, Out: out, BaseNumber: &base}
	r, err := c.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Domain{Domain: cmd}})
	if err == nil && r.GetDomain().GetOvertaken() {
		err = fmt.Errorf("%w: failure domain %q was changed after state %d, which was current when the order came", ErrUnavailable, domain, base)
	}
	return confirmed, err
}

// currentView returns the replicated state, confirmed by the control group after the call and while the caller waited. It returns ErrUnavailable if the
// group can't confirm it or nobody waits for the answer any more.
func (c *Control) currentView(ctx context.Context) (fsm.View, error) {
	if err := awaited(ctx); err != nil {
		return fsm.View{}, err
	}
	if err := c.opts.Node.ReadBarrier(ctx); err != nil {
		return fsm.View{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	view, _ := c.opts.Machine.View()
	return view, awaited(ctx)
}

// Announce records a server's announcement. One that says that the server is draining or gone is acknowledged only once the
// control group has recorded it; Announce returns ErrUnavailable otherwise.
func (c *Control) Announce(ctx context.Context, s directory.Server) error {
	if err := c.checkServer(&s); err != nil {
		return err
	}
	updated := c.opts.State.MergeDirect(s)
	if len(updated) > 0 {
		c.opts.Log.Info("server announced", "server", s.ID, "service", s.Service, "state", s.State.String(),
			"address", s.Address, "domain", s.Domain, "version", s.Version, "born_ms", s.Born, "sequence", s.Sequence)
	}
	if s.State == directory.Ready {
		return nil
	}
	return c.recordDeparture(ctx, s)
}

// Rejected logs an announcement that was rejected; some lines are left out when there are many.
func (c *Control) Rejected(id string, reason error) {
	if ok, leftOut := c.rejectedLog.Allow(time.Now()); ok {
		c.opts.Log.Info("announcement rejected", "server", fmt.Sprintf("%.64q", id), "reason", fmt.Sprintf("%.200s", reason.Error()), "lines_left_out", leftOut)
	}
}

// checkServer returns ErrInvalid if a server's record can't be used.
func (c *Control) checkServer(s *directory.Server) error {
	err := s.Check(time.Now())
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrInvalid, err)
		c.Rejected(s.ID, err)
	}
	return err
}

// Leave records a server's departure and acknowledges it as Announce does. It returns ErrUnavailable as well if nobody waits for the answer any more: the
// server may have told its departure elsewhere and started again since.
func (c *Control) Leave(ctx context.Context, id string) error {
	if err := c.checkServer(&directory.Server{ID: id, State: directory.Gone}); err != nil {
		return err
	}
	known, _ := c.opts.State.Server(id)
	if err := awaited(ctx); err != nil {
		c.opts.Log.Info("departure refused", "server", id, "reason", err.Error())
		return err
	}
	s, ok := c.opts.State.Leave(id, known.Born, time.Now())
	if !ok {
		c.opts.Log.Info("departure refused", "server", id, "reason", "it has started again since", "born_ms", known.Born, "born_since_ms", s.Born)
		return fmt.Errorf("%w: server %q has started again since it left", ErrUnavailable, id)
	}
	c.opts.Log.Info("server left", "server", id, "service", s.Service, "address", s.Address)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return c.recordDeparture(ctx, s)
}

// recordDeparture tells the other control VMs of a server's departure and returns once the control group has recorded it.
func (c *Control) recordDeparture(ctx context.Context, s directory.Server) error {
	wire := serverToWire(s, time.Now())
	if c.opts.Machine.DepartureKnown(wire) {
		return nil
	}
	// Those that apply the log later learn of it at once this way.
	go c.relay(wire)
	_, err := c.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Departure{Departure: &daisyhatchv1.DepartureCommand{Server: wire}}})
	if err != nil {
		c.opts.Log.Info("departure not recorded", "server", s.ID, "error", err.Error())
	}
	return err
}

// relay sends a server's departure to the other control VMs.
func (c *Control) relay(s *daisyhatchv1.AnnouncedServer) {
	req := &daisyhatchv1.RelayRequest{Servers: []*daisyhatchv1.AnnouncedServer{s}}
	c.callPeers(context.Background(), relayTimeout, func(ctx context.Context, cl daisyhatchv1connect.FleetServiceClient) error {
		_, err := cl.Relay(ctx, connect.NewRequest(req))
		return err
	})
}

// Relay implements FleetService.
func (c *Control) Relay(
	_ context.Context, req *connect.Request[daisyhatchv1.RelayRequest],
) (*connect.Response[daisyhatchv1.RelayResponse], error) {
	c.opts.State.Merge(serversFromWire(req.Msg.GetServers(), time.Now()))
	return connect.NewResponse(&daisyhatchv1.RelayResponse{}), nil
}
