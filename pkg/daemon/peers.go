package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"connectrpc.com/connect"

	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
)

// compressMinBytes is the least size of an answer that is compressed: a large configuration. Compressing smaller ones took
// most of a control VM's processor time, and each compressor holds about 1 MB while VMs that start together are told of
// all servers.
const compressMinBytes = 64 << 10

func compressLarge() connect.HandlerOption { return connect.WithCompressMinBytes(compressMinBytes) }

// peers serves the calls of other VMs. It starts before the services that add their handlers and stops after
// them, so that they can hand over on their way out.
type peers struct {
	*process
	log    logr.Logger
	mux    *http.ServeMux
	server *listen.Server
	// client is for calls over HTTP/2, consensus for those between consensus nodes.
	client    *http.Client
	consensus *http.Client
}

func (p *peers) Name() string       { return servicePeers }
func (p *peers) Requires() []string { return []string{serviceOps} }
func (p *peers) Validate() error    { return nil }

// Provision implements kernel.Service.
func (p *peers) Provision(k *kernel.Kernel) error {
	client, err := peerTLS(p.settings, k.Log())
	if err != nil {
		return err
	}
	p.client = listen.NewClient(client, p.network)
	p.consensus = listen.NewHTTP1Client(client, p.network)
	p.log = k.Log().WithName(servicePeers)
	p.mux = http.NewServeMux()
	if !p.settings.Listen.Peers.IsValid() {
		return nil
	}
	tc, err := serverTLS(p.settings.TLS.Peers, true, k.Log())
	if err != nil {
		return err
	}
	p.server = listen.New(listen.Options{
		Name:    servicePeers,
		Address: p.settings.Listen.Peers.String(),
		Handler: listen.WithoutDate(p.mux),
		TLS:     tc,
		Network: p.network,
		Intake:  p.intake, Reserved: true, Arrivals: true,
		Log: k.Log(),
	})
	return nil
}

// handle adds a handler that keeps what it reads of a body; call it in Provision only.
func (p *peers) handle(path string, h http.Handler) { p.mux.Handle(path, intake.CountBodies(h)) }

// handleStream adds a handler that passes a body on as it arrives; call it in Provision only.
func (p *peers) handleStream(path string, h http.Handler) { p.mux.Handle(path, h) }

// Start implements kernel.Service.
func (p *peers) Start(ctx context.Context) error {
	if p.server == nil {
		return nil
	}
	return p.server.Start(ctx)
}

// peerStopTimeout is how long calls of other VMs may still run once the services behind them have stopped. What is
// left then is a watch whose watcher can't be reached.
const peerStopTimeout = 2 * time.Second

// Stop implements kernel.Service.
func (p *peers) Stop(ctx context.Context) error {
	p.client.CloseIdleConnections()
	p.consensus.CloseIdleConnections()
	if p.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerStopTimeout)
	defer cancel()
	if err := p.server.Stop(ctx); err != nil {
		p.log.Info("calls of other VMs ended at the stop", "reason", err.Error())
	}
	return nil
}
