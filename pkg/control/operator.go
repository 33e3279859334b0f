package control

import (
	"context"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

type operatorKey struct{}

// Operator is who makes a call.
type Operator struct {
	Name string
	Role config.OperatorRole
}

// ErrRole means that the operator's role doesn't allow the call.
var ErrRole = errors.New("control: operator's role does not allow this")

// WithOperator returns a context that carries the authenticated operator.
func WithOperator(ctx context.Context, name string, role config.OperatorRole) context.Context {
	return context.WithValue(ctx, operatorKey{}, Operator{Name: name, Role: role})
}

// OperatorFrom returns the authenticated operator of a call.
func OperatorFrom(ctx context.Context) (Operator, bool) {
	o, ok := ctx.Value(operatorKey{}).(Operator)
	return o, ok
}

// roleRank orders the roles: each may do what those below it may.
func roleRank(r config.OperatorRole) int {
	switch r {
	case config.RoleView:
		return 1
	case config.RolePublish:
		return 2
	case config.RoleAdmin:
		return 3
	default:
		return 0
	}
}

// authorise returns the operator, or an error when there is none or its role is too low.
func authorise(ctx context.Context, needed config.OperatorRole) (Operator, error) {
	o, ok := OperatorFrom(ctx)
	if !ok {
		return Operator{}, connect.NewError(connect.CodeUnauthenticated, errors.New("no operator"))
	}
	if roleRank(o.Role) < roleRank(needed) {
		err := fmt.Errorf("%w: %s has role %q, needed is %q", ErrRole, o.Name, o.Role, needed)
		return Operator{}, connect.NewError(connect.CodePermissionDenied, err)
	}
	return o, nil
}
