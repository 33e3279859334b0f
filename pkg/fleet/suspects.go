package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// errNoCrash means that a ReportCrash request carries no crash.
var errNoCrash = errors.New("fleet: request carries no crash")

// sharedSuspects returns the suspects that all VMs must know of.
func sharedSuspects(all []*daisyhatchv1.Suspect) []*daisyhatchv1.Suspect {
	var out []*daisyhatchv1.Suspect
	for _, s := range all {
		if suspect.IsShared(s) {
			out = append(out, s)
		}
	}
	return out
}

// equalSuspect reports whether two records agree in all that other VMs need to know.
func equalSuspect(a, b *daisyhatchv1.Suspect) bool {
	if a.GetPart() && a.GetExpiresUnixMs() != b.GetExpiresUnixMs() {
		return false
	}
	return a.GetFingerprint() == b.GetFingerprint() && a.GetState() == b.GetState() && a.GetCrashes() == b.GetCrashes() &&
		suspect.IsLeased(a) == suspect.IsLeased(b)
}

// ReportCrash implements FleetService and quarantine.CrashClient.
func (c *Control) ReportCrash(
	ctx context.Context, req *connect.Request[daisyhatchv1.ReportCrashRequest],
) (*connect.Response[daisyhatchv1.ReportCrashResponse], error) {
	if req.Msg.GetCrash() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoCrash)
	}
	r, err := c.proposeUnchecked(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Crash{Crash: req.Msg.GetCrash()}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&daisyhatchv1.ReportCrashResponse{Result: r.GetCrash()}), nil
}

// ClearSuspects implements FleetService.
func (c *Control) ClearSuspects(
	ctx context.Context, req *connect.Request[daisyhatchv1.ClearSuspectsRequest],
) (*connect.Response[daisyhatchv1.ClearSuspectsResponse], error) {
	cmd := &daisyhatchv1.Command{Body: &daisyhatchv1.Command_ClearSuspects{ClearSuspects: req.Msg.GetClear()}}
	r, err := c.proposeUnchecked(ctx, cmd)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&daisyhatchv1.ClearSuspectsResponse{Result: r.GetClearSuspects()}), nil
}

// TryPart implements FleetService.
func (c *Control) TryPart(
	ctx context.Context, req *connect.Request[daisyhatchv1.TryPartRequest],
) (*connect.Response[daisyhatchv1.TryPartResponse], error) {
	r, err := c.proposeUnchecked(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_PartTrial{PartTrial: req.Msg.GetTrial()}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&daisyhatchv1.TryPartResponse{Result: r.GetPartTrial()}), nil
}

// LeaseRun implements FleetService.
func (c *Control) LeaseRun(
	ctx context.Context, req *connect.Request[daisyhatchv1.LeaseRunRequest],
) (*connect.Response[daisyhatchv1.LeaseRunResponse], error) {
	r, err := c.proposeUnchecked(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_RunLease{RunLease: req.Msg.GetLease()}})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&daisyhatchv1.LeaseRunResponse{Result: r.GetRunLease()}), nil
}

// clearTimeout limits the call that tells one control VM of served suspects.
const clearTimeout = 500 * time.Millisecond

// SuspectsReporter reports crashes, and suspect requests that were served, to the control VMs. It is safe for
// concurrent use.
type SuspectsReporter struct {
	*quarantine.ControlReporter
	roster *Roster
	local  *Control
	http   *http.Client
}

// NewSuspectsReporter returns a SuspectsReporter.
func NewSuspectsReporter(r *Roster, h *http.Client) *SuspectsReporter {
	s := &SuspectsReporter{roster: r, http: h}
	s.ControlReporter = quarantine.NewDynamicReporter(func() []quarantine.CrashClient {
		var out []quarantine.CrashClient
		for _, c := range s.clients() {
			out = append(out, c)
		}
		return out
	})
	return s
}

// PreferLocal sends reports to this VM's own Control first. It must be called before the first report.
func (s *SuspectsReporter) PreferLocal(c *Control) { s.local = c }

// suspectsClient is the part of FleetService that takes reports about suspects.
type suspectsClient interface {
	quarantine.CrashClient
	ClearSuspects(context.Context, *connect.Request[daisyhatchv1.ClearSuspectsRequest]) (*connect.Response[daisyhatchv1.ClearSuspectsResponse], error)
	TryPart(context.Context, *connect.Request[daisyhatchv1.TryPartRequest]) (*connect.Response[daisyhatchv1.TryPartResponse], error)
	LeaseRun(context.Context, *connect.Request[daisyhatchv1.LeaseRunRequest]) (*connect.Response[daisyhatchv1.LeaseRunResponse], error)
}

func (s *SuspectsReporter) clients() []suspectsClient {
	var out []suspectsClient
	if s.local != nil {
		out = append(out, s.local)
	}
	for _, a := range s.roster.Addresses(time.Now()) {
		out = append(out, daisyhatchv1connect.NewFleetServiceClient(s.http, "http://"+a))
	}
	return out
}

// Clear reports to the control VMs, one after the other until one accepts it, that suspect requests were served.
func (s *SuspectsReporter) Clear(ctx context.Context, cmd *daisyhatchv1.ClearSuspectsCommand) error {
	err := error(quarantine.ErrNoControl)
	for _, c := range s.clients() {
		ctx, cancel := context.WithTimeout(ctx, clearTimeout)
		_, err = c.ClearSuspects(ctx, connect.NewRequest(&daisyhatchv1.ClearSuspectsRequest{Clear: cmd}))
		cancel()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("fleet: clear suspects: %w", err)
}

// TryPart asks the control VMs, one after the other until one answers, for the trial of a refused part.
func (s *SuspectsReporter) TryPart(ctx context.Context, part uint64) (*daisyhatchv1.PartTrialResult, error) {
	err := error(quarantine.ErrNoControl)
	for _, c := range s.clients() {
		req := &daisyhatchv1.TryPartRequest{Trial: &daisyhatchv1.PartTrialCommand{Part: part}}
		var res *connect.Response[daisyhatchv1.TryPartResponse]
		if res, err = c.TryPart(ctx, connect.NewRequest(req)); err == nil {
			return res.Msg.GetResult(), nil
		}
	}
	return nil, fmt.Errorf("fleet: try part: %w", err)
}

// LeaseRun asks the control VMs, one after the other until one answers, for the right to send a request of which one copy at
// a time may run.
func (s *SuspectsReporter) LeaseRun(ctx context.Context, fingerprint uint64) (*daisyhatchv1.RunLeaseResult, error) {
	err := error(quarantine.ErrNoControl)
	for _, c := range s.clients() {
		req := &daisyhatchv1.LeaseRunRequest{Lease: &daisyhatchv1.RunLeaseCommand{Fingerprint: fingerprint}}
		var res *connect.Response[daisyhatchv1.LeaseRunResponse]
		if res, err = c.LeaseRun(ctx, connect.NewRequest(req)); err == nil {
			return res.Msg.GetResult(), nil
		}
	}
	return nil, fmt.Errorf("fleet: lease run: %w", err)
}
