package fleet

import (
	"context"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// ownerWatch is what a leader keeps to plan the owners of stage calls. Only assignOwners uses it.
type ownerWatch struct {
	// since is from when each member has been heard without a gap.
	since map[string]time.Time
	// changedAt is when the leader last changed an owner, or began to lead.
	changedAt time.Time
}

// assignOwners changes the owners of stage calls if this VM leads.
func (c *Control) assignOwners(ctx context.Context) {
	silences, err := c.opts.Node.Silences(ctx)
	if err != nil {
		c.owners = ownerWatch{}
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

// ownerMembers returns the voters with what the leader knows of them.
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

func (c *Control) changeOwner(ctx context.Context, ch stageowner.Change) {
	cmd := &daisyhatchv1.StageOwnerCommand{
		Service: ch.Service, Address: ch.Address, BaseTerm: ch.BaseTerm, Orderly: ch.Orderly,
	}
	r, err := c.proposeAnyway(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_StageOwner{StageOwner: cmd}})
	c.opts.Log.Info("owner of stage calls changed", "service", ch.Service, "owner", ch.Address, "term", ch.BaseTerm+1,
		"orderly", ch.Orderly, "accepted", r.GetStageOwner().GetAccepted(), "error", errorText(err))
}

// ReleaseStages gives the services back whose calls this VM forms, before it stops. It goes on with the jobs that it has.
func (c *Control) ReleaseStages(ctx context.Context) {
	view, _ := c.opts.Machine.View()
	for _, o := range view.StageOwners {
		if o.Address == c.opts.Address {
			c.changeOwner(ctx, stageowner.Change{Service: o.Service, BaseTerm: o.Term, Orderly: true})
		}
	}
}

// owns reports whether this VM may take a job of a service from a caller that takes it for the owner under a term. A
// caller may know of a change that this VM has not applied yet; what it knows was agreed on.
func (c *Control) owns(service string, term uint64) (stageowner.Owner, bool) {
	o, _ := c.opts.State.StageOwner(service)
	if term > o.Term {
		return o, true
	}
	return o, o.Address == c.opts.Address
}

// MayFormCalls reports whether this VM may make stage calls now: the leader confirmed it a moment ago, so that no other
// VM owns the same services yet. It must be asked right before a call, since the process may have been paused.
func (c *Control) MayFormCalls() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed.IsZero() && now.Sub(c.confirmed) < stageowner.LostAfter
}
