package settings

import (
	"net/netip"
	"slices"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// validate reports contradictions between keys.
func (p *parser) validate() {
	p.validateRoles()
	if p.settings.Fleet != nil {
		p.validateFleet()
	} else {
		p.validateControl()
	}
	p.validateListeners()
	p.validateTLS()
}

func (p *parser) validateRoles() {
	vm, listen := p.seen[sectionVM], p.seen[sectionListen]
	s := p.settings
	if s.VM.Entry() && !s.Listen.Callers.IsValid() {
		p.report(listen, "callers", "role entry needs an address for callers")
	}
	if !s.VM.Control() {
		return
	}
	if s.VM.DataDir == "" {
		p.report(vm, "data-dir", "role control needs a data folder")
	}
	if !s.Listen.Peers.IsValid() {
		p.report(listen, "peers", "role control needs an address for peers")
	}
	if !s.Listen.Operators.IsValid() {
		p.report(listen, "operators", "role control needs an address for operators")
	}
}

func (p *parser) validateControl() {
	s, section := p.settings, p.seen[sectionControl]
	c := &s.Control
	if c.ElectionTimeout < 3*c.HeartbeatInterval {
		p.report(section, "election-timeout", "%v is below 3 heartbeat intervals of %v", c.ElectionTimeout, c.HeartbeatInterval)
	}
	needsAddresses := !s.VM.Control() || c.Join
	if needsAddresses && len(c.Addresses) == 0 {
		p.report(section, "addresses", "the control VMs' peer addresses are missing")
	}
	if c.Join && !s.VM.Control() {
		p.report(section, "join", "only a VM of role control joins the control group")
	}
	if c.Join && len(c.Peers) > 0 {
		p.report(section, "join", "a VM that joins a running group has no [peer] sections")
	}
	if s.VM.Control() && !c.Join {
		p.validatePeers()
	}
}

func (p *parser) validatePeers() {
	s := p.settings
	own := slices.IndexFunc(s.Control.Peers, func(x Peer) bool { return x.Name == s.VM.Name })
	if own < 0 {
		p.report(p.seen[sectionVM], "name", "no [peer %q] section: the first voters list themselves", s.VM.Name)
	}
	for i, x := range s.Control.Peers {
		section := p.seen[inifile.Header(sectionPeer, x.Name)]
		if x.Address.Addr().IsUnspecified() || x.Address.Port() == 0 {
			p.report(section, "address", "%s can't be reached by others", x.Address)
		}
		for _, y := range s.Control.Peers[:i] {
			if x.Address == y.Address && x.Address.IsValid() {
				p.report(section, "address", "%s is the address of peer %q already", x.Address, y.Name)
			}
		}
	}
}

func (p *parser) validateListeners() {
	l := &p.settings.Listen
	names := []string{"callers", "peers", "operators", "ops", "readiness"}
	addresses := []netip.AddrPort{l.Callers, l.Peers, l.Operators, l.Ops, l.Readiness}
	for i, a := range addresses {
		for j, b := range addresses[:i] {
			if a.IsValid() && b.IsValid() && sameAddress(a, b) {
				p.report(p.seen[sectionListen], names[i], "%s is the address of %s already", a, names[j])
			}
		}
	}
}

func (p *parser) validateTLS() {
	for _, c := range p.settings.certificates() {
		section := p.seen[c.header()]
		if section == nil {
			continue
		}
		if c.cert.Cert == "" || c.cert.Key == "" {
			p.report(section, "cert", "cert and key are both needed")
		}
		if c.name == tlsPeers && c.cert.CA == "" {
			p.report(section, "ca", "TLS between VMs is mutual and needs a ca")
		}
		if c.cert.RequireClient && c.cert.CA == "" {
			p.report(section, "require-client", "client certificates can't be verified without a ca")
		}
		if c.name == tlsPeers {
			c.cert.RequireClient = true
		}
	}
}

// sameAddress reports whether two listeners would want the same port of the same address.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}
