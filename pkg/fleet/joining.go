package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/arrival"
)

// requestJoin asks the other control VMs to add this VM to the group while it is no voter or hears from no leader.
func (c *Control) requestJoin(ctx context.Context) {
	s := c.opts.Node.Status()
	if len(s.Membership.GetPeers()) > 0 && !s.Learner && s.Quiet < rejoinAfter {
		return
	}
	req := &daisyhatchv1.JoinRequest{Vm: c.opts.VM, Address: c.opts.Address, Instance: c.opts.Node.Instance()}
	c.callPeers(ctx, joinInterval, func(ctx context.Context, cl daisyhatchv1connect.FleetServiceClient) error {
		res, err := cl.Join(ctx, connect.NewRequest(req))
		if err == nil {
			c.opts.Roster.Add(res.Msg.GetControlAddresses(), time.Now())
		}
		return err
	})
}

// callPeers makes a call to all other control VMs concurrently and returns how many succeeded.
func (c *Control) callPeers(
	ctx context.Context, limit time.Duration, call func(context.Context, daisyhatchv1connect.FleetServiceClient) error,
) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	addresses := c.opts.Roster.Addresses(time.Now())
	results := make(chan error, len(addresses))
	for _, a := range addresses {
		go func() { results <- call(ctx, c.client(a)) }()
	}
	succeeded := 0
	for range addresses {
		if err := <-results; err == nil {
			succeeded++
		}
	}
	return succeeded
}

func (c *Control) client(address string) daisyhatchv1connect.FleetServiceClient {
	return daisyhatchv1connect.NewFleetServiceClient(c.opts.HTTP, "http://"+address)
}

// Join implements FleetService. A request that was read late counts from its arrival: the VM may have lost its disk since, and joined as another
// instance.
func (c *Control) Join(
	ctx context.Context, req *connect.Request[daisyhatchv1.JoinRequest],
) (*connect.Response[daisyhatchv1.JoinResponse], error) {
	m, now := req.Msg, time.Now()
	j := Joiner{VM: m.GetVm(), Address: m.GetAddress(), Instance: m.GetInstance(), RequestedAt: arrival.Of(ctx).Arrived()}
	c.mu.Lock()
	if !j.RequestedAt.Before(c.joiners[j.VM].RequestedAt) {
		c.joiners[j.VM] = j
	}
	c.mu.Unlock()
	c.opts.Roster.Add([]string{m.GetAddress()}, now)
	return connect.NewResponse(&daisyhatchv1.JoinResponse{ControlAddresses: c.controlAddresses(now)}), nil
}

// controlAddresses returns the peer addresses of this VM, the members of the group and the VMs that wait to join,
// sorted.
func (c *Control) controlAddresses(now time.Time) []string {
	out := []string{c.opts.Address}
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		out = append(out, p.GetAddress())
	}
	c.mu.Lock()
	for _, j := range c.joiners {
		if now.Sub(j.RequestedAt) <= joinRequestTTL {
			out = append(out, j.Address)
		}
	}
	c.mu.Unlock()
	slices.Sort(out)
	return slices.Compact(out)
}

// planMembership makes the next change to the control group if this VM is the leader. It reports whether it removed a
// member. Errors: those of Node.Silences and Node.ChangeMembership.
func (c *Control) planMembership(ctx context.Context) (removed bool, err error) {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	silences, err := c.opts.Node.Silences(ctx)
	if err != nil {
		return false, err
	}
	now := time.Now()
	members := c.members(silences, now)
	c.mu.Lock()
	joiners := slices.Collect(maps.Values(c.joiners))
	c.mu.Unlock()
	step := NextMembershipChange(members, joiners, c.targetVoters(), now)
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	switch {
	case step.Add != nil:
		peer := &daisyhatchv1.ConsensusPeer{Vm: step.Add.VM, Address: step.Add.Address}
		err = c.opts.Node.ChangeMembership(ctx, peer, "")
	case step.Remove != "":
		err = c.opts.Node.ChangeMembership(ctx, nil, step.Remove)
	default:
		return false, nil
	}
	added := ""
	if step.Add != nil {
		added = step.Add.VM
	}
	c.opts.Log.Info("control group changed", "added", added, "removed", step.Remove, "members", len(members), "error", errorText(err))
	return step.Remove != "" && err == nil, err
}

// members returns the members of the control group with their silence.
func (c *Control) members(silences map[string]time.Duration, now time.Time) []Member {
	var out []Member
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		m := Member{VM: p.GetVm(), Instance: p.GetInstance(), Learner: p.GetLearner(), Silence: silences[p.GetVm()]}
		m.Stopping = c.isStopping(m, now)
		out = append(out, m)
	}
	return out
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// targetVoters is the number of voters of which a majority survives the loss of LossesBorne disks.
func (c *Control) targetVoters() int { return 2*c.opts.LossesBorne + 1 }
