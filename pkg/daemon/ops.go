package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/tlsconf"
	"github.com/daisyhatch/daisyhatch/pkg/version"
)

// Names of the services.
const (
	serviceOps         = "ops"
	servicePeers       = "peers"
	serviceReplica     = "replica"
	serviceControl     = "control"
	serviceGrantor     = "grantor"
	serviceBurn        = "burn"
	serviceFollow      = "follow"
	serviceSlots       = "slots"
	serviceEntry       = "entry"
	serviceCacheEvents = "cache-events"
)

// check tells why a part of the process isn't ready; nil when it is.
type check struct {
	name  string
	ready func() error
}

// ops serves health, readiness and metrics on an address of their own.
type ops struct {
	*process
	server *listen.Server

	mu     sync.Mutex
	checks []check
	// where answers where a request would go; nil on VMs that take none.
	where http.HandlerFunc
}

func (o *ops) Name() string       { return serviceOps }
func (o *ops) Requires() []string { return nil }
func (o *ops) Validate() error    { return nil }

// Provision implements kernel.Service.
func (o *ops) Provision(k *kernel.Kernel) error {
	tc, err := serverTLS(o.settings.TLS.Ops, false, k.Log())
	if err != nil {
		return err
	}
	o.server = listen.New(listen.Options{
		Name:    serviceOps,
		Address: o.settings.Listen.Ops.String(),
		Handler: o.handler(),
		TLS:     tc,
		Network: o.network,
		Intake:  o.intake, Reserved: true,
		Log: k.Log(),
	})
	return nil
}

// Start implements kernel.Service.
func (o *ops) Start(ctx context.Context) error { return o.server.Start(ctx) }

// Stop implements kernel.Service.
func (o *ops) Stop(ctx context.Context) error { return o.server.Stop(ctx) }

// addCheck adds a condition of readiness.
func (o *ops) addCheck(name string, ready func() error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checks = append(o.checks, check{name: name, ready: ready})
}

func (o *ops) handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok "+version.Version+"\n")
	})
	r.Get("/readyz", o.readyz)
	r.Get("/where", o.serveWhere)
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return r
}

// answerWhere sets what answers where a request would go.
func (o *ops) answerWhere(h http.HandlerFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.where = h
}

func (o *ops) serveWhere(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	where := o.where
	o.mu.Unlock()
	if where == nil {
		writeText(w, http.StatusNotFound, "this VM takes no requests of callers\n")
		return
	}
	where(w, r)
}

func (o *ops) readyz(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	checks := append([]check(nil), o.checks...)
	o.mu.Unlock()
	status, text := http.StatusOK, ""
	for _, c := range checks {
		line := c.name + ": ready\n"
		if err := c.ready(); err != nil {
			status = http.StatusServiceUnavailable
			line = c.name + ": " + err.Error() + "\n"
		}
		text += line
	}
	writeText(w, status, text)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The client may be gone; there is nobody left to tell.
	_, _ = w.Write([]byte(text))
}

// certificateFiles maps settings to the files of package tlsconf.
func certificateFiles(c settings.Certificate, mutual bool) tlsconf.Files {
	f := tlsconf.Files{Certificate: c.Cert, Key: c.Key}
	if mutual || c.RequireClient {
		f.Authority = c.CA
	}
	return f
}
