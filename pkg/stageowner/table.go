// Package stageowner decides which control VM forms the stage calls of a service. The replicated Table holds one owner a
// service with a term; Plan is the leader's choice of the next change. The load pattern that it answers: a stage server
// runs one call at a time, so that a second VM that calls it finds it full, and a VM that judges by itself who is lost
// takes late ones for lost just when load is highest. Both parts are pure.
package stageowner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; nothing was changed.
	ErrCommand = errors.New("stageowner: malformed command")
	// ErrSnapshot means that a snapshot contradicts itself.
	ErrSnapshot = errors.New("stageowner: bad snapshot")
)

// Limits of the state.
const (
	// maxServices is the count of services that may have an owner.
	maxServices = 4_096
	// maxName is the size of a service's name or an address in bytes.
	maxName = 256
)

// Owner is the control VM that forms a service's calls.
type Owner struct {
	Service string
	// Address is the peer address; empty while the service has no owner.
	Address string
	// Term grows with each change.
	Term uint64
	// Orderly is true when the owner before lives and finishes the jobs that it has.
	Orderly bool
}

// FromWire reads an owner.
func FromWire(o *daisyhatchv1.StageOwner) Owner {
	return Owner{Service: o.GetService(), Address: o.GetAddress(), Term: o.GetTerm(), Orderly: o.GetOrderly()}
}

// ToWire writes an owner.
func (o Owner) ToWire() *daisyhatchv1.StageOwner {
	return &daisyhatchv1.StageOwner{Service: o.Service, Address: o.Address, Term: o.Term, Orderly: o.Orderly}
}

// Table holds the owners of all services as part of the replicated state. It isn't safe for concurrent use.
type Table struct {
	// owners is replaced by each change, so that readers may keep it.
	owners []Owner
}

// New returns an empty Table.
func New() *Table { return &Table{} }

// Owners returns all owners by service; the list must not be changed.
func (t *Table) Owners() []Owner { return t.owners }

// Apply changes the owner of a service if the command was made from the term in force. Errors: ErrCommand.
func (t *Table) Apply(c *daisyhatchv1.StageOwnerCommand) (*daisyhatchv1.StageOwnerResult, error) {
	if n := len(c.GetService()); n == 0 || n > maxName || len(c.GetAddress()) > maxName {
		return nil, fmt.Errorf("%w: names of %d and %d bytes", ErrCommand, n, len(c.GetAddress()))
	}
	i, found := t.find(c.GetService())
	old := Owner{Service: c.GetService()}
	if found {
		old = t.owners[i]
	}
	if old.Term != c.GetBaseTerm() {
		return &daisyhatchv1.StageOwnerResult{InForce: old.ToWire()}, nil
	}
	if !found && len(t.owners) >= maxServices {
		return nil, fmt.Errorf("%w: more than %d services", ErrCommand, maxServices)
	}
	o := Owner{Service: c.GetService(), Address: c.GetAddress(), Term: old.Term + 1, Orderly: c.GetOrderly()}
	owners := slices.Clone(t.owners)
	if found {
		owners[i] = o
	} else {
		owners = slices.Insert(owners, i, o)
	}
	t.owners = owners
	return &daisyhatchv1.StageOwnerResult{Accepted: true, InForce: o.ToWire()}, nil
}

func (t *Table) find(service string) (int, bool) {
	return slices.BinarySearchFunc(t.owners, service, func(o Owner, s string) int { return cmp.Compare(o.Service, s) })
}

// Snapshot returns the whole state.
func (t *Table) Snapshot() []*daisyhatchv1.StageOwner {
	out := make([]*daisyhatchv1.StageOwner, 0, len(t.owners))
	for _, o := range t.owners {
		out = append(out, o.ToWire())
	}
	return out
}

// Restore returns the Table of a snapshot. Errors: ErrSnapshot when services are out of order or stand twice.
func Restore(owners []*daisyhatchv1.StageOwner) (*Table, error) {
	t := New()
	for i, o := range owners {
		if i > 0 && o.GetService() <= owners[i-1].GetService() || len(owners) > maxServices {
			return nil, fmt.Errorf("%w: service %q", ErrSnapshot, o.GetService())
		}
		t.owners = append(t.owners, FromWire(o))
	}
	return t, nil
}
