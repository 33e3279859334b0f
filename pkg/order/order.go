// Package order stores the operators' orders to engines: the wanted state, its fencing number, and the state that the
// servers have reported back. It does no I/O and is deterministic, so that it can run in a replicated state machine.
package order

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; the Book is unchanged.
	ErrCommand = errors.New("order: malformed command")
	// ErrReused means that the order ID was used before with different content.
	ErrReused = errors.New("order: order ID used before with different content")
	// ErrUnknown means that there is no order with this ID.
	ErrUnknown = errors.New("order: unknown order")
	// ErrFull means that MaxOrders is reached; an order has to be withdrawn first.
	ErrFull = errors.New("order: too many orders")
	// ErrSnapshot means that a snapshot is inconsistent: it has a duplicate order ID or exceeds a limit.
	ErrSnapshot = errors.New("order: bad snapshot")
)

// Limits on the size of the state.
const (
	// MaxOrders is the maximum number of active orders.
	MaxOrders = 1_024
	// MaxEnded is the maximum number of ended orders that are kept to recognise resends.
	MaxEnded = 1_024
	// MaxProgress is the maximum number of servers in one order's progress.
	MaxProgress = 4_096
	// MaxField is the maximum size of a text field in bytes.
	MaxField = 512
)

// Book holds the active orders and those that ended recently. It isn't safe for concurrent use.
type Book struct {
	orders map[string]*daisyhatchv1.Order
	// ended holds the withdrawn and replaced orders, oldest first, so that a late resend doesn't activate one again.
	ended []*daisyhatchv1.Order
}

// New returns an empty Book.
func New() *Book {
	return &Book{orders: make(map[string]*daisyhatchv1.Order)}
}

// Submit records or withdraws an order. The log index of the command becomes the fencing number of a new order, or the
// end index of a withdrawn one. A new order ends the older one with the same server, pool and kind. A resend of a known
// order returns its current state and doesn't activate one that has ended. Errors: ErrCommand, ErrReused, ErrUnknown,
// ErrFull.
func (b *Book) Submit(c *daisyhatchv1.OrderCommand, index uint64, nowMs int64) (*daisyhatchv1.Order, error) {
	if err := validate(c); err != nil {
		return nil, err
	}
	old := b.find(c.GetOrderId())
	switch {
	case c.GetWithdraw() && old == nil:
		return nil, fmt.Errorf("%w: %s", ErrUnknown, c.GetOrderId())
	case c.GetWithdraw():
		b.end(old, index)
		return proto.CloneOf(old), nil
	case old != nil && !sameContent(old, c):
		return nil, fmt.Errorf("%w: %s", ErrReused, c.GetOrderId())
	case old != nil:
		return proto.CloneOf(old), nil
	}
	return b.record(c, index, nowMs)
}

// find returns the active or ended order with this ID, or nil.
func (b *Book) find(id string) *daisyhatchv1.Order {
	if o, ok := b.orders[id]; ok {
		return o
	}
	for _, o := range b.ended {
		if o.GetOrderId() == id {
			return o
		}
	}
	return nil
}

// end moves an order to the ended ones, of which the oldest is dropped beyond MaxEnded.
func (b *Book) end(o *daisyhatchv1.Order, index uint64) {
	if o.GetEndedIndex() != 0 {
		return
	}
	o.EndedIndex = index
	o.Progress = nil
	delete(b.orders, o.GetOrderId())
	b.ended = append(b.ended, o)
	if len(b.ended) > MaxEnded {
		b.ended = b.ended[1:]
	}
}

// record adds a new order and ends the one that it replaces.
func (b *Book) record(c *daisyhatchv1.OrderCommand, index uint64, nowMs int64) (*daisyhatchv1.Order, error) {
	for _, o := range b.All() {
		if o.GetServer() == c.GetServer() && o.GetPool() == c.GetPool() && o.GetKind() == c.GetKind() {
			b.end(o, index)
		}
	}
	if len(b.orders) >= MaxOrders {
		return nil, fmt.Errorf("%w: %d are active", ErrFull, MaxOrders)
	}
	o := &daisyhatchv1.Order{
		OrderId:        c.GetOrderId(),
		Operator:       c.GetOperator(),
		Server:         c.GetServer(),
		Pool:           c.GetPool(),
		Kind:           c.GetKind(),
		Value:          c.GetValue(),
		Fence:          index,
		AcceptedUnixMs: nowMs,
	}
	b.orders[o.GetOrderId()] = o
	return proto.CloneOf(o), nil
}

// Result records the state that was read back from one server for an order. A result with a different fencing number is
// ignored. Errors: ErrCommand, ErrUnknown.
func (b *Book) Result(c *daisyhatchv1.OrderResultCommand, nowMs int64) (*daisyhatchv1.Order, error) {
	if c.GetServer() == "" || len(c.GetServer()) > MaxField || len(c.GetDetail()) > MaxField {
		return nil, fmt.Errorf("%w: server must have 1 to %d bytes, and detail no more", ErrCommand, MaxField)
	}
	o, ok := b.orders[c.GetOrderId()]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, c.GetOrderId())
	}
	if o.GetFence() != c.GetFence() {
		return proto.CloneOf(o), nil
	}
	i := slices.IndexFunc(o.GetProgress(), func(p *daisyhatchv1.OrderProgress) bool { return p.GetServer() == c.GetServer() })
	if i < 0 {
		if len(o.GetProgress()) >= MaxProgress {
			return nil, fmt.Errorf("%w: progress of more than %d servers", ErrCommand, MaxProgress)
		}
		o.Progress = append(o.Progress, &daisyhatchv1.OrderProgress{Server: c.GetServer()})
		i = len(o.GetProgress()) - 1
	}
	p := o.GetProgress()[i]
	p.InForce = c.GetInForce()
	p.Detail = c.GetDetail()
	p.AtUnixMs = nowMs
	return proto.CloneOf(o), nil
}

// All returns the active orders, sorted by ID. The caller must not modify them.
func (b *Book) All() []*daisyhatchv1.Order {
	out := make([]*daisyhatchv1.Order, 0, len(b.orders))
	for _, o := range b.orders {
		out = append(out, o)
	}
	slices.SortFunc(out, func(x, y *daisyhatchv1.Order) int { return strings.Compare(x.GetOrderId(), y.GetOrderId()) })
	return out
}

// Snapshot returns the active orders, sorted by ID, followed by the ended ones, oldest first. The caller must encode them
// before the next command, which may modify them.
func (b *Book) Snapshot() []*daisyhatchv1.Order {
	return append(b.All(), b.ended...)
}

// Restore returns a Book with the orders of a snapshot. It returns ErrSnapshot when the snapshot is inconsistent.
func Restore(orders []*daisyhatchv1.Order) (*Book, error) {
	b := New()
	for _, o := range orders {
		if b.find(o.GetOrderId()) != nil {
			return nil, fmt.Errorf("%w: duplicate order %q", ErrSnapshot, o.GetOrderId())
		}
		if o.GetEndedIndex() != 0 {
			b.ended = append(b.ended, o)
		} else {
			b.orders[o.GetOrderId()] = o
		}
	}
	if len(b.orders) > MaxOrders || len(b.ended) > MaxEnded {
		return nil, fmt.Errorf("%w: %d orders, %d ended", ErrSnapshot, len(b.orders), len(b.ended))
	}
	return b, nil
}

// sameContent reports whether a command has the content of an order.
func sameContent(o *daisyhatchv1.Order, c *daisyhatchv1.OrderCommand) bool {
	return o.GetServer() == c.GetServer() && o.GetPool() == c.GetPool() && o.GetKind() == c.GetKind() &&
		o.GetValue() == c.GetValue() && o.GetOperator() == c.GetOperator()
}

func validate(c *daisyhatchv1.OrderCommand) error {
	if c.GetOrderId() == "" {
		return fmt.Errorf("%w: no order ID", ErrCommand)
	}
	for _, s := range []string{c.GetOrderId(), c.GetOperator(), c.GetServer(), c.GetPool(), c.GetValue()} {
		if len(s) > MaxField {
			return fmt.Errorf("%w: a field is longer than %d bytes", ErrCommand, MaxField)
		}
	}
	if !c.GetWithdraw() && (c.GetPool() == "" || c.GetKind() == daisyhatchv1.OrderKind_ORDER_KIND_UNSPECIFIED) {
		return fmt.Errorf("%w: no pool or kind", ErrCommand)
	}
	return nil
}
