// Package settings reads the settings of one daisyhatchd process: an INI file that names the VM, its addresses,
// roles and limits. The configuration that operators publish is apart from it; see package config.
package settings

import (
	"net/netip"
	"path/filepath"
	"time"
)

// Role is a part that a VM plays.
type Role string

// Roles.
const (
	// RoleEntry serves callers and backend servers' announcements.
	RoleEntry Role = "entry"
	// RoleControl keeps the replicated state and grants work; it needs a data folder.
	RoleControl Role = "control"
)

// Settings are all settings of one process.
type Settings struct {
	// File is the file that they were read from; empty for parsed text.
	File     string
	VM       VM
	Listen   Listen
	Control  Control
	TLS      TLS
	Limits   Limits
	Shutdown Shutdown
	Log      Log
	// Fleet is set when the VM serves raw HTTP services for a platform: section [fleet].
	Fleet *Fleet
}

// VM says who this process is: section [vm].
type VM struct {
	// Name is unique in the system (key name, required).
	Name string
	// FailureDomain is one that the configuration names (key failure-domain, required).
	FailureDomain string
	// Region is the failure domain's region, for readers of the file (key region, default empty).
	Region string
	// Roles are entry, control or both (key roles, required).
	Roles []Role
	// DataDir is the folder of the state that lasts (key data-dir). Control VMs need it; on an entry VM without
	// one nothing lasts over a restart. A relative path starts at the settings file's folder.
	DataDir string
	// IncarnationFile counts this VM's starts (key incarnation-file, default incarnation in the data folder).
	// Without a data folder each start draws a random incarnation.
	IncarnationFile string
}

// Entry reports whether the VM has role entry.
func (v *VM) Entry() bool { return v.has(RoleEntry) }

// Control reports whether the VM has role control.
func (v *VM) Control() bool { return v.has(RoleControl) }

// Names of what lies in the data folder.
const (
	logDir   = "consensus"
	burnFile = "burn.db"
)

// LogDir is the folder of the replicated log.
func (v *VM) LogDir() string { return filepath.Join(v.DataDir, logDir) }

// BurnFile is the file of the service-level burn counts.
func (v *VM) BurnFile() string { return filepath.Join(v.DataDir, burnFile) }

// Listen holds the addresses on which the process listens, each IP:port: section [listen]. One that is absent
// is not Valid.
type Listen struct {
	// Callers serves the callers' interface and the announcements of backend servers (key callers); role entry needs it.
	Callers netip.AddrPort
	// Peers serves the other VMs of the system (key peers); role control needs it.
	Peers netip.AddrPort
	// Operators serves the operators' client (key operators); role control needs it.
	Operators netip.AddrPort
	// Ops serves health, readiness and metrics (key ops, required).
	Ops netip.AddrPort
	// Readiness serves the platform's questions whether the VM takes callers (key readiness, default none).
	Readiness netip.AddrPort
}

// Control tells where the control VMs are: section [control] and one [peer "name"] for each of the first voters.
type Control struct {
	// Addresses are peer addresses of control VMs (key addresses). An entry VM without role control needs one at
	// least. A control VM that joins needs them too.
	Addresses []netip.AddrPort
	// Join is true on a control VM that an operator adds to a running group (key join, default no). It starts
	// without votes and waits until the group adds it.
	Join bool
	// Peers are the voters with which a new group starts; the same on all of them.
	Peers []Peer
	// BootstrapKeyHash is the SHA-256 hash, in hex, of the key that may publish while no configuration is in force
	// (key bootstrap-operator-key-hash, default none).
	BootstrapKeyHash string
	// HeartbeatInterval is the leader's interval (key heartbeat-interval, default 100ms).
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least silence after which a voter stands for election (key election-timeout,
	// default 500ms). It is 3 heartbeat intervals at least.
	ElectionTimeout time.Duration
}

// PeerAddress is the address at which other VMs reach this one's peer listener.
func (s *Settings) PeerAddress() netip.AddrPort {
	for _, p := range s.Control.Peers {
		if p.Name == s.VM.Name {
			return p.Address
		}
	}
	return s.Listen.Peers
}

// Peer is one of the first voters: section [peer "name"].
type Peer struct {
	Name string
	// Address is its peer address (key address, required).
	Address netip.AddrPort
}

// TLS holds the certificates of each listener: sections [tls "callers"], "peers", "operators" and "ops". A listener
// without a section speaks plain text.
type TLS struct {
	Callers   Certificate
	Peers     Certificate
	Operators Certificate
	Ops       Certificate
}

// Certificate names the files of one listener. They are read again when they change.
type Certificate struct {
	// Cert and Key are PEM files (keys cert and key).
	Cert string
	Key  string
	// CA is a PEM file with the authorities of the other side (key ca). On listener peers it makes TLS mutual.
	CA string
	// RequireClient refuses clients without a certificate of CA (key require-client, default no; always yes on
	// listener peers).
	RequireClient bool
}

// Enabled reports whether a certificate is set.
func (c Certificate) Enabled() bool { return c.Cert != "" }

// Limits bounds what others can make the process hold: section [limits].
type Limits struct {
	// MaxHeader is the largest header of a request in bytes (key max-header, default 16384).
	MaxHeader int
	// MaxBody is the largest body of a request in bytes (key max-body, default 1048576).
	MaxBody int64
	// HeaderTimeout is the longest time for a request's header (key header-timeout, default 5s).
	HeaderTimeout time.Duration
	// BodyTimeout is the longest time for a request's body (key body-timeout, default 10s).
	BodyTimeout time.Duration
	// IdleTimeout closes connections without a request (key idle-timeout, default 60s).
	IdleTimeout time.Duration
	// WriteTimeout is the longest time that a caller may take to accept written bytes (key write-timeout, default 10s).
	WriteTimeout time.Duration
	// MaxConnections is the most connections of callers at once (key max-connections, default 4096).
	MaxConnections int
	// Memory is the memory of the VM in MiB (key memory, default 0: not known, and what clients send is bounded by nothing but the
	// limits of each request).
	Memory int
}

// Shutdown sets how the process stops: section [shutdown].
type Shutdown struct {
	// BalancerDelay is the time from the readiness going off until the listeners close (key balancer-delay,
	// default 5s): longer than the platform's balancer needs to notice.
	BalancerDelay time.Duration
	// StopLimit is the longest time for requests in flight (key stop-limit, default 60s). What still runs then
	// is reported.
	StopLimit time.Duration
}

// Log sets the log: section [log].
type Log struct {
	// Level is error, info or debug (key level, default info).
	Level string
}
