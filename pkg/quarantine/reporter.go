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

// reportCallTimeout bounds one call of one control VM.
const reportCallTimeout = 500 * time.Millisecond

// ErrNoControl means that no control VM is configured.
var ErrNoControl = errors.New("quarantine: no control VM is configured")

// CrashClient is the client of one control VM.
type CrashClient interface {
	ReportCrash(context.Context, *connect.Request[daisyhatchv1.ReportCrashRequest]) (*connect.Response[daisyhatchv1.ReportCrashResponse], error)
}

// ControlReporter reports crashes to the control VMs. It is safe for concurrent use.
type ControlReporter struct {
	clients func() []CrashClient
	// next is the index of the control VM that the next call goes to.
	next atomic.Uint32
}

var _ Reporter = (*ControlReporter)(nil)

// NewReporter returns a reporter that calls the EntryService of the control VMs at the peer addresses, each IP:port.
func NewReporter(client connect.HTTPClient, addresses []string) *ControlReporter {
	var all []CrashClient
	for _, a := range addresses {
		all = append(all, daisyhatchv1connect.NewEntryServiceClient(client, "http://"+a))
	}
	return NewDynamicReporter(func() []CrashClient { return all })
}

// NewDynamicReporter returns a reporter that calls clients for the current control VMs at each report.
func NewDynamicReporter(clients func() []CrashClient) *ControlReporter {
	return &ControlReporter{clients: clients}
}

// ReportCrash implements Reporter. It calls one control VM; after an error the next call goes to another one. Repeated
// reports of one crash count once, so a report whose answer was lost can be sent again.
func (r *ControlReporter) ReportCrash(ctx context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error) {
	all := r.clients()
	if len(all) == 0 {
		return nil, ErrNoControl
	}
	ctx, cancel := context.WithTimeout(ctx, reportCallTimeout)
	defer cancel()
	at := r.next.Load()
	res, err := all[int(at)%len(all)].ReportCrash(ctx, connect.NewRequest(&daisyhatchv1.ReportCrashRequest{Crash: c}))
	if err != nil {
		r.next.CompareAndSwap(at, at+1)
		return nil, fmt.Errorf("quarantine: report crash: %w", err)
	}
	return res.Msg.GetResult(), nil
}
