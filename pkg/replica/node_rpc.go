package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/raft"
)

const (
	// leaderWait is how long a proposal, a read barrier or a membership change waits for a leader, unless its
	// context ends first.
	leaderWait = 5 * time.Second
	// answerWait is how long a command that was handed over may take until its outcome is given as unknown.
	answerWait = 5 * time.Second
)

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, command []byte) (Applied, error) {
	var a Applied
	if len(command) > MaxCommandBytes {
		return a, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(command))
	}
	err := n.retry(ctx, func() error {
		var err error
		a, err = n.proposeOnce(ctx, command)
		return err
	})
	return a, err
}

// ReadBarrier implements Log.
func (n *Node) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	return n.retry(ctx, func() error {
		index, err := n.readIndexOnce(ctx)
		if err != nil {
			return err
		}
		return n.waitApplied(ctx, index)
	})
}

// ChangeMembership implements Log. An added member is asked for its identity first, so its daemon must run.
func (n *Node) ChangeMembership(ctx context.Context, add *daisyhatchv1.ConsensusPeer, remove string) error {
	if (add == nil) == (remove == "") {
		return fmt.Errorf("%w: name one member to add or one to remove", ErrMembership)
	}
	return n.retry(ctx, func() error {
		l, ok := n.leader()
		if !ok {
			return ErrNoLeader
		}
		if l.Vm == n.opts.VM {
			_, err := n.changeHere(ctx, add, remove)
			return err
		}
		req := &daisyhatchv1.ChangeMembershipRequest{Add: add, Remove: remove}
		_, err := n.net.rpc(l.Address).ChangeMembership(ctx, connect.NewRequest(req))
		return fromWire(err)
	})
}

// retry repeats f while no leader takes the work.
func (n *Node) retry(ctx context.Context, f func() error) error {
	wait, cancel := context.WithTimeout(ctx, leaderWait)
	defer cancel()
	for {
		err := f()
		if !errors.Is(err, ErrNoLeader) || errors.Is(err, ErrUnknownOutcome) {
			return err
		}
		pause := time.NewTimer(n.opts.HeartbeatInterval/4 + rand.N(n.opts.HeartbeatInterval/2))
		select {
		case <-pause.C:
		case <-n.stop:
			pause.Stop()
			return ErrStopped
		case <-wait.Done():
			pause.Stop()
			return err
		}
	}
}

// leader returns the member that leads as far as this node knows.
func (n *Node) leader() (*daisyhatchv1.ConsensusPeer, bool) {
	s := n.Status()
	for _, p := range s.Membership.GetPeers() {
		if s.Leader != "" && p.GetVm() == s.Leader {
			return p, true
		}
	}
	return nil, false
}

func (n *Node) proposeOnce(ctx context.Context, command []byte) (Applied, error) {
	l, ok := n.leader()
	if !ok {
		return Applied{}, ErrNoLeader
	}
	if l.GetVm() == n.opts.VM {
		return n.proposeHere(ctx, command)
	}
	return n.proposeThrough(ctx, command)
}

// proposeHere appends a command if this node leads.
func (n *Node) proposeHere(ctx context.Context, command []byte) (Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	result := make(chan outcome, 1)
	err := n.enqueue(ctx, func() {
		if n.storeErr != nil {
			result <- outcome{err: n.storeErr}
			return
		}
		n.proposals = append(n.proposals, proposal{command: command, result: result})
	})
	if errors.Is(err, ErrStopped) {
		return Applied{}, err
	}
	if err != nil {
		return Applied{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	select {
	case o := <-result:
		return o.applied, o.err
	case <-ctx.Done():
		return Applied{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	case <-n.done:
	}
	select {
	case o := <-result:
		return o.applied, o.err
	default:
		return Applied{}, ErrStopped
	}
}

func (n *Node) readIndexOnce(ctx context.Context) (uint64, error) {
	l, ok := n.leader()
	if !ok {
		return 0, ErrNoLeader
	}
	if l.GetVm() == n.opts.VM {
		return n.readIndexHere(ctx)
	}
	// An answer that doesn't come within the election timeout means that the leader is gone or cut off.
	ctx, cancel := context.WithTimeout(ctx, n.opts.ElectionTimeout)
	defer cancel()
	res, err := n.net.rpc(l.GetAddress()).ReadIndex(ctx, connect.NewRequest(&daisyhatchv1.ReadIndexRequest{}))
	if err != nil {
		return 0, fmt.Errorf("%w: read index: %w", ErrNoLeader, err)
	}
	return res.Msg.GetIndex(), nil
}

func (n *Node) readIndexHere(ctx context.Context) (uint64, error) {
	result := make(chan readResult, 1)
	err := n.call(ctx, func() error {
		if n.storeErr != nil {
			return n.storeErr
		}
		n.nextRead++
		if err := n.core.ReadIndex(n.nextRead); err != nil {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
		n.reads[n.nextRead] = result
		return nil
	})
	if err != nil {
		return 0, err
	}
	select {
	case r := <-result:
		return r.index, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("replica: read index: %w", ctx.Err())
	case <-n.done:
		return 0, ErrStopped
	}
}

// waitApplied returns once the state machine has applied index.
func (n *Node) waitApplied(ctx context.Context, index uint64) error {
	done := make(chan error, 1)
	err := n.enqueue(ctx, func() {
		switch {
		case n.storeErr != nil:
			done <- n.storeErr
		case n.core.Status().Applied >= index:
			done <- nil
		default:
			n.barriers = append(n.barriers, barrier{index: index, done: done})
		}
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("replica: wait for entry %d: %w", index, ctx.Err())
	case <-n.done:
		return ErrStopped
	}
}

// changeHere changes the membership if this node leads, and waits until the change is applied.
func (n *Node) changeHere(ctx context.Context, add *daisyhatchv1.ConsensusPeer, remove string) (uint64, error) {
	if add != nil {
		identified, err := n.identify(ctx, add)
		if err != nil {
			return 0, err
		}
		add = identified
	}
	var index uint64
	err := n.call(ctx, func() error {
		var err error
		if add != nil {
			index, err = n.core.AddPeer(add)
		} else {
			index, err = n.core.RemovePeer(remove)
		}
		if errors.Is(err, raft.ErrIsLeader) {
			return errors.Join(raft.ErrTransferring, n.core.TransferLeadership(""))
		}
		return err
	})
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring), errors.Is(err, raft.ErrNotReady):
		return 0, fmt.Errorf("%w: %w", ErrNoLeader, err)
	case errors.Is(err, ErrStopped):
		return 0, err
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrMembership, err)
	}
	n.log.Info("membership change", "add", add.GetVm(), "remove", remove, "index", index)
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	if err := n.waitApplied(ctx, index); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return index, nil
}

// identify asks the daemon at a new member's address who it is.
func (n *Node) identify(ctx context.Context, p *daisyhatchv1.ConsensusPeer) (*daisyhatchv1.ConsensusPeer, error) {
	res, err := n.net.rpc(p.GetAddress()).Identify(ctx, connect.NewRequest(&daisyhatchv1.IdentifyRequest{}))
	if err != nil {
		return nil, fmt.Errorf("%w: %s at %s: %w", ErrMembership, p.GetVm(), p.GetAddress(), err)
	}
	if res.Msg.GetVm() != p.GetVm() {
		return nil, fmt.Errorf("%w: %s is %s, not %s", ErrMembership, p.GetAddress(), res.Msg.GetVm(), p.GetVm())
	}
	return &daisyhatchv1.ConsensusPeer{
		Vm:       p.GetVm(),
		Address:  p.GetAddress(),
		Learner:  p.GetLearner(),
		Instance: res.Msg.GetInstance(),
	}, nil
}

// toWire says whether the work was certainly not taken.
func toWire(err error) error {
	code := connect.CodeUnknown
	switch {
	case certainlyNotTaken(err):
		code = connect.CodeFailedPrecondition
	case errors.Is(err, ErrMembership):
		code = connect.CodeInvalidArgument
	}
	return connect.NewError(code, err)
}

// fromWire turns a peer's answer back. Only a refusal by the peer, or a connection that was never made, says
// that the work was not taken.
func fromWire(err error) error {
	var op *net.OpError
	switch {
	case err == nil:
		return nil
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	case connect.CodeOf(err) == connect.CodeInvalidArgument:
		return fmt.Errorf("%w: %w", ErrMembership, err)
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// service is the node's ConsensusService.
type service struct {
	daisyhatchv1connect.UnimplementedConsensusServiceHandler
	node *Node
}

// Propose takes one command.
func (s *service) Propose(
	ctx context.Context, req *connect.Request[daisyhatchv1.ProposeRequest],
) (*connect.Response[daisyhatchv1.ProposeResponse], error) {
	a, err := s.node.proposeHere(ctx, req.Msg.GetCommand())
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&daisyhatchv1.ProposeResponse{Index: a.Index, Result: a.Result}), nil
}

// ReadIndex confirms a read index for a follower.
func (s *service) ReadIndex(
	ctx context.Context, _ *connect.Request[daisyhatchv1.ReadIndexRequest],
) (*connect.Response[daisyhatchv1.ReadIndexResponse], error) {
	index, err := s.node.readIndexHere(ctx)
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&daisyhatchv1.ReadIndexResponse{Index: index}), nil
}

// Identify tells who serves this address.
func (s *service) Identify(
	context.Context, *connect.Request[daisyhatchv1.IdentifyRequest],
) (*connect.Response[daisyhatchv1.IdentifyResponse], error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return connect.NewResponse(&daisyhatchv1.IdentifyResponse{
		Vm:       n.opts.VM,
		Instance: n.instance,
		Founding: n.founding,
		HasState: n.hasState,
	}), nil
}

// ChangeMembership takes a membership change that a follower forwards.
func (s *service) ChangeMembership(
	ctx context.Context, req *connect.Request[daisyhatchv1.ChangeMembershipRequest],
) (*connect.Response[daisyhatchv1.ChangeMembershipResponse], error) {
	index, err := s.node.changeHere(ctx, req.Msg.GetAdd(), req.Msg.GetRemove())
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&daisyhatchv1.ChangeMembershipResponse{Index: index}), nil
}
