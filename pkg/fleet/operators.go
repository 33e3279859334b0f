package fleet

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
)

// operators serves the operators' calls that VMs of a fleet know.
type operators struct {
	daisyhatchv1connect.UnimplementedOperatorServiceHandler
	control *Control
}

// OperatorsHandler returns the path and handler of the operators' calls that VMs of a fleet know.
func (c *Control) OperatorsHandler() (string, http.Handler) {
	return daisyhatchv1connect.NewOperatorServiceHandler(&operators{control: c})
}

// StartRollout implements OperatorService.
func (o *operators) StartRollout(
	ctx context.Context, req *connect.Request[daisyhatchv1.StartRolloutRequest],
) (*connect.Response[daisyhatchv1.StartRolloutResponse], error) {
	r := req.Msg.GetRollout()
	// Durations out of range don't fit into a time.Duration.
	if err := rollout.CheckStart(r); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	err := o.control.StartRollout(ctx, r.GetService(), r.GetVersion(), time.Duration(r.GetDurationMs())*time.Millisecond)
	if err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&daisyhatchv1.StartRolloutResponse{}), nil
}

// ListRollouts implements OperatorService.
func (o *operators) ListRollouts(
	ctx context.Context, _ *connect.Request[daisyhatchv1.ListRolloutsRequest],
) (*connect.Response[daisyhatchv1.ListRolloutsResponse], error) {
	list, err := o.control.Rollouts(ctx)
	if err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&daisyhatchv1.ListRolloutsResponse{Rollouts: list}), nil
}

// operatorError gives an error of this package the code that tells the client whether another VM would answer the same.
func operatorError(err error) error {
	switch {
	case errors.Is(err, ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, ErrUnknown):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, ErrConflict):
		return connect.NewError(connect.CodeAlreadyExists, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
