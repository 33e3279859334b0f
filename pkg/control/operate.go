package control

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/arrival"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
)

// defaultHistory is the count of versions in a history without a limit of its own.
const defaultHistory = 50

// Publish implements OperatorService. The configuration is checked before it is proposed.
func (s *Server) Publish(
	ctx context.Context, req *connect.Request[daisyhatchv1.PublishRequest],
) (*connect.Response[daisyhatchv1.PublishResponse], error) {
	operator, err := authorise(ctx, config.RolePublish)
	if err != nil {
		return nil, err
	}
	if _, problems := s.o.Check(req.Msg.GetConfiguration()); len(problems) > 0 {
		return publishResponse(&daisyhatchv1.PublishResult{
			Outcome:  daisyhatchv1.PublishOutcome_PUBLISH_OUTCOME_INVALID,
			Problems: problems,
		}), nil
	}
	c := s.publishCommand(req.Msg, operator)
	r, err := s.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Publish{Publish: c}})
	if err != nil {
		return nil, err
	}
	s.o.Logr.Info("change decided", "operator", operator.Name, "changeID", c.GetChangeId(),
		"base", c.GetBaseVersion(), "outcome", r.GetPublish().GetOutcome().String(),
		"version", r.GetPublish().GetVersion(), "resent", r.GetPublish().GetResent())
	return publishResponse(r.GetPublish()), nil
}

// publishCommand carries a change as a delta of its base when this VM has that, to keep the log small.
func (s *Server) publishCommand(m *daisyhatchv1.PublishRequest, operator Operator) *daisyhatchv1.PublishCommand {
	c := &daisyhatchv1.PublishCommand{
		ChangeId:    m.GetChangeId(),
		BaseVersion: m.GetBaseVersion(),
		Operator:    operator.Name,
		Reason:      m.GetReason(),
	}
	view, _ := s.o.Machine.View()
	if m.GetBaseVersion() == 0 || view.InForce.GetVersion() != m.GetBaseVersion() {
		c.Configuration = m.GetConfiguration()
		return c
	}
	c.Delta = publication.Diff(m.GetBaseVersion(), view.InForce.GetConfiguration(), m.GetConfiguration())
	sum := sha256.Sum256(m.GetConfiguration())
	c.ConfigurationSha256 = sum[:]
	return c
}

func publishResponse(r *daisyhatchv1.PublishResult) *connect.Response[daisyhatchv1.PublishResponse] {
	return connect.NewResponse(&daisyhatchv1.PublishResponse{Result: r})
}

// GetConfiguration implements OperatorService.
func (s *Server) GetConfiguration(
	ctx context.Context, req *connect.Request[daisyhatchv1.GetConfigurationRequest],
) (*connect.Response[daisyhatchv1.GetConfigurationResponse], error) {
	if _, err := authorise(ctx, config.RoleView); err != nil {
		return nil, err
	}
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	version := req.Msg.GetVersion()
	if version == 0 {
		view, _ := s.o.Machine.View()
		return connect.NewResponse(&daisyhatchv1.GetConfigurationResponse{Configuration: view.InForce}), nil
	}
	v, err := s.o.Machine.Version(version)
	if errors.Is(err, publication.ErrNoVersion) {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&daisyhatchv1.GetConfigurationResponse{Configuration: v}), nil
}

// History implements OperatorService.
func (s *Server) History(
	ctx context.Context, req *connect.Request[daisyhatchv1.HistoryRequest],
) (*connect.Response[daisyhatchv1.HistoryResponse], error) {
	if _, err := authorise(ctx, config.RoleView); err != nil {
		return nil, err
	}
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = defaultHistory
	}
	return connect.NewResponse(&daisyhatchv1.HistoryResponse{Versions: s.o.Machine.History(limit)}), nil
}

// SubmitOrder implements OperatorService.
func (s *Server) SubmitOrder(
	ctx context.Context, req *connect.Request[daisyhatchv1.SubmitOrderRequest],
) (*connect.Response[daisyhatchv1.SubmitOrderResponse], error) {
	operator, err := authorise(ctx, config.RolePublish)
	if err != nil {
		return nil, err
	}
	if req.Msg.GetOrder() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: no order"))
	}
	if err := awaited(ctx); err != nil {
		return nil, err
	}
	o := req.Msg.GetOrder()
	o.Operator = operator.Name
	r, err := s.propose(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Order{Order: o}})
	if err != nil {
		return nil, err
	}
	s.o.Logr.Info("order recorded", "operator", operator.Name, "orderID", o.GetOrderId(), "withdraw", o.GetWithdraw())
	return connect.NewResponse(&daisyhatchv1.SubmitOrderResponse{Order: r.GetOrder().GetOrder()}), nil
}

// ListOrders implements OperatorService.
func (s *Server) ListOrders(
	ctx context.Context, _ *connect.Request[daisyhatchv1.ListOrdersRequest],
) (*connect.Response[daisyhatchv1.ListOrdersResponse], error) {
	if _, err := authorise(ctx, config.RoleView); err != nil {
		return nil, err
	}
	if err := s.barrier(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&daisyhatchv1.ListOrdersResponse{Orders: s.o.Machine.Orders()}), nil
}

// ChangeControl implements OperatorService.
func (s *Server) ChangeControl(
	ctx context.Context, req *connect.Request[daisyhatchv1.ChangeControlRequest],
) (*connect.Response[daisyhatchv1.ChangeControlResponse], error) {
	operator, err := authorise(ctx, config.RoleAdmin)
	if err != nil {
		return nil, err
	}
	add, remove := req.Msg.GetAdd(), req.Msg.GetRemove()
	if (add == nil) == (remove == "") {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: set one of add and remove"))
	}
	if err := awaited(ctx); err != nil {
		return nil, err
	}
	if err := s.o.Log.ChangeMembership(ctx, add, remove); err != nil {
		return nil, logError(err)
	}
	s.o.Logr.Info("control group changed", "operator", operator.Name, "add", add.GetVm(), "remove", remove)
	return connect.NewResponse(&daisyhatchv1.ChangeControlResponse{Membership: s.o.Log.Status().Membership}), nil
}

// awaited returns an error that says that nothing was changed if the caller of an order has left, or doesn't wait any more by the order's age and the
// time that the caller gave. Such a caller may have given another order elsewhere since.
func awaited(ctx context.Context) error {
	r := arrival.Of(ctx)
	if err := r.Evidence().Check(r.Patience(0)); err != nil {
		return outcomeError(connect.CodeUnavailable, OutcomeNotTaken, fmt.Errorf("control: nobody waits for this order any more: %w", err))
	}
	return nil
}
