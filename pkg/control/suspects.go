package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// suspectsAge is how old the confirmation of a list of suspects may be.
	suspectsAge = 100 * time.Millisecond
	// suspectsWait is how long a list waits for its confirmation. Without one the list goes out as it is.
	suspectsWait = 150 * time.Millisecond
)

// Suspects implements EntryService.
func (s *Server) Suspects(
	ctx context.Context, req *connect.Request[daisyhatchv1.SuspectsRequest],
) (*connect.Response[daisyhatchv1.SuspectsResponse], error) {
	wait, cancel := context.WithTimeout(ctx, suspectsWait)
	defer cancel()
	r := &daisyhatchv1.SuspectsResponse{Confirmed: s.fresh.within(wait, suspectsAge)}
	view, _ := s.o.Machine.View()
	r.List = fmt.Sprintf("%x-%d", s.process, view.SuspectsNumber)
	if r.GetList() != req.Msg.GetList() {
		r.Suspects = view.Suspects
	}
	if !r.GetConfirmed() {
		s.describeQuiet(r)
	}
	return connect.NewResponse(r), nil
}

// describeQuiet tells what an asker needs to find out whether anything can have been committed lately.
func (s *Server) describeQuiet(r *daisyhatchv1.SuspectsResponse) {
	status := s.o.Log.Status()
	r.QuietMs = uint32(status.Quiet.Milliseconds())
	r.Voter = !status.Learner
	for _, p := range status.Membership.GetPeers() {
		if !p.GetLearner() {
			r.Voters++
		}
	}
}
