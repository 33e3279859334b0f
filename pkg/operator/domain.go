package operator

import (
	"errors"
	"fmt"

	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// maxDomainTries bounds how often a domain's change is made again on a newer version.
const maxDomainTries = 5

type takeOutCmd struct {
	changeFlags
	FailureDomain string `arg:"" help:"Name of the failure domain."`
}

// Help shows examples.
func (takeOutCmd) Help() string {
	return `Publishes the version in force with nothing changed but the domain's state. When another operator publishes
at the same moment, the change is made again on the newer version. Once the change is in force, no new work starts
in the domain after a few seconds, also from VMs that hear nothing; work in flight finishes.

Examples:
  daisyhatch take-out tas-south-b -m "power work" --wait
  daisyhatch status`
}

// Run takes the domain out.
func (t *takeOutCmd) Run(s *session) error {
	return s.setDomain(&t.changeFlags, t.FailureDomain, true)
}

type bringBackCmd struct {
	changeFlags
	FailureDomain string `arg:"" help:"Name of the failure domain."`
}

// Help shows examples.
func (bringBackCmd) Help() string {
	return `Publishes the version in force with nothing changed but the domain's state. Its backend servers count as
cold at first and get more work as they prove warm.

Examples:
  daisyhatch bring-back tas-south-b -m "power is back" --wait`
}

// Run brings the domain back.
func (b *bringBackCmd) Run(s *session) error {
	return s.setDomain(&b.changeFlags, b.FailureDomain, false)
}

func (s *session) setDomain(f *changeFlags, domain string, out bool) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		done, err := s.tryDomain(c, f, domain, out)
		if err == nil {
			return s.accepted(c, f, done)
		}
		if !errors.Is(err, ErrConflict) || try == maxDomainTries {
			return err
		}
		fprintf(s.err, "%v; trying again on the newer version\n", err)
		f.ChangeID = "" // a conflict is that ID's final outcome
	}
}

func (s *session) tryDomain(c *client, f *changeFlags, domain string, out bool) (publication, error) {
	current, err := getConfiguration(s.ctx, c, 0)
	if err != nil {
		return publication{}, err
	}
	edited, err := config.SetDomainState(current.GetConfiguration(), domain, out)
	if err != nil {
		return publication{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if string(edited) == string(current.GetConfiguration()) {
		return publication{ChangeID: f.ChangeID, Version: current.GetVersion(), Unchanged: true}, nil
	}
	return s.publish(c, f, current.GetVersion(), edited)
}
