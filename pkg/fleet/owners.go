package fleet

import (
	"context"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// ownerPlanState is what a leader remembers to plan the owners of stage calls. Only assignOwners uses it.
type ownerPlanState struct {
	// since is the time from which each member, by address, has been heard without a gap.
	since map[string]time.Time
	// changedAt is when the leader last changed an owner, or became the leader.
	changedAt time.Time
}

// assignOwners changes the owners of stage calls if this VM is the leader.
func (c *Control) assignOwners(ctx context.Context) {
	silences, err := c.opts.Node.Silences(ctx)
	if err != nil {
		c.owners = ownerPlanState{}
		return
	}
	now := time.Now()
	members := c.ownerMembers(silences, now)
	view, _ := c.opts.Machine.View()
	plan := stageowner.Plan(stageServices(c.opts.State.Catalog()), view.StageOwners, members, now.Sub(c.owners.changedAt))
	for _, ch := range plan {
		c.owners.changedAt = now
		c.changeOwner(ctx, ch)
	}
}

// ownerMembers returns the voters with their silence and how long they have been heard without a gap.
func (c *Control) ownerMembers(silences map[string]time.Duration, now time.Time) []stageowner.Member {
	w := &c.owners
	if w.since == nil {
		w.since, w.changedAt = make(map[string]time.Time), now
	}
	var out []stageowner.Member
	for _, p := range c.opts.Node.Status().Membership.GetPeers() {
		if p.GetLearner() {
			continue
		}
		m := stageowner.Member{Address: p.GetAddress(), Leads: p.GetAddress() == c.opts.Address, Silence: silences[p.GetVm()]}
		if since, ok := w.since[m.Address]; !ok || m.Silence >= stageowner.LostAfter {
			w.since[m.Address] = now
		} else {
			m.Steady = now.Sub(since)
		}
		out = append(out, m)
	}
	return out
}

// stageServices returns the services that run stages, sorted.
func stageServices(set *catalog.Set) []string {
	if set == nil {
		return nil
	}
	var out []string
	for name, s := range set.Services {
		if s.Batch != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// changeOwner proposes one change of an owner and logs the result.
func (c *Control) changeOwner(ctx context.Context, ch stageowner.Change) {
	cmd := &daisyhatchv1.StageOwnerCommand{
		Service: ch.Service, Address: ch.Address, BaseTerm: ch.BaseTerm, Orderly: ch.Orderly,
	}
	r, err := c.proposeUnchecked(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_StageOwner{StageOwner: cmd}})
	c.opts.Log.Info("owner of stage calls changed", "service", ch.Service, "owner", ch.Address, "term", ch.BaseTerm+1,
		"orderly", ch.Orderly, "accepted", r.GetStageOwner().GetAccepted(), "error", errorText(err))
}

// ReleaseStageOwnership gives up ownership of the services whose stage calls this VM makes, before it stops. It completes the
// jobs that it already has.
func (c *Control) ReleaseStageOwnership(ctx context.Context) {
	view, _ := c.opts.Machine.View()
	for _, o := range view.StageOwners {
		if o.Address == c.opts.Address {
			c.changeOwner(ctx, stageowner.Change{Service: o.Service, BaseTerm: o.Term, Orderly: true})
		}
	}
}

// owns reports whether this VM may accept a job of a service from a caller that takes it for the owner under a term,
// and returns the owner known here. A caller's higher term is trusted: the group agreed on a change that this VM has
// not applied yet.
func (c *Control) owns(service string, term uint64) (stageowner.Owner, bool) {
	o, _ := c.opts.State.StageOwner(service)
	if term > o.Term {
		return o, true
	}
	return o, o.Address == c.opts.Address
}

// MayFormCalls reports whether this VM may make stage calls now: the leader confirmed its state within
// stageowner.LostAfter, so no other VM owns the same services yet. It must be checked right before a call, since the
// process may have been paused.
func (c *Control) MayFormCalls() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) < stageowner.LostAfter
}
