// Package follow keeps an entry VM up to date: it watches a control VM for the configuration, the crash suspects and
// the grantors of shards, and sends the control VMs heartbeats. It applies only versions of the configuration higher
// than any it has applied before.
package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

// Timeouts and intervals of a Client.
const (
	// silenceTimeout is how long a watch may receive no bytes before another control VM is tried.
	silenceTimeout = 900 * time.Millisecond
	// retryMin and retryMax bound the pause before the next control VM is tried, without jitter.
	retryMin = 50 * time.Millisecond
	retryMax = 250 * time.Millisecond
	// heartbeatTimeout limits a heartbeat call.
	heartbeatTimeout = time.Second
	// heartbeatInterval is how often a heartbeat is sent.
	heartbeatInterval = time.Second
)

// ErrSilent means that a watch received no bytes for silenceTimeout.
var ErrSilent = errors.New("follow: watch received nothing in time")

// Options configure a Client.
type Options struct {
	VM              string
	Incarnation     string
	FailureDomain   string
	SoftwareVersion string
	// Entry and Control are the VM's roles.
	Entry   bool
	Control bool
	// ControlAddrs are peer addresses of control VMs, IP:port.
	ControlAddrs []string
	// DataDir is the folder that keeps the highest version across restarts; empty keeps none.
	DataDir string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP connect.HTTPClient
	// Parse reads and validates a configuration text.
	Parse func(text []byte) (*config.Set, error)
	// FillHeartbeat adds to each heartbeat before it is sent; nil adds nothing.
	FillHeartbeat func(*daisyhatchv1.HeartbeatRequest)
	// OnHeartbeatAnswered is called with each heartbeat that was answered; nil for none.
	OnHeartbeatAnswered func(*daisyhatchv1.HeartbeatRequest)
	// Rand is the source of jitter; nil seeds one.
	Rand *rand.Rand
	Logr logr.Logger
}

// InForce is the configuration in force on this VM. It must not be changed.
type InForce struct {
	// Version is 0 while no configuration is known.
	Version        uint64
	ChangeID       string
	Operator       string
	AcceptedUnixMs int64
	Text           []byte
	// Set is nil while no configuration is known.
	Set *config.Set
}

// Grantor is the control VM that grants a shard. A higher fence replaces a lower one.
type Grantor struct {
	VM string
	// Address is IP:port.
	Address string
	Fence   uint64
}

// Client follows the control VMs. It is safe for concurrent use.
type Client struct {
	opts    Options
	clients []daisyhatchv1connect.EntryServiceClient

	inForce  atomic.Pointer[InForce]
	suspects atomic.Pointer[map[uint64]dispatch.Verdict]
	// onSuspects is called with each list of suspects.
	onSuspects atomic.Pointer[func([]*daisyhatchv1.Suspect)]
	shards     atomic.Pointer[map[uint32]Grantor]
	accepted   atomic.Uint64
	draining   atomic.Bool

	mu          sync.Mutex
	subscribers map[int]chan *InForce
	nextID      int
	random      *rand.Rand
}

// New returns a Client with the version stored in its data folder in force. It returns ErrStore if the stored version
// can't be read.
func New(o Options) (*Client, error) {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c := &Client{opts: o, random: o.Rand, subscribers: make(map[int]chan *InForce)}
	for _, a := range o.ControlAddrs {
		c.clients = append(c.clients, daisyhatchv1connect.NewEntryServiceClient(progressClient{o.HTTP}, "http://"+a))
	}
	c.inForce.Store(&InForce{})
	c.suspects.Store(&map[uint64]dispatch.Verdict{})
	c.shards.Store(&map[uint32]Grantor{})
	if o.DataDir == "" {
		return c, nil
	}
	if err := os.MkdirAll(o.DataDir, 0o750); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStore, err)
	}
	v, err := load(filepath.Join(o.DataDir, storeFileName))
	if err != nil {
		return nil, err
	}
	if v == nil {
		return c, nil
	}
	set, err := o.Parse(v.GetConfiguration())
	if err != nil {
		return nil, fmt.Errorf("%w: version %d can't be parsed: %w", ErrStore, v.GetVersion(), err)
	}
	c.apply(v, set)
	return c, nil
}

// Current returns the configuration in force on this VM.
func (c *Client) Current() *InForce { return c.inForce.Load() }

// Accepted returns the highest version that a control VM reported as accepted; it may not be in force here yet.
func (c *Client) Accepted() uint64 { return c.accepted.Load() }

// Verdict returns what is known of the request with a fingerprint.
func (c *Client) Verdict(fingerprint uint64) dispatch.Verdict {
	return (*c.suspects.Load())[fingerprint]
}

// OnSuspects sets the function called with each list of suspects that a control VM sends. Call it before Run.
func (c *Client) OnSuspects(f func([]*daisyhatchv1.Suspect)) { c.onSuspects.Store(&f) }

// Grantor returns the control VM that grants a shard; false if none is known.
func (c *Client) Grantor(shard uint32) (Grantor, bool) {
	g, ok := (*c.shards.Load())[shard]
	return g, ok
}

// SetDraining makes all further heartbeats say that this VM is leaving.
func (c *Client) SetDraining() { c.draining.Store(true) }

// Subscribe returns a channel that carries the configuration in force after each change. A slow reader misses
// intermediate versions, never the latest one. The returned func ends the subscription.
func (c *Client) Subscribe() (<-chan *InForce, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextID
	c.nextID++
	ch := make(chan *InForce, 1)
	c.subscribers[id] = ch
	if v := c.Current(); v.Version > 0 {
		ch <- v
	}
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, id)
	}
}

// notify sends v to all subscribers, replacing a version that one has not received yet.
func (c *Client) notify(v *InForce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range c.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- v
	}
}

// Run watches for changes and sends heartbeats until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.watchLoop(ctx) })
	wg.Go(func() { c.heartbeatLoop(ctx) })
	wg.Wait()
}
