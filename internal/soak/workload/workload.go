// Package workload is what callers, operators and stand-in backend servers do to a system under test, in memory or as
// processes. Everything that they see goes to an oracle.
package workload

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
)

// Keys of a run.
const (
	BootstrapKey = "bootstrap"
	announceKey  = "announce"
	callerKey    = "caller"
	OperatorKey  = "operator"
)

// idleTimeout closes connections that nobody uses.
const idleTimeout = 5 * time.Second

// Dial connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// System is the system under test as its callers, operators and backend servers reach it.
type System struct {
	Oracle *oracle.Oracle
	// Entries returns the base URLs of the VMs that the platform's balancer near a host would pick now.
	Entries func(host string) []string
	// Broke, unless nil, is told of each connection to an entry VM that broke during a call begun at a time.
	Broke func(entry string, begun time.Time, err error)
	// Operators are the base URLs of the operators' interfaces.
	Operators []string
	// Dialer returns how a host with an IP number connects.
	Dialer func(host string) Dial
	// Listen takes a backend server's address.
	Listen func(address string) (net.Listener, error)
	// ServerAddress is the address of the n-th backend server, counted from 1, in a failure domain.
	ServerAddress func(n int, domain string) string
	// Stop is closed when the run ends.
	Stop chan struct{}

	// background counts what runs until Stop is closed.
	background sync.WaitGroup
}

// Wait returns when all that runs until Stop is closed has ended.
func (s *System) Wait() { s.background.Wait() }

func (s *System) client(host string, timeout time.Duration) *http.Client {
	tr := &http.Transport{DialContext: s.Dialer(host), IdleConnTimeout: idleTimeout}
	return &http.Client{Transport: tr, Timeout: timeout}
}
