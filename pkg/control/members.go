package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/membership"
)

// membersTimeout is how long another control VM's answer is waited for.
const membersTimeout = time.Second

// members guards a membership table.
type members struct {
	mu    sync.Mutex
	table *membership.Table
}

func newMembers(t *membership.Table) *members { return &members{table: t} }

func (m *members) heartbeat(h *daisyhatchv1.HeartbeatRequest, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Heartbeat(h, now)
}

func (m *members) statuses(now time.Time) []*daisyhatchv1.VMStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Advance(now)
	var out []*daisyhatchv1.VMStatus
	for _, v := range m.table.Members(now) {
		out = append(out, v.Status(now))
	}
	return out
}

// Heartbeat implements EntryService.
func (s *Server) Heartbeat(
	_ context.Context, req *connect.Request[daisyhatchv1.HeartbeatRequest],
) (*connect.Response[daisyhatchv1.HeartbeatResponse], error) {
	fresh := s.members.heartbeat(req.Msg, s.o.Clock())
	if fresh && s.o.ObserveHeartbeat != nil {
		s.o.ObserveHeartbeat(req.Msg)
	}
	view, _ := s.o.Machine.View()
	return connect.NewResponse(&daisyhatchv1.HeartbeatResponse{AcceptedVersion: view.InForce.GetVersion()}), nil
}

// Members implements EntryService.
func (s *Server) Members(
	context.Context, *connect.Request[daisyhatchv1.MembersRequest],
) (*connect.Response[daisyhatchv1.MembersResponse], error) {
	return connect.NewResponse(s.local()), nil
}

func (s *Server) local() *daisyhatchv1.MembersResponse {
	r := &daisyhatchv1.MembersResponse{Vms: s.members.statuses(s.o.Clock())}
	if s.o.Servers != nil {
		r.Servers = s.o.Servers()
	}
	if s.o.Burn != nil {
		r.Burn = s.o.Burn()
	}
	return r
}

// Status implements OperatorService. It answers without a quorum too, with what this VM knows.
func (s *Server) Status(
	ctx context.Context, _ *connect.Request[daisyhatchv1.StatusRequest],
) (*connect.Response[daisyhatchv1.StatusResponse], error) {
	if _, err := authorise(ctx, config.RoleView); err != nil {
		return nil, err
	}
	st := s.o.Log.Status()
	view, _ := s.o.Machine.View()
	r := &daisyhatchv1.StatusResponse{
		AcceptedVersion: view.InForce.GetVersion(),
		Leader:          st.Leader,
		Term:            st.Term,
		CommitIndex:     st.Commit,
		Membership:      st.Membership,
	}
	for _, m := range s.all(ctx) {
		r.Vms = append(r.Vms, m.GetVms()...)
		r.Servers = append(r.Servers, m.GetServers()...)
	}
	r.Vms = latest(r.GetVms())
	slices.SortFunc(r.Servers, func(a, b *daisyhatchv1.ServerStatus) int {
		return cmp.Compare(a.GetServer(), b.GetServer())
	})
	return connect.NewResponse(r), nil
}

// latest keeps for each VM what was heard last.
func latest(vms []*daisyhatchv1.VMStatus) []*daisyhatchv1.VMStatus {
	slices.SortStableFunc(vms, func(a, b *daisyhatchv1.VMStatus) int {
		if c := cmp.Compare(a.GetVm(), b.GetVm()); c != 0 {
			return c
		}
		return cmp.Compare(a.GetLastHeardMsAgo(), b.GetLastHeardMsAgo())
	})
	return slices.CompactFunc(vms, func(a, b *daisyhatchv1.VMStatus) bool { return a.GetVm() == b.GetVm() })
}

// Burn implements OperatorService.
func (s *Server) Burn(
	ctx context.Context, _ *connect.Request[daisyhatchv1.BurnRequest],
) (*connect.Response[daisyhatchv1.BurnResponse], error) {
	if _, err := authorise(ctx, config.RoleView); err != nil {
		return nil, err
	}
	var reports []*daisyhatchv1.BurnResponse
	for _, m := range s.all(ctx) {
		if m.GetBurn() != nil {
			reports = append(reports, m.GetBurn())
		}
	}
	switch {
	case len(reports) == 0:
		return connect.NewResponse(&daisyhatchv1.BurnResponse{}), nil
	case s.o.MergeBurn == nil:
		return connect.NewResponse(reports[0]), nil
	}
	return connect.NewResponse(s.o.MergeBurn(reports)), nil
}

// all gathers what this and the other control VMs know. Those that don't answer in time are left out.
func (s *Server) all(ctx context.Context) []*daisyhatchv1.MembersResponse {
	out := []*daisyhatchv1.MembersResponse{s.local()}
	if s.o.Peers == nil {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range s.o.Log.Status().Membership.GetPeers() {
		if p.GetVm() == s.o.VM {
			continue
		}
		wg.Go(func() {
			c := daisyhatchv1connect.NewEntryServiceClient(s.o.Peers, "http://"+p.GetAddress())
			r, err := c.Members(ctx, connect.NewRequest(&daisyhatchv1.MembersRequest{}))
			if err != nil {
				s.o.Logr.V(1).Info("control VM did not tell its members", "vm", p.GetVm(), "reason", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r.Msg)
		})
	}
	wg.Wait()
	return out
}
