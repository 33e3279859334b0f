// Package bodylimit bounds the memory of answers that a VM keeps while it reads them and while their callers take them. Where the VM's
// memory is known, answers draw on one budget with what callers send; elsewhere any number of small ones is kept, and of large ones
// only some at the same time. Other answers are read on once those are done. Whoever sends to this VM waits as well then, so that no
// sound answer is cut.
package bodylimit

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/daisyhatch/daisyhatch/pkg/intake"
)

var (
	// ErrTooLarge means that an answer is longer than its limit.
	ErrTooLarge = errors.New("bodylimit: the answer is too large")
	// ErrNoRoom means that too much of other answers was kept until the context ended.
	ErrNoRoom = errors.New("bodylimit: too many large answers at the same time")
)

const (
	// SmallBytes is the size up to which an answer is kept in any case where the VM's memory isn't known.
	SmallBytes = intake.SmallAnswer
	// FreeBytes is the size up to which an answer needs no memory of the budget: as much as the buffer of its connection.
	FreeBytes = 4 << 10
)

// Limiter bounds the answers that are kept. It is safe for concurrent use.
type Limiter struct {
	slots  chan struct{}
	budget *intake.Budget
}

// New returns a Limiter whose answers draw on a budget; if that is nil, a number of large answers is kept.
func New(large int, b *intake.Budget) *Limiter {
	return &Limiter{slots: make(chan struct{}, large), budget: b}
}

// Room is the permission to keep one answer. Its zero value permits none. It isn't safe for concurrent use.
type Room struct {
	held    int64
	limiter *Limiter
	account *intake.Account
}

// Take waits until n bytes more of an answer may be kept. It returns ErrNoRoom, joined with the error of ctx, if ctx ends before.
func (l *Limiter) Take(ctx context.Context, r *Room, n int64) error {
	r.held += n
	switch {
	case l.budget == nil:
		return l.takeSlot(ctx, r)
	case r.held <= FreeBytes:
		return nil
	case r.account == nil:
		r.account, n = l.budget.OpenAnswer(), r.held
	}
	if err := r.account.Take(ctx, n); err != nil {
		return fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	return nil
}

func (l *Limiter) takeSlot(ctx context.Context, r *Room) error {
	if r.held <= SmallBytes || r.limiter != nil {
		return nil
	}
	select {
	case l.slots <- struct{}{}:
		r.limiter = l
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoRoom, context.Cause(ctx))
	}
}

// Release returns the permission once the answer isn't kept any more. It may be called more than once.
func (r *Room) Release() {
	if r.limiter != nil {
		<-r.limiter.slots
	}
	r.account.Close()
	*r = Room{}
}

// ReadAll reads an answer of at most limit bytes to its end; length is its announced length, or -1. The answer to a HEAD request
// announces one and has no body. The caller releases the room. Errors: ErrTooLarge, ErrNoRoom, those of src.
func (l *Limiter) ReadAll(ctx context.Context, src io.Reader, length, limit int64, room *Room) ([]byte, error) {
	var body []byte
	size := int64(-1)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > limit {
				return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
			}
			next := min(nextSize(size, length), limit)
			if err := l.Take(ctx, room, next-max(size, 0)); err != nil {
				return nil, err
			}
			// One byte more finds the end.
			size, body = next, append(make([]byte, 0, next+1), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && int64(len(body)) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize returns the size for which memory is taken next, after size; -1 is before the first.
func nextSize(size, length int64) int64 {
	switch {
	case size < 0 && length >= 0:
		return min(FreeBytes, length)
	case length > size && size >= FreeBytes:
		return length
	}
	return max(FreeBytes, 2*size)
}
