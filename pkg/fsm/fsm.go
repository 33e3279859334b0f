// Package fsm is the replicated state machine of the control VMs: configuration versions, leases, the claim ledger,
// crash suspects, orders to engines, revisions of raw documents, owners of stage calls, departures of backend servers, and roll-outs. It
// depends on the log alone, so that all control VMs agree.
package fsm

import (
	"cmp"
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/departure"
	"github.com/daisyhatch/daisyhatch/pkg/lease"
	"github.com/daisyhatch/daisyhatch/pkg/ledger"
	"github.com/daisyhatch/daisyhatch/pkg/order"
	"github.com/daisyhatch/daisyhatch/pkg/publication"
	"github.com/daisyhatch/daisyhatch/pkg/revision"
	"github.com/daisyhatch/daisyhatch/pkg/rollout"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; nothing was changed.
	ErrCommand = errors.New("fsm: malformed command")
	// ErrSnapshot means that a snapshot can't be restored; the state is as before.
	ErrSnapshot = errors.New("fsm: bad snapshot")
)

// snapshotFormat is the format version of snapshots.
const snapshotFormat = 1

// Machine is the state machine. It implements replica.StateMachine and is safe for concurrent use.
type Machine struct {
	mu          sync.Mutex
	clock       clock
	index       uint64
	publication *publication.Publication
	leases      *lease.Table
	ledger      *ledger.Ledger
	suspects    *suspect.Table
	orders      *order.Book
	revisions   *revision.Store
	stageOwners *stageowner.Table
	departures  *departure.Table
	rollouts    *rollout.Book
	view        View
	changed     chan struct{}
	// completed is closed and made anew when claims end.
	completed chan struct{}
	// seenSuspects and seenLeases are the change counts that the view shows; restored makes it show all anew.
	seenSuspects uint64
	seenLeases   uint64
	restored     bool
	// ended is true while claims ended that completed does not tell of yet.
	ended bool
}

// New returns a Machine at the start of the log.
func New() *Machine {
	return &Machine{
		publication: publication.New(),
		leases:      lease.New(),
		ledger:      ledger.New(),
		suspects:    suspect.New(),
		orders:      order.New(),
		revisions:   revision.New(),
		stageOwners: stageowner.New(),
		departures:  departure.New(),
		rollouts:    rollout.NewBook(),
		changed:     make(chan struct{}),
		completed:   make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. The result is an encoded Result; a command that can't be decoded or is
// malformed changes nothing and yields a Result with an error.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	c := &daisyhatchv1.Command{}
	if err := proto.Unmarshal(command, c); err != nil {
		return encode(failed(fmt.Errorf("%w: not a command", ErrCommand)))
	}
	r := m.apply(c, index)
	m.publishView()
	return encode(r)
}

func (m *Machine) apply(c *daisyhatchv1.Command, index uint64) *daisyhatchv1.Result {
	m.clock.observe(proposer(c), c.GetTimeUnixMs(), index)
	b, ok := c.GetBody().(*daisyhatchv1.Command_Batch)
	if !ok {
		return m.one(c, index)
	}
	batch := &daisyhatchv1.BatchResult{}
	for _, inner := range b.Batch.GetCommands() {
		batch.Results = append(batch.Results, m.one(inner, index))
	}
	return &daisyhatchv1.Result{Body: &daisyhatchv1.Result_Batch{Batch: batch}}
}

// one applies a single command. A batch within a batch is malformed.
func (m *Machine) one(c *daisyhatchv1.Command, index uint64) *daisyhatchv1.Result {
	now := m.clock.nowMs
	proposedAt := cmp.Or(c.GetTimeUnixMs(), now)
	switch b := c.GetBody().(type) {
	case *daisyhatchv1.Command_Publish:
		r, err := m.publication.Publish(b.Publish, now)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Publish{Publish: r}}, err)
	case *daisyhatchv1.Command_Lease:
		r, err := m.leases.Apply(b.Lease)
		if r != nil {
			r.ConfigurationVersion = m.publication.InForce().GetVersion()
		}
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Lease{Lease: r}}, err)
	case *daisyhatchv1.Command_Claim:
		r, err := m.ledger.Claim(b.Claim, now)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Claim{Claim: r}}, err)
	case *daisyhatchv1.Command_Complete:
		r, err := m.ledger.Complete(b.Complete, now)
		m.ended = true
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Complete{Complete: r}}, err)
	case *daisyhatchv1.Command_Crash:
		r, err := m.suspects.Crash(b.Crash, now)
		if err == nil {
			m.suspects.CrashParts(b.Crash, proposedAt)
		}
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Crash{Crash: r}}, err)
	case *daisyhatchv1.Command_ClearSuspects:
		m.suspects.Clear(b.ClearSuspects.GetFingerprints())
		r := &daisyhatchv1.ClearSuspectsResult{Version: m.suspects.Answered(b.ClearSuspects.GetAnswers(), proposedAt)}
		return &daisyhatchv1.Result{Body: &daisyhatchv1.Result_ClearSuspects{ClearSuspects: r}}
	case *daisyhatchv1.Command_PartTrial:
		return &daisyhatchv1.Result{Body: &daisyhatchv1.Result_PartTrial{PartTrial: m.suspects.TryPart(b.PartTrial, proposedAt)}}
	case *daisyhatchv1.Command_RunLease:
		return &daisyhatchv1.Result{Body: &daisyhatchv1.Result_RunLease{RunLease: m.suspects.LeaseRun(b.RunLease, proposedAt)}}
	case *daisyhatchv1.Command_Order:
		o, err := m.orders.Submit(b.Order, index, now)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Order{Order: &daisyhatchv1.OrderResult{Order: o}}}, err)
	case *daisyhatchv1.Command_OrderResult:
		o, err := m.orders.Result(b.OrderResult, now)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Order{Order: &daisyhatchv1.OrderResult{Order: o}}}, err)
	case nil:
		return &daisyhatchv1.Result{}
	default:
		return m.oneOfFleet(c, now)
	}
}

// oneOfFleet applies a single command of the VMs of a fleet.
func (m *Machine) oneOfFleet(c *daisyhatchv1.Command, now int64) *daisyhatchv1.Result {
	switch b := c.GetBody().(type) {
	case *daisyhatchv1.Command_Revision:
		r, err := m.revisions.Publish(b.Revision)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Revision{Revision: r}}, err)
	case *daisyhatchv1.Command_Domain:
		r, err := m.revisions.Domain(b.Domain)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Domain{Domain: r}}, err)
	case *daisyhatchv1.Command_StageOwner:
		r, err := m.stageOwners.Apply(b.StageOwner)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_StageOwner{StageOwner: r}}, err)
	case *daisyhatchv1.Command_Departure:
		r, err := m.departures.Apply(b.Departure, now)
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Departure{Departure: r}}, err)
	case *daisyhatchv1.Command_Rollout:
		r, err := m.rollouts.Apply(b.Rollout, cmp.Or(c.GetTimeUnixMs(), now))
		return orFailed(&daisyhatchv1.Result{Body: &daisyhatchv1.Result_Rollout{Rollout: r}}, err)
	default:
		return failed(fmt.Errorf("%w: unknown body", ErrCommand))
	}
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &daisyhatchv1.MachineSnapshot{
		Format:          snapshotFormat,
		Index:           m.index,
		NowUnixMs:       m.clock.nowMs,
		Stamps:          m.clock.stamps,
		Publication:     m.publication.Snapshot(),
		Leases:          m.leases.All(),
		Ledger:          m.ledger.Snapshot(),
		Suspects:        m.suspects.Records(),
		SuspectsVersion: m.suspects.Version(),
		Parts:           m.suspects.PartsSnapshot(),
		Orders:          m.orders.Snapshot(),
		Revision:        m.revisions.Snapshot(),
		StageOwners:     m.stageOwners.Snapshot(),
		Departures:      m.departures.Since(0),
	}
	s.Rollouts, s.RolloutNumber, s.RolloutChanges = m.rollouts.Snapshot()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("fsm: encode snapshot: %w", err)
	}
	return data, nil
}

// Restore implements replica.StateMachine. It returns ErrSnapshot, and leaves the state as it was, when data isn't
// a snapshot of a known format.
func (m *Machine) Restore(data []byte) error {
	s := &daisyhatchv1.MachineSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if s.GetFormat() != snapshotFormat {
		return fmt.Errorf("%w: format %d, known is %d", ErrSnapshot, s.GetFormat(), snapshotFormat)
	}
	n, err := fromSnapshot(s)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clock = n.clock
	m.index = n.index
	m.publication = n.publication
	m.leases = n.leases
	m.ledger = n.ledger
	m.suspects = n.suspects
	m.orders = n.orders
	m.revisions = n.revisions
	m.stageOwners = n.stageOwners
	m.departures = n.departures
	m.rollouts = n.rollouts
	m.restored = true
	m.ended = true
	m.publishView()
	return nil
}

func fromSnapshot(s *daisyhatchv1.MachineSnapshot) (*Machine, error) {
	m := New()
	m.index = s.GetIndex()
	m.clock = clock{nowMs: s.GetNowUnixMs(), stamps: s.GetStamps()}
	m.revisions = revision.Restore(s.GetRevision())
	m.departures = departure.Restore(s.GetDepartures())
	var errs [7]error
	m.publication, errs[0] = publication.Restore(s.GetPublication())
	m.leases, errs[1] = lease.Restore(s.GetLeases())
	m.ledger, errs[2] = ledger.Restore(s.GetLedger())
	m.suspects, errs[3] = suspect.Restore(s.GetSuspects(), s.GetParts(), s.GetSuspectsVersion())
	m.orders, errs[4] = order.Restore(s.GetOrders())
	m.stageOwners, errs[5] = stageowner.Restore(s.GetStageOwners())
	m.rollouts, errs[6] = rollout.Restore(s.GetRollouts(), s.GetRolloutNumber(), s.GetRolloutChanges())
	return m, errors.Join(errs[:]...)
}

// proposer names the clock of a command.
func proposer(c *daisyhatchv1.Command) string {
	if c.GetProposer() != "" {
		return c.GetProposer()
	}
	if b := c.GetBatch().GetCommands(); len(b) > 0 {
		return b[0].GetLease().GetHolder()
	}
	return c.GetLease().GetHolder()
}
