package grantservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// peerTimeout bounds one call to another control VM.
const peerTimeout = 500 * time.Millisecond

// HandOver implements GrantService: it receives the states of shards that another control VM hands over.
func (s *Service) HandOver(_ context.Context, r *connect.Request[daisyhatchv1.HandOverRequest]) (*connect.Response[daisyhatchv1.HandOverResponse], error) {
	s.importStates(r.Msg.Shards)
	return connect.NewResponse(&daisyhatchv1.HandOverResponse{}), nil
}

// importStates stores the states of shards until their leases are free, and triggers a check of the leases.
func (s *Service) importStates(states []*daisyhatchv1.ShardState) {
	s.mu.Lock()
	for _, state := range states {
		s.grantor.Import(state, time.Now())
	}
	s.importLimits()
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// exportShard stops granting in a shard and returns its state, including the limits of the organisations in it. It
// returns nil when not all calls of the shard are accounted for.
func (s *Service) exportShard(shard uint32, now time.Time) *daisyhatchv1.ShardState {
	state := s.grantor.Export(shard, now)
	if state == nil {
		return nil
	}
	state.KeepsLimits = true
	state.Limits = s.allotter.Export(func(organisation string) bool { return grant.ShardOf(organisation) == shard }, state.Fence)
	return state
}

// importLimits imports the organisations' limits that came with the shards taken over.
func (s *Service) importLimits() {
	now := time.Now()
	for _, state := range s.grantor.TakenOver() {
		s.allotter.Import(state.Limits, state.Fence+1, now)
	}
}

// Yield implements GrantService: a control VM that precedes this one in the order of some shards requests them. This VM
// grants nothing more in the shards that it yields, even if the response is lost.
func (s *Service) Yield(ctx context.Context, r *connect.Request[daisyhatchv1.YieldRequest]) (*connect.Response[daisyhatchv1.YieldResponse], error) {
	vms := s.voters()
	out := &daisyhatchv1.YieldResponse{}
	var shards []uint32
	s.mu.Lock()
	now := time.Now()
	for _, shard := range r.Msg.Shards {
		if shard >= grant.Shards || !s.grantor.Settled(shard, now) || rankOf(r.Msg.Vm, vms, shard) >= rankOf(s.opts.VM, vms, shard) {
			continue
		}
		state := s.exportShard(shard, now)
		s.yieldedStates[shard] = state
		out.Shards = append(out.Shards, state)
		shards = append(shards, shard)
	}
	s.mu.Unlock()
	if len(shards) == 0 {
		return connect.NewResponse(out), nil
	}
	if err := s.releaseLeases(ctx, shards); err != nil {
		s.opts.Logger.V(1).Info("leases not released", "error", err.Error())
	}
	return connect.NewResponse(out), nil
}

// releaseLeases releases the leases of the shards.
func (s *Service) releaseLeases(ctx context.Context, shards []uint32) error {
	commands := make([]*daisyhatchv1.LeaseCommand, len(shards))
	for i, shard := range shards {
		commands[i] = &daisyhatchv1.LeaseCommand{
			Name: grant.LeaseName(shard), Holder: s.opts.VM, Incarnation: s.opts.Incarnation, Release: true,
		}
	}
	_, err := s.propose(ctx, commands)
	return err
}

// requestPreferredShards requests the shards for which this VM precedes the present holder.
func (s *Service) requestPreferredShards(ctx context.Context) {
	if s.opts.HTTP == nil {
		return
	}
	var wg sync.WaitGroup
	for vm, shards := range s.leases.preferredShards(s.voters(), time.Now()) {
		wg.Go(func() { s.requestShards(ctx, vm, shards) })
	}
	wg.Wait()
}

// requestShards requests shards from one VM and imports the states that it yields.
func (s *Service) requestShards(ctx context.Context, vm string, shards []uint32) {
	address := s.address(vm)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := s.client(address).Yield(ctx, connect.NewRequest(&daisyhatchv1.YieldRequest{Vm: s.opts.VM, Shards: shards}))
	if err != nil {
		s.opts.Logger.V(1).Info("shards not yielded", "vm", vm, "error", err.Error())
		return
	}
	s.importStates(out.Msg.Shards)
}

// Recall implements GrantService: it returns the states of yielded shards to a control VM that acquired their leases
// without receiving the states. Shards that were not yielded under the given fence are left out.
func (s *Service) Recall(_ context.Context, r *connect.Request[daisyhatchv1.RecallRequest]) (*connect.Response[daisyhatchv1.RecallResponse], error) {
	out := &daisyhatchv1.RecallResponse{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range r.Msg.Shards {
		if f.Shard >= grant.Shards {
			continue
		}
		if state := s.yieldedStates[f.Shard]; state != nil && state.Fence == f.Fence {
			out.Shards = append(out.Shards, state)
		}
	}
	return connect.NewResponse(out), nil
}

// recallMissingStates requests the states of shards that this VM acquired without receiving them, from the VMs that
// released them.
func (s *Service) recallMissingStates(ctx context.Context) {
	if s.opts.HTTP == nil {
		return
	}
	s.observe()
	var waiting []uint32
	s.mu.Lock()
	for shard := range uint32(grant.Shards) {
		if s.grantor.WaitsForQuietPeriod(shard, time.Now()) {
			waiting = append(waiting, shard)
		}
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for vm, shards := range s.leases.releasedBy(waiting) {
		wg.Go(func() { s.recallFrom(ctx, vm, shards) })
	}
	wg.Wait()
}

// recallFrom requests the states of released shards from one VM and imports them.
func (s *Service) recallFrom(ctx context.Context, vm string, shards []*daisyhatchv1.ShardFence) {
	address := s.address(vm)
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	out, err := s.client(address).Recall(ctx, connect.NewRequest(&daisyhatchv1.RecallRequest{Shards: shards}))
	if err != nil {
		s.opts.Logger.V(1).Info("shards not recalled", "vm", vm, "error", err.Error())
		return
	}
	s.importStates(out.Msg.Shards)
}

// handOver hands over all shards to the VMs that come next for them and releases the leases.
func (s *Service) handOver(ctx context.Context) error {
	s.observe()
	var shards []uint32
	var states []*daisyhatchv1.ShardState
	s.mu.Lock()
	for shard := range uint32(grant.Shards) {
		if !s.leases.heldHere(shard) {
			continue
		}
		shards = append(shards, shard)
		if state := s.exportShard(shard, time.Now()); state != nil {
			states = append(states, state)
		}
	}
	s.mu.Unlock()
	if len(shards) == 0 {
		return nil
	}
	s.handOverStates(ctx, states)
	return s.releaseLeases(ctx, shards)
}

// handOverStates hands each state to the first VM in the shard's order that accepts it. When none does, the VM that
// acquires the lease has to wait until the grants made here have expired.
func (s *Service) handOverStates(ctx context.Context, states []*daisyhatchv1.ShardState) {
	vms := slices.DeleteFunc(s.voters(), func(vm string) bool { return vm == s.opts.VM })
	for len(states) > 0 && len(vms) > 0 {
		byVM := make(map[string][]*daisyhatchv1.ShardState)
		for _, state := range states {
			vm := firstVM(vms, state.Shard)
			byVM[vm] = append(byVM[vm], state)
		}
		failed := s.handOverToEach(ctx, byVM)
		states = nil
		for _, vm := range failed {
			states = append(states, byVM[vm]...)
			vms = slices.DeleteFunc(vms, func(v string) bool { return v == vm })
		}
	}
}

// handOverToEach hands states to several VMs concurrently and returns the VMs that did not accept them.
func (s *Service) handOverToEach(ctx context.Context, byVM map[string][]*daisyhatchv1.ShardState) (failed []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for vm, states := range byVM {
		wg.Go(func() {
			if s.handOverTo(ctx, vm, states) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, vm)
		})
	}
	wg.Wait()
	return failed
}

// handOverTo hands states to one VM and reports whether it accepted them.
func (s *Service) handOverTo(ctx context.Context, vm string, states []*daisyhatchv1.ShardState) bool {
	address := s.address(vm)
	if s.opts.HTTP == nil || address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r := &daisyhatchv1.HandOverRequest{From: s.opts.VM, Shards: states}
	if _, err := s.client(address).HandOver(ctx, connect.NewRequest(r)); err != nil {
		s.opts.Logger.V(1).Info("shards not handed over", "vm", vm, "error", err.Error())
		return false
	}
	return true
}

// firstVM returns the VM that comes first in a shard's order.
func firstVM(vms []string, shard uint32) string {
	for _, vm := range vms {
		if rankOf(vm, vms, shard) == 0 {
			return vm
		}
	}
	return ""
}

// address returns the address of a control VM; "" when it is not a member of the group.
func (s *Service) address(vm string) string {
	for _, p := range s.opts.Log.Status().Membership.GetPeers() {
		if p.Vm == vm {
			return p.Address
		}
	}
	return ""
}

func (s *Service) client(address string) daisyhatchv1connect.GrantServiceClient {
	return daisyhatchv1connect.NewGrantServiceClient(s.opts.HTTP, "http://"+address)
}
