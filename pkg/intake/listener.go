package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// sealedCost is what a byte of a head costs whose lines can't be seen since the connection is encrypted.
const sealedCost = 8

// listener makes the heads of requests on its connections count.
type listener struct {
	net.Listener
	budget *Budget
	// reserved is true where requests may take the reserve.
	sealed, reserved bool
}

// Listen makes the heads of requests count that arrive on a listener; sealed listeners carry TLS. The server on it is prepared by Attach.
func (b *Budget) Listen(l net.Listener, sealed bool) net.Listener {
	if b == nil {
		return l
	}
	return &listener{Listener: l, budget: b, sealed: sealed}
}

// ListenReserved is Listen for requests that aren't callers', such as those of other VMs: what callers have sent doesn't keep them out.
func (b *Budget) ListenReserved(l net.Listener, sealed bool) net.Listener {
	if b == nil {
		return l
	}
	return &listener{Listener: l, budget: b, sealed: sealed, reserved: true}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, budget: l.budget, sealed: l.sealed, reserved: l.reserved, address: hostOf(c.RemoteAddr().String()), inHead: true}, nil
}

func hostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// conn counts the bytes and lines of the head that it reads. The head begins with the connection, or when the request before has ended,
// and ends when its handler is called.
type conn struct {
	net.Conn
	budget   *Budget
	address  string
	sealed   bool
	reserved bool

	mu      sync.Mutex
	account *Account
	inHead  bool
	// multiplexed is true on a connection whose requests have no heads of their own in its bytes: HTTP/2 bounds what a head has.
	multiplexed bool
}

// Read implements net.Conn. A head that gives way ends the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(p[:n]) {
		// After a network error net/http closes the connection; after any other it answers 400, which says that the request is bad.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}
	}
	return n, err
}

// count takes what the bytes of a head cost; false if it gives way.
func (c *conn) count(p []byte) bool {
	c.mu.Lock()
	if !c.inHead {
		c.mu.Unlock()
		return true
	}
	if c.account == nil {
		// A closed connection is how a blocked read ends; net/http closes it again.
		c.account = c.budget.Open(c.address, func() { _ = c.Conn.Close() })
		if c.reserved {
			c.account.reserve()
		}
	}
	a := c.account
	c.mu.Unlock()
	cost := int64(len(p)) * sealedCost
	if !c.sealed {
		cost = int64(len(p)) + int64(bytes.Count(p, []byte{'\n'}))*lineCost
	}
	if a.Take(context.Background(), cost) == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account != a // the head has ended while its bytes waited for room
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end ends the head that is read, if any.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.Close()
	c.account, c.inHead = nil, false
}

// begin lets the next bytes begin a head.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = !c.multiplexed
}

// multiplex ends the counting of heads.
func (c *conn) multiplex() {
	c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.multiplexed = true
}

type connKey struct{}

// Attach makes a server's requests count: each has an account in its context, with what its head costs, until its handler returns.
func (b *Budget) Attach(s *http.Server) {
	if b == nil {
		return
	}
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if counted := unwrap(c); counted != nil && state == http.StateIdle {
			counted.begin()
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(next, w, r) })
}

// unwrap returns the counted connection under TLS, or c itself.
func unwrap(c net.Conn) *conn {
	if sealed, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = sealed.NetConn()
	}
	counted, _ := c.(*conn)
	return counted
}

// serve calls a handler with an account for the request.
func (b *Budget) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	a := b.Open(hostOf(r.RemoteAddr), nil)
	defer func() {
		// The server keeps the request while it discards the rest of a body and while it closes the connection.
		r.Header = nil
		a.Close()
	}()
	if err := a.takeHead(r); err != nil {
		panic(http.ErrAbortHandler) // reported by Take
	}
	a.Arrived() // until something reads its body
	next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextKey{}, a)))
	if r.ProtoMajor == 1 && r.Body != http.NoBody && !a.bodyRead.Load() {
		// Before a short answer the server reads the rest of a body that its handler has not read. The next request's head has a deadline
		// of its own. After a body that was read, the server would take the deadline for the end of the connection's requests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// discardTime is how long the rest of a body may take that nobody reads.
const discardTime = time.Second

// takeHead takes what the head of a request costs.
func (a *Account) takeHead(r *http.Request) error {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c != nil && c.reserved {
		a.reserve()
	}
	if c != nil && r.ProtoMajor == 1 {
		a.takeOver(c, headCost(r.Header))
		return nil
	}
	if c != nil {
		c.multiplex()
	}
	return a.Take(r.Context(), headCost(r.Header))
}

// takeOver makes the account hold the head that a connection has read.
func (a *Account) takeOver(c *conn, cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.account != nil {
		a.entry.begin = c.account.entry.begin
		b.ledger.close(c.account.entry)
		delete(b.told, c.account.entry)
	}
	b.ledger.add(a.entry, cost)
	c.account, c.inHead = nil, false
	b.wake()
}
