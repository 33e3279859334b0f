package fleet

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
)

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

// lateClient returns a client for calls that a control VM reads late.
func lateClient(t *testing.T, c *Control, by time.Duration) daisyhatchv1connect.FleetServiceClient {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(c.Handler())
	s := listen.New(listen.Options{
		Name: "late", Address: "127.0.0.1:0", Handler: mux, Arrivals: true, Log: logr.Discard(),
		Network: listen.Network{Listen: func(ctx context.Context, address string) (net.Listener, error) {
			l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
			return lateListener{l, by}, err
		}},
	})
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return daisyhatchv1connect.NewFleetServiceClient(listen.NewHTTP1Client(nil, listen.Network{}), "http://"+s.Address())
}

// Guards against a voter that is removed for a join request which a VM read after the voter had lost its disk and joined again.
func TestJoinRequestCountsFromItsArrival(t *testing.T) {
	c := NewControl(ControlOptions{State: NewState(StateOptions{}), Roster: NewRoster("", nil), Log: logr.Discard(), Node: newStopGroup(t, 1, nil).nodes[0]}, nil)
	client := lateClient(t, c, joinRequestTTL)
	_, err := client.Join(t.Context(), connect.NewRequest(&daisyhatchv1.JoinRequest{Vm: "b", Address: "127.0.0.1:1", Instance: "former"}))
	require.NoError(t, err)
	members := []Member{{VM: "a", Instance: "1"}, {VM: "b", Instance: "present"}, {VM: "c", Instance: "3"}}
	require.Empty(t, NextMembershipChange(members, []Joiner{c.joiners["b"]}, 3, time.Now()))
}

// Guards against voters that are removed for notices of stops which a VM read after the voters had started again.
func TestNoticeOfAStopCountsFromItsArrival(t *testing.T) {
	g := newStopGroup(t, 5, func(_ int, r *http.Request) (*http.Response, error) { return http.DefaultTransport.RoundTrip(r) })
	client := lateClient(t, g.controls[0], stopNoticeTimeout+500*time.Millisecond)
	for _, vm := range []int{3, 4} {
		_, err := client.NoticeStop(t.Context(), connect.NewRequest(&daisyhatchv1.NoticeStopRequest{Vm: g.controls[vm].opts.VM, Instance: g.nodes[vm].Instance()}))
		require.NoError(t, err)
	}
	require.Len(t, g.voters(0), 5)
}
