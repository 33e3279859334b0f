package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
)

// Limits of group commit.
const (
	// maxBatch is the count of commands in one log entry.
	maxBatch = 256
	// batchTimeout is how long one log entry is waited for.
	batchTimeout = 5 * time.Second
	// maxInFlight is the count of log entries under way at once.
	maxInFlight = 4
)

// batcher puts commands that come in while log entries are under way together into the next one.
type batcher struct {
	propose func(context.Context, *daisyhatchv1.Command) (*daisyhatchv1.Result, error)

	mu       sync.Mutex
	waiting  []*pendingCommand
	inFlight int
}

type pendingCommand struct {
	command *daisyhatchv1.Command
	done    chan struct{}
	result  *daisyhatchv1.Result
	err     error
}

func newBatcher(propose func(context.Context, *daisyhatchv1.Command) (*daisyhatchv1.Result, error)) *batcher {
	return &batcher{propose: propose}
}

// do puts one command through the log and returns its result. A command whose ctx ends may still be applied.
func (b *batcher) do(ctx context.Context, c *daisyhatchv1.Command) (*daisyhatchv1.Result, error) {
	p := &pendingCommand{command: c, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, p)
	b.startLocked()
	b.mu.Unlock()
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		if b.withdraw(p) {
			return nil, outcomeError(connect.CodeDeadlineExceeded, OutcomeNotTaken, ctx.Err())
		}
		return nil, logError(ctx.Err())
	}
}

// withdraw takes back a command that is in no log entry yet.
func (b *batcher) withdraw(p *pendingCommand) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiting, p)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(slices.Clone(b.waiting), i, i+1)
	return true
}

func (b *batcher) startLocked() {
	if b.inFlight >= maxInFlight || len(b.waiting) == 0 {
		return
	}
	n := min(len(b.waiting), maxBatch)
	batch := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.inFlight++
	go b.run(batch)
}

func (b *batcher) run(batch []*pendingCommand) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	commands := make([]*daisyhatchv1.Command, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	body := &daisyhatchv1.Command_Batch{Batch: &daisyhatchv1.BatchCommand{Commands: commands}}
	r, err := b.propose(ctx, &daisyhatchv1.Command{Body: body})
	for i, p := range batch {
		p.result, p.err = pick(r, err, i)
		close(p.done)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.startLocked()
}

// pick returns the result of command i of a batch.
func pick(r *daisyhatchv1.Result, err error, i int) (*daisyhatchv1.Result, error) {
	if err != nil {
		return nil, err
	}
	results := r.GetBatch().GetResults()
	if i >= len(results) {
		return nil, outcomeError(connect.CodeInternal, OutcomeUnknown, fmt.Errorf("%w: result missing", fsm.ErrCommand))
	}
	if e := results[i].GetError(); e != "" {
		return nil, outcomeError(connect.CodeInvalidArgument, OutcomeNotTaken, fmt.Errorf("%w: %s", fsm.ErrCommand, e))
	}
	return results[i], nil
}
