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

// errNoCrash means that a call names no crash.
var errNoCrash = errors.New("fleet: no crash")

// sharedSuspects returns the suspects that all VMs must know of.
func sharedSuspects(all []*daisyhatchv1.Suspect) []*daisyhatchv1.Suspect {
	var out []*daisyhatchv1.Suspect
	for _, s := range all {
		if s.GetCrashes() >= suspect.SharedCrashes {
			out = append(out, s)
		}
	}
	return out
}

func sameSuspect(a, b *daisyhatchv1.Suspect) bool {
	return a.GetFingerprint() == b.GetFingerprint() && a.GetState() == b.GetState() && a.GetCrashes() == b.GetCrashes()
}

// ReportCrash implements FleetService and quarantine.CrashClient.
func (c *Control) ReportCrash(
	ctx context.Context, req *connect.Request[daisyhatchv1.ReportCrashRequest],
) (*connect.Response[daisyhatchv1.ReportCrashResponse], error) {
	if req.Msg.GetCrash() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoCrash)
	}
	r, err := c.proposeAnyway(ctx, &daisyhatchv1.Command{Body: &daisyhatchv1.Command_Crash{Crash: req.Msg.GetCrash()}})
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
	r, err := c.proposeAnyway(ctx, cmd)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&daisyhatchv1.ClearSuspectsResponse{Result: r.GetClearSuspects()}), nil
}

// clearTimeout is how long one control VM is waited for that is told of served suspects.
const clearTimeout = 500 * time.Millisecond

// SuspectsReporter tells the control VMs that a VM knows of crashes, and of suspects that were served. It is safe for
// concurrent use.
type SuspectsReporter struct {
	*quarantine.ControlReporter
	roster *Roster
	own    *Control
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

// PreferOwn has the VM's own part as a control VM told first. It must be called before the first report.
func (s *SuspectsReporter) PreferOwn(c *Control) { s.own = c }

// suspectsClient is what a control VM answers about suspects.
type suspectsClient interface {
	quarantine.CrashClient
	ClearSuspects(context.Context, *connect.Request[daisyhatchv1.ClearSuspectsRequest]) (*connect.Response[daisyhatchv1.ClearSuspectsResponse], error)
}

func (s *SuspectsReporter) clients() []suspectsClient {
	var out []suspectsClient
	if s.own != nil {
		out = append(out, s.own)
	}
	for _, a := range s.roster.Addresses(time.Now()) {
		out = append(out, daisyhatchv1connect.NewFleetServiceClient(s.http, "http://"+a))
	}
	return out
}

// Clear tells the control VMs, one after the other until one has it, that suspects were served.
func (s *SuspectsReporter) Clear(ctx context.Context, fingerprints []uint64) error {
	err := error(quarantine.ErrNoControl)
	for _, c := range s.clients() {
		ctx, cancel := context.WithTimeout(ctx, clearTimeout)
		req := &daisyhatchv1.ClearSuspectsRequest{Clear: &daisyhatchv1.ClearSuspectsCommand{Fingerprints: fingerprints}}
		_, err = c.ClearSuspects(ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			return nil
		}
	}
	return fmt.Errorf("fleet: clear suspects: %w", err)
}
