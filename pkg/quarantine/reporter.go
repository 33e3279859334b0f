package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

// callTimeout is how long one control VM is waited for.
const callTimeout = 500 * time.Millisecond

// ErrNoControl means that no control VM is configured.
var ErrNoControl = errors.New("quarantine: no control VM is configured")

// CrashClient calls one control VM.
type CrashClient interface {
	ReportCrash(context.Context, *connect.Request[daisyhatchv1.ReportCrashRequest]) (*connect.Response[daisyhatchv1.ReportCrashResponse], error)
}

// ControlReporter reports crashes to the control VMs. It is safe for concurrent use.
type ControlReporter struct {
	clients func() []CrashClient
	// at is the control VM to ask next.
	at atomic.Uint32
}

var _ Reporter = (*ControlReporter)(nil)

// NewReporter returns a reporter over the EntryService of the control VMs at the peer addresses, IP:port.
func NewReporter(client connect.HTTPClient, addresses []string) *ControlReporter {
	var all []CrashClient
	for _, a := range addresses {
		all = append(all, daisyhatchv1connect.NewEntryServiceClient(client, "http://"+a))
	}
	return NewReporterTo(func() []CrashClient { return all })
}

// NewReporterTo returns a reporter over the control VMs that clients returns at the time of each report.
func NewReporterTo(clients func() []CrashClient) *ControlReporter {
	return &ControlReporter{clients: clients}
}

// ReportCrash implements Reporter. It asks one control VM; after an error the next call asks another. Reports of one
// crash count once, so a report whose answer was lost may be sent again.
func (r *ControlReporter) ReportCrash(ctx context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error) {
	all := r.clients()
	if len(all) == 0 {
		return nil, ErrNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := r.at.Load()
	res, err := all[int(at)%len(all)].ReportCrash(ctx, connect.NewRequest(&daisyhatchv1.ReportCrashRequest{Crash: c}))
	if err != nil {
		r.at.CompareAndSwap(at, at+1)
		return nil, fmt.Errorf("quarantine: report crash: %w", err)
	}
	return res.Msg.GetResult(), nil
}
