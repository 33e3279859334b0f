package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
)

// transportFunc is a http.RoundTripper.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// stopGroup is a control group on loopback that bears the loss of one disk. None of its periodic tasks run, so that only notices
// change it.
type stopGroup struct {
	t        *testing.T
	nodes    []*replica.Node
	controls []*Control
	servers  []*http.Server
}

// newStopGroup starts a group led by its first VM. send makes the calls of a VM's FleetService.
func newStopGroup(t *testing.T, n int, send func(vm int, r *http.Request) (*http.Response, error)) *stopGroup {
	return newStopGroupOver(t, n, send, nil)
}

// newStopGroupOver is newStopGroup with the client of the nodes; nil takes their own.
func newStopGroupOver(
	t *testing.T, n int, send func(vm int, r *http.Request) (*http.Response, error), consensus *http.Client,
) *stopGroup {
	g := &stopGroup{t: t}
	var listeners []net.Listener
	var peers []*daisyhatchv1.ConsensusPeer
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		peers = append(peers, &daisyhatchv1.ConsensusPeer{Vm: fmt.Sprint("vm", i), Address: l.Addr().String()})
	}
	rec := invariant.NewRecorder(logr.Discard())
	for i, p := range peers {
		machine := fsm.New()
		node, err := replica.NewNode(replica.Options{
			VM: p.Vm, Address: p.Address, DataDir: t.TempDir(), Bootstrap: peers, StateMachine: machine, Log: logr.Discard(), Invariants: rec,
			Client: consensus,
		})
		require.NoError(t, err)
		roster := NewRoster(p.Address, nil)
		for _, other := range peers {
			roster.Add([]string{other.Address}, time.Now())
		}
		control := NewControl(ControlOptions{
			VM: p.Vm, Address: p.Address, LossesBorne: 1, Node: node, Machine: machine, State: NewState(StateOptions{}), Roster: roster,
			HTTP: &http.Client{Transport: transportFunc(func(r *http.Request) (*http.Response, error) { return send(i, r) })}, Log: logr.Discard(),
		}, nil)
		// What is shown depends on no machine's speed.
		control.stopLimit = time.Minute
		mux := http.NewServeMux()
		mux.Handle(node.Handler())
		mux.Handle(control.Handler())
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listeners[i]) }()
		require.NoError(t, node.Start(t.Context()))
		g.nodes, g.controls, g.servers = append(g.nodes, node), append(g.controls, control), append(g.servers, server)
	}
	t.Cleanup(func() {
		for i := range g.nodes {
			g.end(i)
		}
	})
	for !g.nodes[0].IsLeader() {
		for _, node := range g.nodes {
			node.HandOver(t.Context(), "vm1", "vm2", "vm3", "vm4")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return g
}

// stop stops a VM in order.
func (g *stopGroup) stop(vm int) {
	g.controls[vm].PrepareStop(g.t.Context())
	g.end(vm)
}

func (g *stopGroup) end(vm int) {
	_ = g.nodes[vm].Stop(context.Background())
	_ = g.servers[vm].Close()
}

// voters returns the voters that the VM knows.
func (g *stopGroup) voters(vm int) []string {
	var out []string
	for _, p := range g.nodes[vm].Status().Membership.GetPeers() {
		if !p.GetLearner() {
			out = append(out, p.GetVm())
		}
	}
	return out
}

// Of five voters where three suffice two stop at once, the leader and its successor. Once both have stopped, they are removed.
func TestLeaderAndItsSuccessorStop(t *testing.T) {
	// Whether the successor's notices may go out.
	for name, may := range map[string]func(g *stopGroup) bool{
		"both notices first": func(*stopGroup) bool { return true },
		// The successor has seen that it doesn't lead, and its notice reaches nobody before it does.
		"it leads before its notice": func(g *stopGroup) bool { return g.nodes[1].IsLeader() },
	} {
		t.Run(name, func(t *testing.T) {
			var g *stopGroup
			started := make(chan struct{})
			g = newStopGroup(t, 5, func(vm int, r *http.Request) (*http.Response, error) {
				if vm == 1 {
					select {
					case <-started:
					default:
						close(started)
					}
					for deadline := time.Now().Add(500 * time.Millisecond); !may(g) && time.Now().Before(deadline); {
						time.Sleep(time.Millisecond)
					}
				}
				return http.DefaultTransport.RoundTrip(r)
			})
			var wg sync.WaitGroup
			wg.Go(func() { g.stop(1) })
			<-started
			wg.Go(func() { g.stop(0) })
			wg.Wait()
			require.Eventually(t, func() bool { return len(g.voters(2)) == 3 }, 30*time.Second, 10*time.Millisecond, "%v", g.voters(2))
		})
	}
}

// One VM of three was lost, and the others stop together: nobody is left who could lead, and neither waits for one.
func TestLastVMsStopWithoutWaiting(t *testing.T) {
	g := newStopGroup(t, 3, func(_ int, r *http.Request) (*http.Response, error) { return http.DefaultTransport.RoundTrip(r) })
	g.end(2)
	begin := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { g.stop(0) })
	wg.Go(func() { g.stop(1) })
	wg.Wait()
	require.Less(t, time.Since(begin), g.controls[0].stopLimit/2)
}
