package fsm

import (
	"slices"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/ledger"
	"github.com/daisyhatch/daisyhatch/pkg/revision"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// View is what watchers are told of. The messages must not be changed.
type View struct {
	InForce  *daisyhatchv1.ConfigurationVersion
	Suspects []*daisyhatchv1.Suspect
	// SuspectsNumber grows with each change of Suspects.
	SuspectsNumber uint64
	// SuspectsVersion is the same on all control VMs that applied the same log.
	SuspectsVersion uint64
	// Leases are by name.
	Leases []*daisyhatchv1.Lease
	// LeasesNumber grows with each change of a lease's holder.
	LeasesNumber uint64
	// Revision is the document in force where documents are published by version, and the failure domains out of service.
	Revision revision.State
	// StageOwners are the owners of stage calls by service.
	StageOwners []stageowner.Owner
	// StageOwnersNumber grows with each change of StageOwners.
	StageOwnersNumber uint64
	// DeparturesNumber grows with each departure of a backend server that is recorded.
	DeparturesNumber uint64
	// Rollouts are the latest roll-outs of services, and RolloutsNumber counts the changes of their phases.
	Rollouts       []*daisyhatchv1.Rollout
	RolloutsNumber uint64
}

// publishView wakes those that wait on Changed when the view differs.
func (m *Machine) publishView() {
	old := m.view
	m.suspects.Expire(m.clock.nowMs)
	m.view.InForce = m.publication.InForce()
	if n := m.suspects.Changes(); n != m.seenSuspects || m.restored {
		m.seenSuspects = n
		m.view.Suspects = m.suspectList()
		m.view.SuspectsNumber++
		m.view.SuspectsVersion = m.suspects.Version()
	}
	if n := m.leases.Changes(); n != m.seenLeases || m.restored {
		m.seenLeases = n
		m.view.Leases = cloneLeases(m.leases.All())
		m.view.LeasesNumber++
	}
	if o := m.stageOwners.Owners(); !slices.Equal(o, m.view.StageOwners) {
		m.view.StageOwners = o
		m.view.StageOwnersNumber++
	}
	m.restored = false
	m.view.Revision = m.revisions.State()
	m.view.DeparturesNumber = m.departures.Number()
	m.view.Rollouts, m.view.RolloutsNumber = m.rollouts.Rollouts(), m.rollouts.Changes()
	same := old.InForce == m.view.InForce && old.SuspectsNumber == m.view.SuspectsNumber &&
		old.LeasesNumber == m.view.LeasesNumber && old.Revision.Number == m.view.Revision.Number &&
		old.StageOwnersNumber == m.view.StageOwnersNumber && old.DeparturesNumber == m.view.DeparturesNumber &&
		old.RolloutsNumber == m.view.RolloutsNumber
	if !same {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	if m.ended {
		m.ended = false
		close(m.completed)
		m.completed = make(chan struct{})
	}
}

func (m *Machine) suspectList() []*daisyhatchv1.Suspect {
	var out []*daisyhatchv1.Suspect
	for _, r := range m.suspects.Records() {
		out = append(out, proto.CloneOf(r.GetSuspect()))
	}
	return append(out, m.suspects.Parts()...)
}

func cloneLeases(leases []*daisyhatchv1.Lease) []*daisyhatchv1.Lease {
	out := make([]*daisyhatchv1.Lease, 0, len(leases))
	for _, l := range leases {
		out = append(out, proto.CloneOf(l))
	}
	return out
}

// View returns the current view and a channel that is closed when it changes.
func (m *Machine) View() (View, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.changed
}

// History returns up to limit versions without text, newest first.
func (m *Machine) History(limit int) []*daisyhatchv1.ConfigurationVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.publication.History(limit)
}

// Version returns a version with its text; publication.ErrNoVersion when the text is not kept.
// Making the text takes a while for an old version, and holds no command up.
func (m *Machine) Version(version uint64) (*daisyhatchv1.ConfigurationVersion, error) {
	m.mu.Lock()
	past, err := m.publication.StoredVersion(version)
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return past.Configuration()
}

// Lease returns a copy of a lease; nil when it was never acquired.
func (m *Machine) Lease(name string) *daisyhatchv1.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	return proto.CloneOf(m.leases.Get(name))
}

// Orders returns copies of the standing orders by ID.
func (m *Machine) Orders() []*daisyhatchv1.Order {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*daisyhatchv1.Order
	for _, o := range m.orders.All() {
		out = append(out, proto.CloneOf(o))
	}
	return out
}

// DeparturesSince returns the departures recorded after the one with a number. They must not be changed.
func (m *Machine) DeparturesSince(number uint64) []*daisyhatchv1.Departure {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.Since(number)
}

// DepartureKnown reports whether this or a later state of a server is recorded.
func (m *Machine) DepartureKnown(s *daisyhatchv1.AnnouncedServer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.departures.Known(s)
}

// Claim returns the state of a claim, nil when its key is not recorded, and a channel that is closed when claims end.
func (m *Machine) Claim(k ledger.Key) (*daisyhatchv1.ClaimResult, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Lookup(k, m.clock.nowMs), m.completed
}

// NowMs returns the replicated time in Unix milliseconds.
func (m *Machine) NowMs() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.nowMs
}
