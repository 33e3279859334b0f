package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/inifile"
)

// Names of sections.
const (
	sectionVM       = "vm"
	sectionListen   = "listen"
	sectionControl  = "control"
	sectionPeer     = "peer"
	sectionTLS      = "tls"
	sectionLimits   = "limits"
	sectionShutdown = "shutdown"
	sectionLog      = "log"
)

// sections returns the keys of all sections by header, but for those of [peer "name"].
func (s *Settings) sections() map[string]inifile.Fields {
	all := map[string]inifile.Fields{
		sectionVM:       s.VM.fields(),
		sectionListen:   s.Listen.fields(),
		sectionControl:  s.Control.fields(),
		sectionLimits:   s.Limits.fields(),
		sectionShutdown: s.Shutdown.fields(),
		sectionLog:      {"level": inifile.OneOf(&s.Log.Level, "error", "info", "debug")},
	}
	for _, c := range s.certificates() {
		all[c.header()] = c.cert.fields()
	}
	return all
}

type namedCertificate struct {
	name string
	cert *Certificate
}

func (c namedCertificate) header() string { return inifile.Header(sectionTLS, c.name) }

const tlsPeers = "peers"

func (s *Settings) certificates() []namedCertificate {
	return []namedCertificate{
		{"callers", &s.TLS.Callers},
		{tlsPeers, &s.TLS.Peers},
		{"operators", &s.TLS.Operators},
		{"ops", &s.TLS.Ops},
	}
}

func (v *VM) fields() inifile.Fields {
	roles := inifile.Field{Set: func(value string) error {
		v.Roles = nil
		for _, r := range inifile.SplitList(value) {
			if r != string(RoleEntry) && r != string(RoleControl) {
				return fmt.Errorf("%q is not one of %s, %s", r, RoleEntry, RoleControl)
			}
			if v.has(Role(r)) {
				return fmt.Errorf("%q is listed twice", r)
			}
			v.Roles = append(v.Roles, Role(r))
		}
		return nil
	}}
	return inifile.Fields{
		"name":             inifile.String(&v.Name).Must(),
		"failure-domain":   inifile.String(&v.FailureDomain).Must(),
		"region":           inifile.String(&v.Region),
		"roles":            roles.Must(),
		"data-dir":         inifile.String(&v.DataDir),
		"incarnation-file": inifile.String(&v.IncarnationFile),
	}
}

func (l *Listen) fields() inifile.Fields {
	return inifile.Fields{
		"callers":   inifile.Address(&l.Callers),
		"peers":     inifile.Address(&l.Peers),
		"operators": inifile.Address(&l.Operators),
		"ops":       inifile.Address(&l.Ops).Must(),
		"readiness": inifile.Address(&l.Readiness),
	}
}

func (c *Control) fields() inifile.Fields {
	return inifile.Fields{
		"addresses":                   inifile.Addresses(&c.Addresses),
		"join":                        inifile.Bool(&c.Join),
		"bootstrap-operator-key-hash": inifile.Hash(&c.BootstrapKeyHash),
		"heartbeat-interval":          inifile.Duration(&c.HeartbeatInterval, 10*time.Millisecond, time.Minute),
		"election-timeout":            inifile.Duration(&c.ElectionTimeout, 50*time.Millisecond, time.Minute),
	}
}

func (c *Certificate) fields() inifile.Fields {
	return inifile.Fields{
		"cert":           inifile.String(&c.Cert),
		"key":            inifile.String(&c.Key),
		"ca":             inifile.String(&c.CA),
		"require-client": inifile.Bool(&c.RequireClient),
	}
}

func (l *Limits) fields() inifile.Fields {
	return inifile.Fields{
		"max-header":      inifile.Int(&l.MaxHeader, 1024, maxHeaderLimit),
		"max-body":        inifile.Int(&l.MaxBody, 1024, maxBodyLimit),
		"header-timeout":  inifile.Duration(&l.HeaderTimeout, time.Millisecond, maxDuration),
		"body-timeout":    inifile.Duration(&l.BodyTimeout, time.Millisecond, maxDuration),
		"idle-timeout":    inifile.Duration(&l.IdleTimeout, time.Millisecond, maxDuration),
		"write-timeout":   inifile.Duration(&l.WriteTimeout, time.Millisecond, maxDuration),
		"max-connections": inifile.Int(&l.MaxConnections, 1, maxCount),
		"memory":          inifile.Int(&l.Memory, minMemory, maxCount),
	}
}

func (s *Shutdown) fields() inifile.Fields {
	return inifile.Fields{
		"balancer-delay": inifile.Duration(&s.BalancerDelay, 0, maxDuration),
		"stop-limit":     inifile.Duration(&s.StopLimit, 0, maxDuration),
	}
}

func compareProblems(a, b Problem) int {
	if c := strings.Compare(a.Section, b.Section); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}
