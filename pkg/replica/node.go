package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/raft"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// Defaults of Options.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 4 << 20
	DefaultKeptEntries     = 1024
)

// loopStopTimeout is how long Stop waits for a write that is under way.
const loopStopTimeout = 5 * time.Second

// Options are what a Node is made from.
type Options struct {
	// VM is this VM's name, Address its peer address as IP:port.
	VM      string
	Address string
	// DataDir is the data folder; it is made when missing.
	DataDir string
	// Bootstrap lists the first voters by VM name and address, this one included, the same on each. A new group
	// starts once all of them have been reached and all are empty. It is not used once the data folder holds a
	// log. Empty on a VM that is to be added to a running group.
	Bootstrap    []*daisyhatchv1.ConsensusPeer
	StateMachine StateMachine
	// Client speaks to peers; nil takes one with HTTP/1.1, so that a connection that went silent is given up
	// with the first call that times out on it.
	Client     *http.Client
	Log        logr.Logger
	Invariants *invariant.Recorder

	// ElectionTimeout and HeartbeatInterval default to those of package raft.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// SnapshotEntries and SnapshotBytes are how much log is kept before a snapshot replaces it, and KeptEntries
	// how many entries stay in memory behind a snapshot for peers that lag a little.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	KeptEntries     uint64
	// FS defaults to the operating system's.
	FS wal.FS
	// OnLeader is called at each change of the leader or the term with the leader's VM name, empty when none is
	// known. Calls come one at a time, in order; it must not block.
	OnLeader func(leader string, term uint64)
}

func (o *Options) setDefaults() {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = raft.DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = raft.DefaultHeartbeatInterval
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.KeptEntries == 0 {
		o.KeptEntries = DefaultKeptEntries
	}
	if o.Client == nil {
		o.Client = defaultClient()
	}
}

// Node is a Log whose entries are agreed on by the control VMs and kept on disk.
type Node struct {
	opts     Options
	log      logr.Logger
	instance string
	id       string
	wal      *wal.WAL
	core     *raft.Core
	net      *transport

	forwards chan forward
	staged   chan stagedSnapshot

	calls chan func()
	inbox chan *stepCall
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
	bg    sync.WaitGroup

	// All below belongs to the loop's goroutine.
	proposals []proposal
	waiting   map[uint64]waiter
	reads     map[uint64]chan<- readResult
	nextRead  uint64
	barriers  []barrier
	snapMeta  *daisyhatchv1.SnapshotMeta
	logBytes  uint64
	staging   bool
	callers   []*stepCall
	storeErr  error
	// reopenedAt is when the disk was last tried after it failed; initial is the state machine's state at the start.
	reopenedAt time.Time
	initial    []byte
	told       leadership

	mu       sync.Mutex
	status   Status
	founding *daisyhatchv1.Membership
	hasState bool
}

var _ Log = (*Node)(nil)

// NewNode opens the data folder and restores the state machine from its snapshot. Entries behind the snapshot
// are applied once the group has confirmed them. Errors: those of package wal, and those of the state machine.
func NewNode(o Options) (*Node, error) {
	o.setDefaults()
	log := o.Log.WithName("replica").WithValues("member", o.VM)
	w, s, err := wal.Open(wal.Options{FS: o.FS, Dir: o.DataDir, Log: log})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStorage, err)
	}
	n := &Node{
		opts:    o,
		log:     log,
		wal:     w,
		calls:   make(chan func(), queuedCalls),
		inbox:   make(chan *stepCall, queuedSteps),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		waiting: make(map[uint64]waiter),
		reads:   make(map[uint64]chan<- readResult),

		forwards: make(chan forward),
		staged:   make(chan stagedSnapshot),
	}
	if err := n.restore(s); err != nil {
		return nil, errors.Join(err, w.Close())
	}
	return n, nil
}

func (n *Node) restore(s wal.State) error {
	var err error
	if n.initial, err = n.opts.StateMachine.Snapshot(); err != nil {
		return fmt.Errorf("replica: snapshot of the first state: %w", err)
	}
	if n.instance, err = n.wal.Identity(n.opts.VM, uuid.NewString()); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	if n.founding, err = n.wal.Founding(); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	n.id = raft.PeerID(&daisyhatchv1.ConsensusPeer{Vm: n.opts.VM, Instance: n.instance})
	n.net = newTransport(n.opts, n.log, n.takeAnswer)
	if s.Snapshot != nil && s.Snapshot.Meta.GetIndex() > 0 {
		if err := n.opts.StateMachine.Restore(s.Snapshot.Data); err != nil {
			return fmt.Errorf("replica: restore snapshot at %d: %w", s.Snapshot.Meta.GetIndex(), err)
		}
	}
	n.loadCore(s, time.Now())
	n.hasState = s.Snapshot != nil || len(s.Entries) > 0 || s.HardState.GetTerm() > 0
	n.publish()
	return nil
}

// Start begins to take part in the group. ctx isn't kept.
func (n *Node) Start(context.Context) error {
	if n.snapMeta == nil && n.founding != nil {
		if err := n.foundWith(n.founding); err != nil {
			return err
		}
	}
	if n.snapMeta == nil && len(n.opts.Bootstrap) > 0 {
		n.bg.Go(n.found)
	}
	for range forwardersPerNode {
		n.bg.Go(n.runForwarder)
	}
	go n.run()
	return nil
}

// Stop hands leadership over, if this node has it and another voter can take it before ctx ends, and then stops.
// Work in flight ends with ErrStopped. The node stops also when ctx has ended; only a write that hangs in the disk
// makes it return ErrStorage before.
func (n *Node) Stop(ctx context.Context) error {
	n.HandOver(ctx)
	n.once.Do(func() { close(n.stop) })
	limit := time.NewTimer(loopStopTimeout)
	defer limit.Stop()
	select {
	case <-n.done:
	case <-limit.C:
		return fmt.Errorf("%w: a write did not end within %s of the stop", ErrStorage, loopStopTimeout)
	}
	n.net.close()
	n.bg.Wait()
	if err := n.wal.Close(); err != nil {
		return fmt.Errorf("%w: close: %w", ErrStorage, err)
	}
	return nil
}

// handOverAttempts is how many voters HandOver tries.
const handOverAttempts = 2

// HandOver tries to pass leadership on if this node has it, to a voter on none of the VMs avoid if there is such. It waits for at
// most handOverAttempts times the election timeout.
func (n *Node) HandOver(ctx context.Context, avoid ...string) {
	for range handOverAttempts {
		err := n.call(ctx, func() error { return n.core.TransferLeadership(n.core.Successor(avoid)) })
		if err != nil || n.awaitHandOver(ctx) {
			return
		}
	}
}

// awaitHandOver waits for an election timeout until this node doesn't lead any more. It returns true if waiting longer makes no
// sense.
func (n *Node) awaitHandOver(ctx context.Context) bool {
	limit := time.NewTimer(n.opts.ElectionTimeout)
	defer limit.Stop()
	poll := time.NewTicker(n.opts.HeartbeatInterval / 4)
	defer poll.Stop()
	for n.IsLeader() {
		select {
		case <-poll.C:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return true
		case <-n.done:
			return true
		}
	}
	return true
}

// Handler returns the path and the handler of ConsensusService, to be served on the peer address.
func (n *Node) Handler() (string, http.Handler) {
	return daisyhatchv1connect.NewConsensusServiceHandler(
		&service{node: n},
		connect.WithReadMaxBytes(maxStepBytes),
		connect.WithCompression("gzip", nil, nil))
}

// Status implements Log.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// IsLeader reports whether this node believes to lead. Another may lead already; only what went through the
// log or a ReadBarrier is certain.
func (n *Node) IsLeader() bool {
	s := n.Status()
	return s.Leader == s.VM
}

// Instance returns the identity of this node's data folder.
func (n *Node) Instance() string { return n.instance }

// Silences returns for how long this node, if it leads, has not heard each other member, by VM name. Errors: ErrNoLeader
// when it does not lead, ErrStopped.
func (n *Node) Silences(ctx context.Context) (map[string]time.Duration, error) {
	out := make(map[string]time.Duration)
	err := n.call(ctx, func() error {
		silences := n.core.Silences()
		if silences == nil {
			return ErrNoLeader
		}
		for id, d := range silences {
			out[raft.VMOf(id)] = d
		}
		return nil
	})
	return out, err
}

// call runs f in the loop and returns its error, or ErrStopped when the loop has ended.
func (n *Node) call(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	if err := n.enqueue(ctx, func() { result <- f() }); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-n.done:
		return ErrStopped
	}
}

// enqueue hands f to the loop.
func (n *Node) enqueue(ctx context.Context, f func()) error {
	select {
	case n.calls <- f:
		return nil
	case <-n.stop:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("replica: %w", ctx.Err())
	}
}
