package fleet

import (
	"context"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// StageRunner runs stage calls for other VMs.
type StageRunner interface {
	// Run runs the stage calls of a request and returns their results. Before that it calls inputsRead at most once,
	// when the inputs are no longer needed.
	Run(ctx context.Context, r *daisyhatchv1.StageRunRequest, inputsRead func()) (*daisyhatchv1.StageRunResponse, error)
	// Free releases the results held under handles.
	Free(handles []string)
}

// StageRun implements FleetService.
func (c *Control) StageRun(
	ctx context.Context, req *connect.Request[daisyhatchv1.StageRunRequest],
	stream *connect.ServerStream[daisyhatchv1.StageRunResponse],
) error {
	if o, ok := c.owns(req.Msg.GetService(), req.Msg.GetOwnerTerm()); !ok {
		return stream.Send(&daisyhatchv1.StageRunResponse{Owner: o.ToWire()})
	}
	type outcome struct {
		res *daisyhatchv1.StageRunResponse
		err error
	}
	inputsRead, done := make(chan struct{}), make(chan outcome, 1)
	go func() {
		res, err := c.stages.Run(ctx, req.Msg, func() { close(inputsRead) })
		done <- outcome{res, err}
	}()
	for {
		select {
		case <-inputsRead:
			inputsRead = nil
			if err := stream.Send(&daisyhatchv1.StageRunResponse{InputsRead: true}); err != nil {
				return err
			}
		case e := <-done:
			if e.err != nil {
				return connect.NewError(connect.CodeUnavailable, e.err)
			}
			return stream.Send(e.res)
		}
	}
}

// StageFree implements FleetService.
func (c *Control) StageFree(
	_ context.Context, req *connect.Request[daisyhatchv1.StageFreeRequest],
) (*connect.Response[daisyhatchv1.StageFreeResponse], error) {
	c.stages.Free(req.Msg.GetHandles())
	return connect.NewResponse(&daisyhatchv1.StageFreeResponse{}), nil
}
