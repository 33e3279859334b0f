package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/ledger"
)

// claimWait is how long a claim that another holder has is waited for before its caller is told to ask again.
const claimWait = time.Second

// Claim implements EntryService. While another holder has the claim, it waits for the end a while.
func (s *Server) Claim(
	ctx context.Context, req *connect.Request[daisyhatchv1.ClaimRequest],
) (*connect.Response[daisyhatchv1.ClaimResponse], error) {
	c := req.Msg.GetClaim()
	if c == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: no claim"))
	}
	wait, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	for {
		r, err := s.batch.do(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Claim{Claim: c}})
		if err != nil {
			return nil, err
		}
		pending := r.GetClaim().GetState() == daisyhatchv1.ClaimState_CLAIM_STATE_PENDING
		if !pending || !s.awaitEnd(wait, ledger.Key{Organisation: c.GetOrganisation(), Key: c.GetKey()}) {
			return connect.NewResponse(&daisyhatchv1.ClaimResponse{Result: r.GetClaim()}), nil
		}
	}
}

// awaitEnd returns true once a claim is no longer pending in this VM's state, and false when ctx ends first. The state
// is only a hint to ask through the log again.
func (s *Server) awaitEnd(ctx context.Context, k ledger.Key) bool {
	for {
		r, ended := s.o.Machine.Claim(k)
		if r.GetState() != daisyhatchv1.ClaimState_CLAIM_STATE_PENDING {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-ended:
		}
	}
}

// Complete implements EntryService.
func (s *Server) Complete(
	ctx context.Context, req *connect.Request[daisyhatchv1.CompleteRequest],
) (*connect.Response[daisyhatchv1.CompleteResponse], error) {
	c := req.Msg.GetComplete()
	if c == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: no completion"))
	}
	r, err := s.batch.do(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Complete{Complete: c}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&daisyhatchv1.CompleteResponse{Result: r.GetComplete()}), nil
}

// ReportCrash implements EntryService.
func (s *Server) ReportCrash(
	ctx context.Context, req *connect.Request[daisyhatchv1.ReportCrashRequest],
) (*connect.Response[daisyhatchv1.ReportCrashResponse], error) {
	c := req.Msg.GetCrash()
	if c == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("control: no crash"))
	}
	r, err := s.batch.do(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Crash{Crash: c}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&daisyhatchv1.ReportCrashResponse{Result: r.GetCrash()}), nil
}
