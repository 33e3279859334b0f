package tunnel

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
)

// Dialer connects to backend servers through other VMs. It is safe for concurrent use.
type Dialer struct {
	http connect.HTTPClient
	// vms returns the peer addresses of the VMs that take tunnels.
	vms func() []string

	mu   sync.Mutex
	next int
	// avoidUntil is until when a VM that took no tunnel is tried after the others.
	avoidUntil map[string]time.Time
}

// NewDialer returns a Dialer that opens tunnels through the VMs whose peer addresses vms returns. The client must speak
// HTTP/2.
func NewDialer(client *http.Client, vms func() []string) *Dialer {
	return &Dialer{http: client, vms: vms, avoidUntil: make(map[string]time.Time)}
}

const (
	// vmTimeout bounds the answer of one VM: longer than its own attempt to connect. The next VM is tried then.
	vmTimeout = connectTimeout + 200*time.Millisecond
	// avoidTime is how long a VM that took no tunnel is tried after the others.
	avoidTime = 3 * time.Second
)

// order returns the VMs in the order in which they are tried: each time another one first, those to avoid last.
func (d *Dialer) order(now time.Time) []string {
	vms := slices.Clone(d.vms())
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(vms) == 0 {
		return nil
	}
	d.next++
	start := d.next % len(vms)
	vms = append(vms[start:], vms[:start]...)
	slices.SortStableFunc(vms, func(a, b string) int {
		return cmp.Compare(btoi(now.Before(d.avoidUntil[a])), btoi(now.Before(d.avoidUntil[b])))
	})
	return vms
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// avoid makes a VM that took no tunnel one of the last to be tried.
func (d *Dialer) avoid(vm string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	d.avoidUntil[vm] = now.Add(avoidTime)
}

// Dial connects to a server through one of the VMs, which are tried one after the other, each time beginning with another
// one. Its errors are ErrRefused and ErrUnreachable if a VM tried the server, and ErrNoVM otherwise. No byte of a request has
// been sent when it fails.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	err := error(ErrNoVM)
	for _, vm := range d.order(time.Now()) {
		var c net.Conn
		c, err = d.dialVia(ctx, vm, address)
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return c, err
		}
		if errors.Is(err, ErrNoVM) {
			d.avoid(vm, time.Now())
		}
	}
	return nil, err
}

// dialVia opens a tunnel through one VM.
func (d *Dialer) dialVia(ctx context.Context, vm, address string) (net.Conn, error) {
	life, cancelLife := context.WithCancel(context.WithoutCancel(ctx))
	s := daisyhatchv1connect.NewTunnelServiceClient(d.http, "http://"+vm).Tunnel(life)
	cancel := func() {
		// HTTP/2 looks at the context only once the request side is closed. An error there means that the stream is over.
		_ = s.CloseRequest()
		cancelLife()
	}
	giveUp := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(vmTimeout, cancel)
	state, err := handshake(s, address)
	inTime := timer.Stop() && giveUp()
	if err == nil && inTime && state == daisyhatchv1.TunnelState_TUNNEL_STATE_CONNECTED {
		return newConn(s, cancel, address), nil
	}
	cancel()
	switch {
	case err != nil || !inTime:
		return nil, fmt.Errorf("%w: through %s: %w", ErrNoVM, vm, errors.Join(err, ctx.Err()))
	case state == daisyhatchv1.TunnelState_TUNNEL_STATE_REFUSED:
		return nil, fmt.Errorf("%w: through %s", ErrRefused, vm)
	case state == daisyhatchv1.TunnelState_TUNNEL_STATE_UNREACHABLE:
		return nil, fmt.Errorf("%w: through %s", ErrUnreachable, vm)
	}
	return nil, fmt.Errorf("%w: through %s: %s", ErrNoVM, vm, state)
}

type clientStream = connect.BidiStreamForClient[daisyhatchv1.TunnelRequest, daisyhatchv1.TunnelResponse]

// handshake names the server and returns what became of the connection to it.
func handshake(s *clientStream, address string) (daisyhatchv1.TunnelState, error) {
	if err := s.Send(&daisyhatchv1.TunnelRequest{Address: address}); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	res, err := s.Receive()
	if err != nil {
		return 0, err
	}
	return res.GetState(), nil
}
