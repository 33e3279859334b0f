package control_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/arrival"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/control"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// changesLog counts the changes to the control group.
type changesLog struct {
	*replica.Local
	changes atomic.Int32
}

func (l *changesLog) ChangeMembership(context.Context, *daisyhatchv1.ConsensusPeer, string) error {
	l.changes.Add(1)
	return nil
}

// lateListener takes connections late, as a VM that stood still does.
type lateListener struct {
	net.Listener
	by time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.by)
	return c, err
}

// openConn stays open when its client closes it, as one does whose end doesn't reach the VM.
type openConn struct{ net.Conn }

func (openConn) Close() error { return nil }

// Guards against an order that a control VM carries out after its caller has given up: it replaced what the operator ordered elsewhere since.
func TestOrderReadAfterItsCallerGaveUpIsNotTaken(t *testing.T) {
	const patience = time.Second
	order := &daisyhatchv1.OrderCommand{OrderId: "o", Pool: "p", Kind: daisyhatchv1.OrderKind_ORDER_KIND_LOAD_ADAPTER}
	calls := map[string]func(context.Context, daisyhatchv1connect.OperatorServiceClient) error{
		"order": func(ctx context.Context, c daisyhatchv1connect.OperatorServiceClient) error {
			_, err := c.SubmitOrder(ctx, as(&daisyhatchv1.SubmitOrderRequest{Order: order}, "ada", config.RoleAdmin))
			return err
		},
		"change of the control group": func(ctx context.Context, c daisyhatchv1connect.OperatorServiceClient) error {
			_, err := c.ChangeControl(ctx, as(&daisyhatchv1.ChangeControlRequest{Remove: "c2"}, "ada", config.RoleAdmin))
			return err
		},
	}
	for name, call := range calls {
		for _, c := range []struct {
			name   string
			unread time.Duration
			stays  bool
			taken  int
		}{
			{"in time", patience / 3, false, 1}, {"late, the connection is closed", 2 * patience, false, 0}, {"late, it stays open", 2 * patience, true, 0},
		} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				t.Parallel()
				machine := fsm.New()
				log := &changesLog{Local: replica.NewLocal("c1", machine)}
				op := control.New(control.Options{VM: "c1", Log: log, Machine: machine, Check: check}).OperatorHandler()
				handled := make(chan struct{}, 1)
				tracker := arrival.NewTracker(false)
				s := httptest.NewUnstartedServer(tracker.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					asOperator(op).ServeHTTP(w, r)
					handled <- struct{}{}
				})))
				s.Listener = tracker.Listen(lateListener{s.Listener, c.unread})
				s.Start()
				t.Cleanup(func() {
					s.CloseClientConnections()
					s.Close()
				})
				transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := new(net.Dialer).DialContext(ctx, network, address)
					if c.stays && err == nil {
						t.Cleanup(func() { _ = conn.Close() })
						conn = openConn{conn}
					}
					return conn, err
				}}
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				err := call(ctx, daisyhatchv1connect.NewOperatorServiceClient(&http.Client{Transport: transport}, s.URL, connect.WithProtoJSON()))
				require.Equal(t, c.taken == 1, err == nil, err)
				<-handled
				require.Equal(t, c.taken, len(machine.Orders())+int(log.changes.Load()))
			})
		}
	}
}
