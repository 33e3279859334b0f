package replica

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// A group starts once all its first voters have been reached and none holds anything. Each data folder has a
// random identity, and the founding membership names the voters by it. So a voter that lost its disk can't
// found the group a second time, nor vote in it with an empty log: its identity is not the one the others know,
// and it waits to be removed and added again as a learner.

const (
	foundingInterval = 200 * time.Millisecond
	foundingTimeout  = time.Second
	// foundingLogEvery is how many rounds lie between two log lines about a founding that waits.
	foundingLogEvery = 25
)

// foundingStep is what one round of a founding came to.
type foundingStep int

const (
	// foundingReady: the membership is known.
	foundingReady foundingStep = iota
	// foundingWait: some first voters were not reached.
	foundingWait
	// foundingRefused: the group exists and doesn't know this data folder.
	foundingRefused
)

// found repeats founding rounds until the group is founded or one received a snapshot from a leader.
func (n *Node) found() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(n.net.ctx, cancel)
	for round := 0; ; round++ {
		m, step, reason := n.foundingRound(ctx)
		if step == foundingReady {
			if err := n.call(ctx, func() error { return n.foundWith(m) }); err != nil {
				n.log.Error(err, "founding failed")
			}
			return
		}
		if round%foundingLogEvery == 0 {
			n.log.Info("the control group is not founded on this VM", "reason", reason, "refused", step == foundingRefused)
		}
		select {
		case <-n.stop:
			return
		case <-time.After(foundingInterval):
		}
		if n.Status().Membership.GetPeers() != nil {
			return
		}
	}
}

// foundingRound asks the other first voters who they are.
func (n *Node) foundingRound(ctx context.Context) (*daisyhatchv1.Membership, foundingStep, string) {
	fresh := &daisyhatchv1.Membership{}
	step, reason := foundingReady, ""
	for _, p := range n.opts.Bootstrap {
		q := &daisyhatchv1.ConsensusPeer{Vm: p.GetVm(), Address: p.GetAddress(), Instance: n.instance}
		fresh.Peers = append(fresh.Peers, q)
		if p.GetVm() == n.opts.VM {
			continue
		}
		who, err := n.askIdentity(ctx, p)
		switch {
		case err != nil:
			step, reason = max(step, foundingWait), fmt.Sprintf("%s at %s: %v", p.GetVm(), p.GetAddress(), err)
		case who.GetFounding() != nil && n.isIn(who.GetFounding()):
			return proto.CloneOf(who.GetFounding()), foundingReady, ""
		case who.GetFounding() != nil || who.GetHasState():
			step = foundingRefused
			reason = p.GetVm() + " belongs to a group that doesn't know this data folder; " +
				"remove this VM from the group and add it again"
		default:
			q.Instance = who.GetInstance()
		}
	}
	return fresh, step, reason
}

func (n *Node) askIdentity(
	ctx context.Context, p *daisyhatchv1.ConsensusPeer,
) (*daisyhatchv1.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	res, err := n.net.rpc(p.GetAddress()).Identify(ctx, connect.NewRequest(&daisyhatchv1.IdentifyRequest{}))
	if err != nil {
		return nil, fmt.Errorf("replica: identify: %w", err)
	}
	if res.Msg.GetVm() != p.GetVm() {
		return nil, fmt.Errorf("%w: the address belongs to %s", ErrMembership, res.Msg.GetVm())
	}
	return res.Msg, nil
}

// isIn reports whether m names this VM with this data folder.
func (n *Node) isIn(m *daisyhatchv1.Membership) bool {
	for _, p := range m.GetPeers() {
		if p.GetVm() == n.opts.VM && p.GetInstance() == n.instance {
			return true
		}
	}
	return false
}

// foundWith makes m the membership from which the log starts, unless a leader has sent a snapshot meanwhile.
func (n *Node) foundWith(m *daisyhatchv1.Membership) error {
	if n.snapMeta != nil {
		return nil
	}
	meta, err := n.wal.Found(m)
	if err != nil {
		n.fail(err)
		return n.storeErr
	}
	n.snapMeta = meta
	n.core.Found(meta)
	n.mu.Lock()
	n.founding = m
	n.mu.Unlock()
	n.log.Info("founded the control group", "members", len(m.GetPeers()))
	return nil
}
