package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/raft"
)

const (
	// queuedMessages bounds the messages that wait for one peer; more are dropped, as a network would.
	queuedMessages = 512
	// maxStepBytes bounds one StepRequest. A snapshot travels in one.
	maxStepBytes = 64 << 20
	// stepBytes is how much is put into one StepRequest, beyond its first message.
	stepBytes = 2 << 20
	// stepsPerTimeout is how many calls may go silent within one election timeout: a connection that no longer
	// answers is given up, and a new one tried, before the peer takes the leader for dead.
	stepsPerTimeout = 2
	// snapshotTimeouts is the time limit of a step that carries a snapshot, in election timeouts.
	snapshotTimeouts = 10

	idleConnsPerPeer = 4
	idleConnTimeout  = 30 * time.Second
)

func defaultClient() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnsPerPeer, IdleConnTimeout: idleConnTimeout}
	return &http.Client{Transport: t}
}

// transport sends messages to peers, each over its own queue and in order.
type transport struct {
	client  *http.Client
	log     logr.Logger
	timeout time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	address string
	// answered takes the messages in the answer of a call.
	answered func([]*daisyhatchv1.ConsensusMessage)

	mu      sync.Mutex
	members *daisyhatchv1.Membership
	links   map[string]*link
	// caller and callerAddress are the last sender that the membership doesn't name: the leader, for a node
	// that has just been added and knows no membership yet.
	caller        string
	callerAddress string
}

// link is the way to one peer.
type link struct {
	address string
	rpc     daisyhatchv1connect.ConsensusServiceClient
	queue   chan *daisyhatchv1.ConsensusMessage
	cancel  context.CancelFunc
}

func newTransport(o Options, log logr.Logger, answered func([]*daisyhatchv1.ConsensusMessage)) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{
		client:  o.Client,
		log:     log,
		timeout: o.ElectionTimeout,
		ctx:     ctx,
		cancel:  cancel,
		address: o.Address,

		answered: answered,
		links:    make(map[string]*link),
	}
}

// heardFrom takes note of a sender's address.
func (t *transport) heardFrom(id, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == "" || (t.caller == id && t.callerAddress == address) {
		return
	}
	for _, p := range t.members.GetPeers() {
		if raft.PeerID(p) == id {
			return
		}
	}
	t.caller, t.callerAddress = id, address
	t.refresh()
}

func (t *transport) rpc(address string) daisyhatchv1connect.ConsensusServiceClient {
	return daisyhatchv1connect.NewConsensusServiceClient(
		t.client, "http://"+address,
		connect.WithReadMaxBytes(maxStepBytes),
		// Most messages are small; compressing them costs more time and memory than it saves.
		connect.WithAcceptCompression("gzip", nil, nil))
}

// setMembers opens links to new members and ends those to former ones.
func (t *transport) setMembers(m *daisyhatchv1.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m == t.members {
		return
	}
	t.members = m
	t.refresh()
}

func (t *transport) refresh() {
	addresses := make(map[string]string)
	if t.caller != "" {
		addresses[t.caller] = t.callerAddress
	}
	for _, p := range t.members.GetPeers() {
		addresses[raft.PeerID(p)] = p.GetAddress()
	}
	for id, l := range t.links {
		if addresses[id] != l.address {
			l.cancel()
			delete(t.links, id)
		}
	}
	for id, a := range addresses {
		if t.links[id] == nil {
			t.open(id, a)
		}
	}
}

func (t *transport) open(id, address string) {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &link{
		address: address,
		rpc:     t.rpc(address),
		queue:   make(chan *daisyhatchv1.ConsensusMessage, queuedMessages),
		cancel:  cancel,
	}
	t.links[id] = l
	t.wg.Go(func() { t.run(ctx, l) })
}

// send queues a message; it is dropped when the peer is unknown or its queue is full.
func (t *transport) send(m *daisyhatchv1.ConsensusMessage) {
	t.mu.Lock()
	l := t.links[m.GetTo()]
	t.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.queue <- m:
	default:
	}
}

func (t *transport) run(ctx context.Context, l *link) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.queue:
			t.step(ctx, l, m)
		}
	}
}

// step sends m and what else waits for the peer in one call. Failures are left to the core, which sends again.
func (t *transport) step(ctx context.Context, l *link, m *daisyhatchv1.ConsensusMessage) {
	req := &daisyhatchv1.StepRequest{FromAddress: t.address, Messages: []*daisyhatchv1.ConsensusMessage{m}}
	size, limit := proto.Size(m), t.timeout/stepsPerTimeout
	if m.GetSnapshot() != nil {
		limit = t.timeout * snapshotTimeouts
	}
	for size < stepBytes && m.GetSnapshot() == nil {
		select {
		case m = <-l.queue:
			req.Messages = append(req.Messages, m)
			size += proto.Size(m)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := l.rpc.Step(ctx, connect.NewRequest(req))
	if err != nil {
		t.log.V(1).Info("peer not reached", "address", l.address, "err", err.Error())
		return
	}
	t.answered(res.Msg.GetMessages())
}

func (t *transport) close() {
	t.cancel()
	t.wg.Wait()
}
