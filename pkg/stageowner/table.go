// Package stageowner decides which control VM makes the stage calls of a service. The replicated Table holds one owner with a
// term for each service; Plan computes the changes that the leader proposes. There must be a single owner because a stage
// server runs one call at a time, and a second caller finds it busy. The control group decides about it because a VM that
// judges by itself takes slow VMs for lost ones just when load is highest. Both parts are deterministic and do no I/O.
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
	// ErrCommand means that a command is malformed; the Table is unchanged.
	ErrCommand = errors.New("stageowner: malformed command")
	// ErrSnapshot means that a snapshot is invalid.
	ErrSnapshot = errors.New("stageowner: bad snapshot")
)

// Limits of the Table.
const (
	// maxServices is the maximum number of services with an entry.
	maxServices = 4_096
	// maxNameBytes is the maximum length of a service's name or an address in bytes.
	maxNameBytes = 256
)

// Owner is the control VM that makes the stage calls of a service.
type Owner struct {
	Service string
	// Address is the peer address; empty while the service has no owner.
	Address string
	// Term increases by one with each change.
	Term uint64
	// Orderly is true if the previous owner is alive and finishes the jobs that it has.
	Orderly bool
}

// FromWire converts a protobuf message to an Owner.
func FromWire(o *daisyhatchv1.StageOwner) Owner {
	return Owner{Service: o.GetService(), Address: o.GetAddress(), Term: o.GetTerm(), Orderly: o.GetOrderly()}
}

// ToWire converts an Owner to a protobuf message.
func (o Owner) ToWire() *daisyhatchv1.StageOwner {
	return &daisyhatchv1.StageOwner{Service: o.Service, Address: o.Address, Term: o.Term, Orderly: o.Orderly}
}

// Table holds the owners of all services as part of the replicated state. It is not safe for concurrent use.
type Table struct {
	// owners is sorted by service. Each change replaces the slice, so that readers may keep it.
	owners []Owner
}

// New returns an empty Table.
func New() *Table { return &Table{} }

// Owners returns all owners sorted by service. The slice must not be modified.
func (t *Table) Owners() []Owner { return t.owners }

// Apply changes the owner of a service. The result is not accepted if the command's base term is not the current one.
// Errors: ErrCommand if a name is empty or too long, or if there are too many services.
func (t *Table) Apply(c *daisyhatchv1.StageOwnerCommand) (*daisyhatchv1.StageOwnerResult, error) {
	if n := len(c.GetService()); n == 0 || n > maxNameBytes || len(c.GetAddress()) > maxNameBytes {
		return nil, fmt.Errorf("%w: service name of %d bytes, address of %d bytes", ErrCommand, n, len(c.GetAddress()))
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

// Snapshot returns all owners sorted by service.
func (t *Table) Snapshot() []*daisyhatchv1.StageOwner {
	out := make([]*daisyhatchv1.StageOwner, 0, len(t.owners))
	for _, o := range t.owners {
		out = append(out, o.ToWire())
	}
	return out
}

// Restore returns the Table of a snapshot. Errors: ErrSnapshot if services are unsorted, duplicate or too many.
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
