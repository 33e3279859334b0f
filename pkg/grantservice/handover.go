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

// HandOver implements GrantService: another control VM passes shards on to this one.
func (s *Service) HandOver(_ context.Context, r *connect.Request[daisyhatchv1.HandOverRequest]) (*connect.Response[daisyhatchv1.HandOverResponse], error) {
	s.take(r.Msg.Shards)
	return connect.NewResponse(&daisyhatchv1.HandOverResponse{}), nil
}

// take keeps the states of shards until their leases are free, and looks at the leases at once.
func (s *Service) take(states []*daisyhatchv1.ShardState) {
	s.mu.Lock()
	for _, state := range states {
		s.grantor.Import(state, time.Now())
	}
	s.takeLimits()
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// export stops granting in a shard and returns its state with the organisations' limits kept there; nil when the
// calls there can't all be accounted for.
func (s *Service) export(shard uint32, now time.Time) *daisyhatchv1.ShardState {
	state := s.grantor.Export(shard, now)
	if state == nil {
		return nil
	}
	state.KeepsLimits = true
	state.Limits = s.allotter.Export(func(organisation string) bool { return grant.ShardOf(organisation) == shard }, state.Fence)
	return state
}

// takeLimits takes over the limits of organisations that came with shards.
func (s *Service) takeLimits() {
	now := time.Now()
	for _, state := range s.grantor.TakenOver() {
		s.allotter.Import(state.Limits, state.Fence+1, now)
	}
}

// Yield implements GrantService: a control VM that comes first for some shards asks for them. What is given up is
// not granted here any more, whether or not the answer arrives.
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
		state := s.export(shard, now)
		s.given[shard] = state
		out.Shards = append(out.Shards, state)
		shards = append(shards, shard)
	}
	s.mu.Unlock()
	if len(shards) == 0 {
		return connect.NewResponse(out), nil
	}
	if err := s.release(ctx, shards); err != nil {
		s.opts.Logger.V(1).Info("leases not released", "error", err.Error())
	}
	return connect.NewResponse(out), nil
}

// release gives leases back.
func (s *Service) release(ctx context.Context, shards []uint32) error {
	commands := make([]*daisyhatchv1.LeaseCommand, len(shards))
	for i, shard := range shards {
		commands[i] = &daisyhatchv1.LeaseCommand{
			Name: grant.LeaseName(shard), Holder: s.opts.VM, Incarnation: s.opts.Incarnation, Release: true,
		}
	}
	_, err := s.propose(ctx, commands)
	return err
}

// askForShards asks other control VMs for shards that this VM comes first for.
func (s *Service) askForShards(ctx context.Context) {
	if s.opts.HTTP == nil {
		return
	}
	var wg sync.WaitGroup
	for vm, shards := range s.leases.wanted(s.voters(), time.Now()) {
		wg.Go(func() { s.askFor(ctx, vm, shards) })
	}
	wg.Wait()
}

func (s *Service) askFor(ctx context.Context, vm string, shards []uint32) {
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
	s.take(out.Msg.Shards)
}

// Recall implements GrantService: another control VM took leases that this one gave up, without their states.
func (s *Service) Recall(_ context.Context, r *connect.Request[daisyhatchv1.RecallRequest]) (*connect.Response[daisyhatchv1.RecallResponse], error) {
	out := &daisyhatchv1.RecallResponse{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range r.Msg.Shards {
		if f.Shard >= grant.Shards {
			continue
		}
		if state := s.given[f.Shard]; state != nil && state.Fence == f.Fence {
			out.Shards = append(out.Shards, state)
		}
	}
	return connect.NewResponse(out), nil
}

// recall asks the VMs that gave shards up for the states of those that this VM took without.
func (s *Service) recall(ctx context.Context) {
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
	for vm, shards := range s.leases.gaveUp(waiting) {
		wg.Go(func() { s.recallFrom(ctx, vm, shards) })
	}
	wg.Wait()
}

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
	s.take(out.Msg.Shards)
}

// handOver passes all shards on to the VMs that come next for them and releases their leases.
func (s *Service) handOver(ctx context.Context) error {
	s.observe()
	var shards []uint32
	var states []*daisyhatchv1.ShardState
	s.mu.Lock()
	for shard := range uint32(grant.Shards) {
		if !s.leases.mine(shard) {
			continue
		}
		shards = append(shards, shard)
		if state := s.export(shard, time.Now()); state != nil {
			states = append(states, state)
		}
	}
	s.mu.Unlock()
	if len(shards) == 0 {
		return nil
	}
	s.passAll(ctx, states)
	return s.release(ctx, shards)
}

// passAll passes each state on to the first VM in the shard's order that takes it. When none does, the VM that takes
// the lease waits out the grants made here.
func (s *Service) passAll(ctx context.Context, states []*daisyhatchv1.ShardState) {
	vms := slices.DeleteFunc(s.voters(), func(vm string) bool { return vm == s.opts.VM })
	for len(states) > 0 && len(vms) > 0 {
		next := make(map[string][]*daisyhatchv1.ShardState)
		for _, state := range states {
			vm := firstOf(vms, state.Shard)
			next[vm] = append(next[vm], state)
		}
		failed := s.passTo(ctx, next)
		states = nil
		for _, vm := range failed {
			states = append(states, next[vm]...)
			vms = slices.DeleteFunc(vms, func(v string) bool { return v == vm })
		}
	}
}

// passTo passes states on to several VMs at once and returns those that did not take them.
func (s *Service) passTo(ctx context.Context, next map[string][]*daisyhatchv1.ShardState) (failed []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for vm, states := range next {
		wg.Go(func() {
			if s.pass(ctx, vm, states) {
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

// pass hands shards over to one VM and reports whether it took them.
func (s *Service) pass(ctx context.Context, vm string, states []*daisyhatchv1.ShardState) bool {
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

// firstOf returns the VM that comes first for a shard.
func firstOf(vms []string, shard uint32) string {
	for _, vm := range vms {
		if rankOf(vm, vms, shard) == 0 {
			return vm
		}
	}
	return ""
}

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
