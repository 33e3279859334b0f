// Package revision decides which configuration document is in force, by the highest version, and which failure
// domains are out of service. It is pure and deterministic: part of the replicated state machine.
package revision

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ErrCommand means that a command is malformed; nothing was changed.
var ErrCommand = errors.New("revision: malformed command")

// maxName is the longest name of a failure domain in bytes.
const maxName = 256

// State is what is in force. It must not be changed by readers.
type State struct {
	// Version and Document are of the configuration in force; 0 and nil while there is none.
	Version  uint64
	Document []byte
	// DomainsOut are the failure domains out of service, sorted.
	DomainsOut []string
	// Number grows with each change.
	Number uint64
}

// Store holds the state. It isn't safe for concurrent use.
type Store struct {
	state State
	// changedAt is the number of the latest change of each failure domain that was ever out.
	changedAt map[string]uint64
}

// New returns an empty Store.
func New() *Store { return &Store{changedAt: make(map[string]uint64)} }

// State returns what is in force.
func (s *Store) State() State { return s.state }

// Publish puts a document in force when its version is higher than the one in force. A lower or equal version changes
// nothing, whatever the document says, so that resends and overtaken changes have one outcome.
func (s *Store) Publish(c *daisyhatchv1.RevisionCommand) (*daisyhatchv1.RevisionResult, error) {
	if c.GetVersion() == 0 || len(c.GetDocument()) == 0 {
		return nil, fmt.Errorf("%w: version %d with %d bytes", ErrCommand, c.GetVersion(), len(c.GetDocument()))
	}
	outcome := daisyhatchv1.RevisionOutcome_REVISION_OUTCOME_OVERTAKEN
	if c.GetVersion() > s.state.Version {
		s.state.Version, s.state.Document = c.GetVersion(), c.GetDocument()
		s.state.Number++
		outcome = daisyhatchv1.RevisionOutcome_REVISION_OUTCOME_ACCEPTED
	}
	return &daisyhatchv1.RevisionResult{Outcome: outcome, VersionInForce: s.state.Version}, nil
}

// Domain takes a failure domain out of service or back in. Repeating a command changes nothing. A command with a base is overtaken
// by a change of the same failure domain after it: whoever gave the order has been told of a later one since.
func (s *Store) Domain(c *daisyhatchv1.DomainCommand) (*daisyhatchv1.DomainResult, error) {
	name := c.GetFailureDomain()
	if name == "" || len(name) > maxName {
		return nil, fmt.Errorf("%w: failure domain %q", ErrCommand, name)
	}
	i, out := slices.BinarySearch(s.state.DomainsOut, name)
	if out == c.GetOut() {
		return &daisyhatchv1.DomainResult{}, nil
	}
	// Replicas of builds that don't know the base carry the command out, and must count alike.
	s.state.Number++
	if c.BaseNumber != nil && s.changedAt[name] > c.GetBaseNumber() {
		return &daisyhatchv1.DomainResult{Overtaken: true}, nil
	}
	s.changedAt[name] = s.state.Number
	domains := slices.Clone(s.state.DomainsOut)
	if c.GetOut() {
		domains = slices.Insert(domains, i, name)
	} else {
		domains = slices.Delete(domains, i, i+1)
	}
	s.state.DomainsOut = domains
	return &daisyhatchv1.DomainResult{Changed: true}, nil
}

// Snapshot returns the whole state.
func (s *Store) Snapshot() *daisyhatchv1.RevisionSnapshot {
	return &daisyhatchv1.RevisionSnapshot{
		Version: s.state.Version, Document: s.state.Document, DomainsOut: s.state.DomainsOut, Number: s.state.Number,
		DomainChanges: maps.Clone(s.changedAt),
	}
}

// Restore returns the Store of a snapshot; a missing one is empty.
func Restore(s *daisyhatchv1.RevisionSnapshot) *Store {
	out := New()
	out.state = State{Version: s.GetVersion(), Document: s.GetDocument(), DomainsOut: s.GetDomainsOut(), Number: s.GetNumber()}
	maps.Copy(out.changedAt, s.GetDomainChanges())
	return out
}
