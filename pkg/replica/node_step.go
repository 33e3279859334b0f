package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// answerHold is how long a call waits for the messages that come of it, so that they travel in its answer. It
// covers an ordinary sync; on a slow disk they follow in a call of their own.
const answerHold = 25 * time.Millisecond

// stepCall is a batch of messages on its way into the loop.
type stepCall struct {
	from     string
	messages []*daisyhatchv1.ConsensusMessage
	// answer takes the messages for the caller; nil for messages that came as an answer themselves.
	answer *stepAnswer
}

// stepAnswer collects the messages that go back in a call's answer.
type stepAnswer struct {
	ready chan struct{}

	mu       sync.Mutex
	closed   bool
	messages []*daisyhatchv1.ConsensusMessage
}

// add puts m into the answer; false when the answer has left already.
func (a *stepAnswer) add(m *daisyhatchv1.ConsensusMessage) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.messages = append(a.messages, m)
	return true
}

// take closes the answer and returns what it holds.
func (a *stepAnswer) take() []*daisyhatchv1.ConsensusMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.messages
}

// putIntoAnswer lets m travel in the answer of a call that its receiver made; false when there is none.
func (n *Node) putIntoAnswer(m *daisyhatchv1.ConsensusMessage) bool {
	if m.GetSnapshot() != nil {
		return false
	}
	for _, c := range n.callers {
		if c.from == m.GetTo() {
			return c.answer.add(m)
		}
	}
	return false
}

// answerCallers lets the answers of the calls taken in leave.
func (n *Node) answerCallers() {
	for _, c := range n.callers {
		close(c.answer.ready)
	}
	clear(n.callers)
	n.callers = n.callers[:0]
}

// takeAnswer hands the messages of a call's answer to the loop.
func (n *Node) takeAnswer(msgs []*daisyhatchv1.ConsensusMessage) {
	if len(msgs) == 0 {
		return
	}
	select {
	case n.inbox <- &stepCall{messages: msgs}:
	default:
	}
}

// Step takes messages in; they are dropped when the loop lags.
func (s *service) Step(
	ctx context.Context, req *connect.Request[daisyhatchv1.StepRequest],
) (*connect.Response[daisyhatchv1.StepResponse], error) {
	msgs := req.Msg.GetMessages()
	res := &daisyhatchv1.StepResponse{}
	if len(msgs) == 0 {
		return connect.NewResponse(res), nil
	}
	for _, m := range msgs {
		if m.GetSnapshot() != nil && !wal.Verify(m.GetSnapshot(), m.GetSnapshotData()) {
			return nil, connect.NewError(connect.CodeDataLoss, errors.New("snapshot fails its checksum"))
		}
	}
	c := &stepCall{from: msgs[0].GetFrom(), messages: msgs, answer: &stepAnswer{ready: make(chan struct{})}}
	s.node.net.heardFrom(c.from, req.Msg.GetFromAddress())
	select {
	case s.node.inbox <- c:
	default:
		return connect.NewResponse(res), nil
	}
	hold := time.NewTimer(answerHold)
	defer hold.Stop()
	select {
	case <-c.answer.ready:
	case <-hold.C:
	case <-ctx.Done():
	case <-s.node.done:
	}
	res.Messages = c.answer.take()
	return connect.NewResponse(res), nil
}
