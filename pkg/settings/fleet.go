package settings

import (
	"net/netip"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

const sectionFleet = "fleet"

// Fleet is section [fleet]: how the VM finds the others and what the platform asks of the system.
type Fleet struct {
	// Interface names the module that speaks the platform's formats (key interface, required).
	Interface string
	// Seeds are operators' addresses of some control VMs (key seeds). All VMs use the same ports, so that the peer
	// address follows from the IP address.
	Seeds []netip.AddrPort
	// FirstStart is true when the whole system starts for the first time (key first-start, default no).
	FirstStart bool
	// LossesBorne is how many control VMs may lose their disks at once (key losses-borne, default 1). The group has
	// twice as many voters and one more.
	LossesBorne int
	// RetryRatio, RetryWindow and RetryExtra bound the calls beyond the first of each request that a service gets in
	// a window from all VMs (keys retry-ratio, retry-window, retry-extra).
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// RetryLent is the part of this VM's share of RetryExtra that is lent to the VMs that need it (key retry-lent, default 0:
	// none), as long as the share is small.
	RetryLent float64
	// ColdOverrun and ColdExtra bound what a cold server gets in a second from all VMs: its rate times the overrun, and
	// the extra (keys cold-overrun, cold-extra).
	ColdOverrun float64
	ColdExtra   float64
	// RolloutShare and RolloutExtra bound what a version on trial gets from all VMs until it was found good: a share of the
	// requests of its service since the order, and the extra (keys rollout-share, rollout-extra). Without rollout-share,
	// roll-outs can't be ordered.
	RolloutShare float64
	RolloutExtra float64
}

// Rollouts reports whether roll-outs are configured.
func (f *Fleet) Rollouts() bool { return f.RolloutShare > 0 }

// Defaults of Fleet.
const (
	defaultLossesBorne = 1
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultRetryExtra  = 10
	defaultColdOverrun = 1
)

func defaultFleet() Fleet {
	return Fleet{
		LossesBorne: defaultLossesBorne, RetryRatio: defaultRetryRatio,
		RetryWindow: defaultRetryWindow, RetryExtra: defaultRetryExtra, ColdOverrun: defaultColdOverrun,
	}
}

func (f *Fleet) fields() inifile.Fields {
	return inifile.Fields{
		"interface":    inifile.String(&f.Interface).Must(),
		"seeds":        inifile.Addresses(&f.Seeds),
		"first-start":  inifile.Bool(&f.FirstStart),
		"losses-borne": inifile.Int(&f.LossesBorne, 0, 10),
		"retry-ratio":  inifile.Float(&f.RetryRatio, 0, 100),
		"retry-window": inifile.Duration(&f.RetryWindow, time.Second, maxDuration),
		"retry-extra":  inifile.Float(&f.RetryExtra, 0, maxCount),
		"retry-lent":   inifile.Float(&f.RetryLent, 0, 0.9),
		"cold-overrun": inifile.Float(&f.ColdOverrun, 0, 100),
		"cold-extra":   inifile.Float(&f.ColdExtra, 0, maxCount),

		"rollout-share": inifile.Float(&f.RolloutShare, 0, 1),
		"rollout-extra": inifile.Float(&f.RolloutExtra, 0, maxCount),
	}
}

// validateFleet reports what a VM of a fleet lacks.
func (p *parser) validateFleet() {
	f, section := p.settings.Fleet, p.seen[sectionFleet]
	if len(f.Seeds) == 0 {
		p.report(section, "seeds", "the addresses of some control VMs are missing")
	}
	if !p.settings.Listen.Peers.IsValid() {
		p.report(p.seen[sectionListen], "peers", "a VM of a fleet needs an address for peers")
	}
}
