// Package memnet is an in-memory network for tests: hosts by IP number, TCP-like connections between them, and
// faults on the links. It blocks on channels only, so that it works under testing/synctest.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// dialTimeout is how long connecting to a silent host takes to fail, as the daemon's own dialer has it.
const dialTimeout = time.Second

// Fault is what a link does to traffic.
type Fault int

// Faults.
const (
	// None lets traffic through.
	None Fault = iota
	// Refuse fails new connections at once and resets open ones.
	Refuse
	// Silence drops everything without a word: open connections hang, new ones time out.
	Silence
	// SilenceOpen drops traffic of connections that were open when the fault began; new ones work.
	SilenceOpen
)

type link struct{ from, to string }

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	// Latency is the one-way delay of connecting.
	Latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	faults    map[link]Fault
	isolated  map[string]Fault
	conns     map[*conn]struct{}
}

// New returns a Network without hosts.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		faults:    make(map[link]Fault),
		isolated:  make(map[string]Fault),
		conns:     make(map[*conn]struct{}),
	}
}

// Listen listens on address, an IP:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, fmt.Errorf("memnet: %s: %w", address, syscall.EADDRINUSE)
	}
	l := &listener{net: n, address: address, backlog: make(chan *conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a function that connects from host, an IP number.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	if n.Latency > 0 {
		select {
		case <-time.After(n.Latency):
		case <-ctx.Done():
			return nil, dialError(address, ctx.Err())
		}
	}
	target, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, dialError(address, err)
	}
	n.mu.Lock()
	fault := n.faultLocked(link{host, target})
	back := n.faultLocked(link{target, host})
	l, ok := n.listeners[address]
	n.mu.Unlock()
	switch {
	case fault == Silence || back == Silence:
		select {
		case <-ctx.Done():
			return nil, dialError(address, ctx.Err())
		case <-time.After(dialTimeout):
			return nil, dialError(address, syscall.ETIMEDOUT)
		}
	case fault == Refuse || !ok:
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	client, server := n.pair(host, target, address)
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
}

func dialError(address string, err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err}
}

func (n *Network) pair(host, target, address string) (*conn, *conn) {
	up, down := newPipe(), newPipe()
	client := &conn{net: n, link: link{host, target}, in: down, out: up, local: addr(host + ":0"), remote: addr(address)}
	server := &conn{net: n, link: link{target, host}, in: up, out: down, local: addr(address), remote: addr(host + ":0")}
	n.mu.Lock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	n.mu.Unlock()
	return client, server
}

// Set puts a fault on the link from one host to another, one way.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f == SilenceOpen {
		n.silenceOpen(from, to)
		return
	}
	n.faults[link{from, to}] = f
	if f == Refuse {
		n.resetOpen(from, to)
	}
}

// Cut puts a fault on both ways between two hosts.
func (n *Network) Cut(a, b string, f Fault) {
	n.Set(a, b, f)
	n.Set(b, a, f)
}

// Heal removes all faults of links. Connections that went silent stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// Isolate puts a fault on all traffic of a host, both ways, until Rejoin.
func (n *Network) Isolate(host string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = f
	if f != Refuse {
		return
	}
	for c := range n.conns {
		if c.link.from == host || c.link.to == host {
			c.reset()
		}
	}
}

// Rejoin ends the isolation of a host.
func (n *Network) Rejoin(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, host)
}

// Reset breaks all connections of a host and removes its listeners, as its death does.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.link.from == host || c.link.to == host {
			c.reset()
		}
	}
	for a, l := range n.listeners {
		if h, _, _ := net.SplitHostPort(a); h == host {
			l.closeLocked()
		}
	}
}

func (n *Network) silenceOpen(from, to string) {
	for c := range n.conns {
		if c.link.from == from && c.link.to == to {
			c.out.silence()
		}
	}
}

func (n *Network) resetOpen(from, to string) {
	for c := range n.conns {
		if c.link.from == from && c.link.to == to {
			c.reset()
		}
	}
}

func (n *Network) fault(l link) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faultLocked(l)
}

func (n *Network) faultLocked(l link) Fault {
	if l.from == l.to {
		return None
	}
	return max(n.faults[l], n.isolated[l.from], n.isolated[l.to])
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

type listener struct {
	net     *Network
	address string
	backlog chan *conn
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.net.listeners[l.address] != l {
		return
	}
	delete(l.net.listeners, l.address)
	close(l.closed)
}

func (l *listener) Addr() net.Addr { return addr(l.address) }
