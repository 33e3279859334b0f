package slots_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/fsm"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/grantservice"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/replica"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

// network is an HTTP client that dispatches requests to in-process handlers by address.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
}

func (n *network) handle(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Do implements connect.HTTPClient.
func (n *network) Do(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.handlers[r.URL.Host]
	n.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("no handler at %s", r.URL.Host)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	in := r.Clone(r.Context())
	in.Body = io.NopCloser(bytes.NewReader(body))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, in)
	return w.Result(), nil
}

// sharedLog is a replicated log shared by several control VMs in one process.
type sharedLog struct {
	*replica.Local
	peers []*daisyhatchv1.ConsensusPeer
	// delay returns how long a proposal takes; nil means no delay.
	delay func() time.Duration
}

// Propose implements replica.Log.
func (l *sharedLog) Propose(ctx context.Context, data []byte) (replica.Applied, error) {
	if l.delay != nil {
		time.Sleep(l.delay())
	}
	return l.Local.Propose(ctx, data)
}

// Status implements replica.Log.
func (l *sharedLog) Status() replica.Status {
	s := l.Local.Status()
	s.Membership = &daisyhatchv1.Membership{Peers: l.peers}
	return s
}

// callStarts records the calls that started on each server, by server name.
type starts struct {
	maxRunning map[string]int
	lastStart  map[string]time.Time
	// maxGap is the longest time between two consecutive starts.
	maxGap map[string]time.Duration
}

// cluster runs control VMs, entry VMs and announcing backend servers in one process.
type cluster struct {
	*testing.T
	network    *network
	machine    *fsm.Machine
	log        *sharedLog
	invariants *invariant.Recorder
	control    map[string]*grantservice.Service
	entries    []*slots.Slots

	mu         sync.Mutex
	version    uint64
	set        *config.Set
	running    map[string]int
	startStats starts
	servers    []*daisyhatchv1.Announcement
	stop       context.CancelFunc
	done       sync.WaitGroup
}

func newCluster(t *testing.T, controls, entries, servers int) *cluster {
	c := &cluster{
		T: t, network: &network{handlers: make(map[string]http.Handler)}, machine: fsm.New(),
		invariants: invariant.NewRecorder(logr.Discard()), control: make(map[string]*grantservice.Service),
		running: make(map[string]int), version: 1, set: testSet(""),
		startStats: starts{maxRunning: make(map[string]int), lastStart: make(map[string]time.Time), maxGap: make(map[string]time.Duration)},
	}
	c.log = &sharedLog{Local: replica.NewLocal("c0", c.machine)}
	for i := range controls {
		name := fmt.Sprint("c", i)
		c.log.peers = append(c.log.peers, &daisyhatchv1.ConsensusPeer{Vm: name, Address: name + ":1"})
	}
	for i := range controls {
		c.startControl(fmt.Sprint("c", i), "1")
	}
	for i := range entries {
		c.startEntry(fmt.Sprint("e", i))
	}
	for i := range servers {
		c.servers = append(c.servers, &daisyhatchv1.Announcement{
			Server: fmt.Sprint("s", i), Incarnation: "1", Pool: "gen", FailureDomain: []string{"a", "b", "c"}[i%3],
			Address: "10.0.1.1:80", Load: &daisyhatchv1.Load{},
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done.Add(1)
	go c.announce(ctx)
	return c
}

// testSet returns a configuration with one pool and three failure domains, of which the one named takenOut is out of
// service; "" takes out none.
func testSet(takenOut string) *config.Set {
	set := &config.Set{
		FailureDomains: make(map[string]*config.FailureDomain),
		Pools: map[string]*config.Pool{
			"gen": {Name: "gen", Concurrency: 4, ColdConcurrency: 1, WarmAfter: 3, ReportsLoad: true},
		},
	}
	for _, name := range []string{"a", "b", "c"} {
		set.FailureDomains[name] = &config.FailureDomain{Name: name, Out: name == takenOut}
	}
	return set
}

func (c *cluster) publish(set *config.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.set = set
}

func (c *cluster) startControl(name, incarnation string) {
	s := grantservice.New(grantservice.Options{
		VM: name, Incarnation: incarnation, Log: c.log, Lease: c.machine.Lease, HTTP: c.network,
		Config: func() (uint64, *config.Set) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.version, c.set
		},
		Invariants: c.invariants, Logger: logr.Discard(),
	})
	path, handler := s.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	c.network.handle(name+":1", mux)
	require.NoError(c, s.Start(context.Background()))
	c.control[name] = s
}

// kill disconnects a control VM for good, without releasing its leases.
func (c *cluster) kill(name string) {
	c.network.handle(name+":1", nil)
	c.control[name].Abort()
	delete(c.control, name)
}

func (c *cluster) startEntry(name string) {
	e := slots.New(slots.Options{
		VM: name, Incarnation: "1", FailureDomain: "a", HTTP: c.network, Invariants: c.invariants, Logger: logr.Discard(),
		Grantors: func(shard uint32) (string, bool) {
			holder := c.machine.Lease(grant.LeaseName(shard)).GetHolder()
			return holder + ":1", holder != ""
		},
	})
	require.NoError(c, e.Start(context.Background()))
	c.entries = append(c.entries, e)
}

// announce sends the servers' announcements with their current load every grant.BaseAnnounceInterval.
func (c *cluster) announce(ctx context.Context) {
	defer c.done.Done()
	for {
		for _, a := range c.announcements() {
			_ = c.entries[0].Announce(ctx, a) // fails while the shard has no grantor; the next announcement succeeds
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(grant.BaseAnnounceInterval):
		}
	}
}

func (c *cluster) announcements() []*daisyhatchv1.Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*daisyhatchv1.Announcement
	for _, a := range c.servers {
		out = append(out, &daisyhatchv1.Announcement{
			Server: a.Server, Incarnation: a.Incarnation, Pool: a.Pool, FailureDomain: a.FailureDomain, Address: a.Address,
			Leaving: a.Leaving, Load: &daisyhatchv1.Load{Running: uint32(c.running[a.Server])},
		})
	}
	return out
}

// close stops everything and checks that no invariant was violated.
func (c *cluster) close() {
	c.stop()
	c.done.Wait()
	for _, e := range c.entries {
		require.NoError(c, e.Stop(context.Background()))
	}
	for _, s := range c.control {
		require.NoError(c, s.Stop(context.Background()))
	}
	broken, _ := c.invariants.Violations()
	require.Empty(c, broken)
}

// request returns a request for a slot whose deadline is the given time from now.
func request(organisation string, deadline time.Duration) dispatch.SlotRequest {
	return dispatch.SlotRequest{Pool: "gen", Organisation: organisation, Deadline: time.Now().Add(deadline)}
}

// call runs one call of the given length and returns how long it waited for its slot.
func (c *cluster) call(e *slots.Slots, r dispatch.SlotRequest, length time.Duration) (time.Duration, error) {
	begin := time.Now()
	sl, err := e.Acquire(context.Background(), r)
	if err != nil {
		return time.Since(begin), err
	}
	wait := time.Since(begin)
	name := sl.Target().Server
	c.begin(name)
	time.Sleep(length)
	c.mu.Lock()
	c.running[name]--
	c.mu.Unlock()
	sl.Done(dispatch.Report{FirstToken: length, Total: length})
	return wait, nil
}

// begin records that a call started on a server.
func (c *cluster) begin(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[server]++
	c.startStats.maxRunning[server] = max(c.startStats.maxRunning[server], c.running[server])
	if !c.startStats.lastStart[server].IsZero() {
		c.startStats.maxGap[server] = max(c.startStats.maxGap[server], time.Since(c.startStats.lastStart[server]))
	}
	c.startStats.lastStart[server] = time.Now()
}

// starts returns a copy of the call starts recorded so far.
func (c *cluster) starts() starts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return starts{maxRunning: maps.Clone(c.startStats.maxRunning), lastStart: maps.Clone(c.startStats.lastStart), maxGap: maps.Clone(c.startStats.maxGap)}
}

// resetGaps discards the gaps measured so far.
func (c *cluster) resetGaps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.startStats.maxGap)
}

// runWorkers keeps n calls in flight on each entry VM until the returned function is called, which returns the longest
// wait for a slot and the number of refusals.
func (c *cluster) runWorkers(n int, length time.Duration) (stop func() (longest time.Duration, refused int)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var longest time.Duration
	var refused int
	ctx, cancel := context.WithCancel(context.Background())
	for _, e := range c.entries {
		for range n {
			wg.Go(func() {
				for ctx.Err() == nil {
					wait, err := c.call(e, request("o", time.Minute), length)
					mu.Lock()
					longest = max(longest, wait)
					if err != nil {
						refused++
					}
					mu.Unlock()
				}
			})
		}
	}
	return func() (time.Duration, int) {
		cancel()
		wg.Wait()
		return longest, refused
	}
}
