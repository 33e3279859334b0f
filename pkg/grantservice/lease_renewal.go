package grantservice

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// Errors of this package.
var (
	errIncompleteAnnouncement = errors.New("grantservice: announcement without server, pool or incarnation")
	// ErrLease means that a lease command could not be proposed or that its result is unusable.
	ErrLease = errors.New("grantservice: lease not renewed")
)

// run acquires and renews leases until ctx ends.
func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	for {
		if err := s.renew(ctx); err != nil && ctx.Err() == nil {
			s.opts.Logger.V(1).Info("leases not renewed", "error", err.Error())
		}
		s.recallMissingStates(ctx)
		s.requestPreferredShards(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.pollInterval()):
		case <-s.wakeup:
		}
	}
}

// pollInterval returns the time until the leases are checked again.
func (s *Service) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grantor.ExpectsLease(time.Now()) {
		return expectingPollInterval
	}
	return leasePollInterval
}

// observe reads all leases as applied on this VM. The clock is read after each lease, so that a pause in between can
// only delay a takeover.
func (s *Service) observe() {
	for shard := range uint32(grant.Shards) {
		var applied *daisyhatchv1.Lease
		if s.opts.Lease != nil {
			applied = s.opts.Lease(grant.LeaseName(shard))
		}
		s.leases.observe(shard, applied, time.Now())
	}
}

// renew proposes the commands for all due leases in one batch. It releases the leases of shards that were handed over.
func (s *Service) renew(ctx context.Context) error {
	s.observe()
	now := time.Now()
	vms := s.voters()
	var release []bool
	s.mu.Lock()
	shards := s.leases.dueShards(vms, s.grantor.Imported, now)
	s.grantor.Tick(now)
	s.allotter.Tick(now)
	for _, shard := range shards {
		release = append(release, s.leases.heldHere(shard) && s.grantor.Exported(shard))
	}
	s.mu.Unlock()
	if len(shards) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, grant.LeaseTTL)
	defer cancel()
	results, err := s.propose(ctx, s.commands(shards, release))
	if err != nil {
		return err
	}
	s.apply(shards, results, now)
	return nil
}

// commands returns one lease command per shard; release says for each whether to release or to acquire the lease.
func (s *Service) commands(shards []uint32, release []bool) []*daisyhatchv1.LeaseCommand {
	out := make([]*daisyhatchv1.LeaseCommand, len(shards))
	for i, shard := range shards {
		out[i] = s.leases.command(shard, release[i])
	}
	return out
}

// voters returns the voting members of the control group, sorted by name.
func (s *Service) voters() []string {
	var out []string
	for _, p := range s.opts.Log.Status().Membership.GetPeers() {
		if !p.Learner {
			out = append(out, p.Vm)
		}
	}
	slices.Sort(out)
	return out
}

// propose writes lease commands to the replicated log in one batch and returns their results in the same order.
func (s *Service) propose(ctx context.Context, commands []*daisyhatchv1.LeaseCommand) ([]*daisyhatchv1.LeaseResult, error) {
	batch := &daisyhatchv1.BatchCommand{}
	now := time.Now().UnixMilli()
	for _, c := range commands {
		batch.Commands = append(batch.Commands, &daisyhatchv1.Command{
			TimeUnixMs: now, Body: &daisyhatchv1.Command_Lease{Lease: c},
		})
	}
	data, err := proto.Marshal(&daisyhatchv1.Command{TimeUnixMs: now, Body: &daisyhatchv1.Command_Batch{Batch: batch}})
	if err != nil {
		return nil, fmt.Errorf("%w: encode: %w", ErrLease, err)
	}
	applied, err := s.opts.Log.Propose(ctx, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLease, err)
	}
	var r daisyhatchv1.Result
	if err := proto.Unmarshal(applied.Result, &r); err != nil {
		return nil, fmt.Errorf("%w: decode: %w", ErrLease, err)
	}
	results := r.GetBatch().GetResults()
	if len(results) != len(commands) {
		return nil, fmt.Errorf("%w: %d results for %d commands: %s", ErrLease, len(results), len(commands), r.Error)
	}
	out := make([]*daisyhatchv1.LeaseResult, len(results))
	for i, one := range results {
		out[i] = one.GetLease()
	}
	return out, nil
}

// apply records the results of lease commands that were created at the time asked. A lease counts as held only once
// this VM has applied the configuration that was in force when the lease was renewed.
func (s *Service) apply(shards []uint32, results []*daisyhatchv1.LeaseResult, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configure()
	version, _ := s.opts.Config()
	now := time.Now()
	for i, shard := range shards {
		r := results[i]
		if !r.GetHeld() || r.GetConfigurationVersion() > version {
			s.grantor.LeaseLost(shard)
			continue
		}
		s.grantor.LeaseRenewed(shard, r.Fence, r.Fence == 1, asked, now)
	}
	s.importLimits()
}
