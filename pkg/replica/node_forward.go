package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// forwardersPerNode is how many batches of commands may be on their way to the leader at once.
	forwardersPerNode = 4
	// forwardedCommands and forwardedBytes bound one batch, beyond its first command.
	forwardedCommands = 256
	forwardedBytes    = 1 << 20
)

// forward is a command that waits to be sent to the leader.
type forward struct {
	command []byte
	result  chan<- outcome
}

// proposeThrough sends a command to the leader, together with others that wait, and returns once this node has
// applied it.
func (n *Node) proposeThrough(ctx context.Context, command []byte) (Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	result := make(chan outcome, 1)
	select {
	case n.forwards <- forward{command: command, result: result}:
	case <-n.stop:
		return Applied{}, ErrStopped
	case <-ctx.Done():
		return Applied{}, fmt.Errorf("%w: %w", ErrNoLeader, ctx.Err())
	}
	var o outcome
	select {
	case o = <-result:
	case <-ctx.Done():
		return Applied{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	}
	if o.err != nil {
		return Applied{}, o.err
	}
	if err := n.waitApplied(ctx, o.applied.Index); err != nil {
		return Applied{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return o.applied, nil
}

// runForwarder sends batches of commands to the leader until the node stops.
func (n *Node) runForwarder() {
	for {
		select {
		case <-n.stop:
			return
		case f := <-n.forwards:
			n.forwardBatch(n.collect(f))
		}
	}
}

// collect adds the commands that wait right now to f.
func (n *Node) collect(f forward) []forward {
	batch, size := []forward{f}, len(f.command)
	for len(batch) < forwardedCommands && size < forwardedBytes {
		select {
		case f = <-n.forwards:
			batch = append(batch, f)
			size += len(f.command)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) forwardBatch(batch []forward) {
	outcomes, err := n.sendBatch(batch)
	for i, f := range batch {
		switch {
		case err != nil:
			f.result <- outcome{err: err}
		case outcomes[i].GetNotTaken():
			f.result <- outcome{err: fmt.Errorf("%w: %s", ErrNoLeader, outcomes[i].GetError())}
		case outcomes[i].GetError() != "":
			f.result <- outcome{err: fmt.Errorf("%w: %s", ErrUnknownOutcome, outcomes[i].GetError())}
		default:
			f.result <- outcome{applied: Applied{Index: outcomes[i].GetIndex(), Result: outcomes[i].GetResult()}}
		}
	}
}

func (n *Node) sendBatch(batch []forward) ([]*daisyhatchv1.ProposeOutcome, error) {
	l, ok := n.leader()
	if !ok || l.GetVm() == n.opts.VM {
		return nil, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(n.net.ctx, answerWait)
	defer cancel()
	req := &daisyhatchv1.ProposeBatchRequest{}
	for _, f := range batch {
		req.Commands = append(req.Commands, f.command)
	}
	res, err := n.net.rpc(l.GetAddress()).ProposeBatch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fromWire(err)
	}
	if len(res.Msg.GetOutcomes()) != len(batch) {
		return nil, fmt.Errorf("%w: %d outcomes for %d commands", ErrUnknownOutcome, len(res.Msg.GetOutcomes()), len(batch))
	}
	return res.Msg.GetOutcomes(), nil
}

// ProposeBatch takes commands that a follower forwards.
func (s *service) ProposeBatch(
	ctx context.Context, req *connect.Request[daisyhatchv1.ProposeBatchRequest],
) (*connect.Response[daisyhatchv1.ProposeBatchResponse], error) {
	res := &daisyhatchv1.ProposeBatchResponse{Outcomes: make([]*daisyhatchv1.ProposeOutcome, len(req.Msg.GetCommands()))}
	var wg sync.WaitGroup
	for i, command := range req.Msg.GetCommands() {
		wg.Go(func() { res.Outcomes[i] = wireOutcome(s.node.proposeHere(ctx, command)) })
	}
	wg.Wait()
	return connect.NewResponse(res), nil
}

func wireOutcome(a Applied, err error) *daisyhatchv1.ProposeOutcome {
	if err == nil {
		return &daisyhatchv1.ProposeOutcome{Index: a.Index, Result: a.Result}
	}
	return &daisyhatchv1.ProposeOutcome{Error: err.Error(), NotTaken: certainlyNotTaken(err)}
}

// certainlyNotTaken reports whether a proposal that failed with err will never be applied.
func certainlyNotTaken(err error) bool {
	if errors.Is(err, ErrUnknownOutcome) {
		return false
	}
	return errors.Is(err, ErrNoLeader) || errors.Is(err, ErrStopped) || errors.Is(err, ErrStorage)
}
