package daemon

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/relay"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
	"github.com/daisyhatch/daisyhatch/pkg/stageclient"
)

// fleetEntry serves callers.
type fleetEntry struct {
	*fleetShared
	relay     *relay.Relay
	callers   *listen.Server
	readiness *listen.Server
	// loans lends retries; nil if the settings lend none.
	loans  *fleet.RetryLoans
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	draining bool
}

func (f *fleetEntry) Name() string       { return serviceFleetEntry }
func (f *fleetEntry) Requires() []string { return []string{serviceOps, serviceFleetFollow} }
func (f *fleetEntry) Validate() error    { return nil }

// Provision implements kernel.Service.
func (f *fleetEntry) Provision(k *kernel.Kernel) error {
	var (
		o *ops
		w *fleetFollow
	)
	if err := k.LookupAll(kernel.Into(serviceOps, &o), kernel.Into(serviceFleetFollow, &w)); err != nil {
		return err
	}
	s := f.settings.Fleet
	repeats := allowance.NewRetryBudget(s.RetryRatio, s.RetryExtra, s.RetryWindow)
	f.lendRetries(k, w, repeats)
	stages := stageclient.New(stageclient.Options{
		Owners: f.state, ControlHeard: w.follower.Connected, HTTP: w.client, Local: f.stageRunner(k, nil, nil), Rate: f.aloneRate,
		Log: k.Log().WithName("stages"),
	})
	f.relay = relay.New(relay.Options{
		VM: f.settings.VM.Name, FailureDomain: f.settings.VM.FailureDomain, Dialect: f.dialect, View: f.state,
		Stages: stages, StageWait: stages.Wait,
		Pool:     f.pool,
		Suspects: f.suspects,
		Origins:  w.follower.Origins(),
		Rollouts: f.rollouts,
		Repeats:  repeats,
		Loans:    f.relayLoans(),
		PathLost: f.paths.IsLost, Memory: f.intake, WriteTimeout: f.settings.Limits.WriteTimeout,
		ColdOverrun: s.ColdOverrun, ColdExtra: s.ColdExtra, Log: k.Log().WithName("relay"),
	})
	o.addCheck("configuration", f.ready)
	o.answerWhere(f.relay.ServeWhere)
	l := f.settings.Limits
	f.callers = listen.New(listen.Options{
		Name: "callers", Address: f.settings.Listen.Callers.String(), Handler: f.relay, Network: f.network, Intake: f.intake, Log: k.Log(),
		Limits: listen.Limits{
			MaxHeader: l.MaxHeader, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, FlushTimeout: l.WriteTimeout,
			MaxConnections: l.MaxConnections,
		},
	})
	if f.settings.Listen.Readiness.IsValid() {
		r := chi.NewRouter()
		r.Get(f.dialect.ReadinessPath(), f.readyz)
		f.readiness = listen.New(listen.Options{
			Name: "readiness", Address: f.settings.Listen.Readiness.String(), Handler: r, Network: f.network, Intake: f.intake, Reserved: true, Log: k.Log(),
		})
	}
	return nil
}

// lendRetries sets up the lending of retries if the settings call for it.
func (f *fleetEntry) lendRetries(k *kernel.Kernel, w *fleetFollow, repeats *allowance.RetryBudget) {
	s := f.settings.Fleet
	if s.RetryLent <= 0 {
		return
	}
	f.loans = fleet.NewRetryLoans(fleet.LoanOptions{
		VM: f.settings.VM.Name, Window: s.RetryWindow, Part: s.RetryLent, Share: repeats.Share, State: f.state, Roster: f.roster,
		HTTP: w.client, Log: k.Log().WithName("retries"),
	})
	metrics.GetOrCreateGauge("daisyhatch_retries_given", func() float64 { return f.loans.Given(time.Now()) })
}

func (f *fleetEntry) relayLoans() relay.RetryLoans {
	if f.loans == nil {
		return nil
	}
	return f.loans
}

func (f *fleetEntry) ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.draining:
		return errDraining
	case f.state.Catalog() == nil || !f.state.Current():
		return errNoConfiguration
	}
	return nil
}

func (f *fleetEntry) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := f.ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// Start implements kernel.Service.
func (f *fleetEntry) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.cancel, f.done = cancel, make(chan struct{})
	go func() {
		defer close(f.done)
		var wg sync.WaitGroup
		if f.loans != nil {
			wg.Go(func() { f.loans.Run(run) })
		}
		f.relay.Run(run)
		wg.Wait()
	}()
	if f.readiness != nil {
		if err := f.readiness.Start(ctx); err != nil {
			return err
		}
	}
	return f.callers.Start(ctx)
}

// withFinalAnswers returns a context that ends with ctx at its deadline, and relay.FinalAnswerTime after a second signal ends
// ctx: then requests without an answer are ended first.
func (f *fleetEntry) withFinalAnswers(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	release := func() { cancel(nil) }
	if end, ok := ctx.Deadline(); ok {
		answers := time.AfterFunc(time.Until(end)-relay.FinalAnswerTime, f.relay.EndUnanswered)
		refuse := time.AfterFunc(time.Until(end)-refuseBeforeStop, f.relay.RefuseUnsent)
		release = func() { answers.Stop(); refuse.Stop(); cancel(nil) }
	}
	context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel(context.Cause(ctx))
			return
		}
		f.relay.EndUnanswered()
		time.AfterFunc(relay.FinalAnswerTime, func() { cancel(context.Cause(ctx)) })
	})
	return out, release
}

// refuseBeforeStop is how long before requests in flight are cut off those are refused that were sent to no server: longer
// than it takes to write thousands of refusals.
const refuseBeforeStop = 500 * time.Millisecond

// Stop implements kernel.Service: the balancer's delay passes with the readiness off before connections are closed.
func (f *fleetEntry) Stop(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	end, _ := ctx.Deadline()
	f.relay.Drain(end)
	callers, release := f.withFinalAnswers(ctx)
	defer release()
	select {
	case <-time.After(f.settings.Shutdown.BalancerDelay):
	case <-ctx.Done():
	}
	err := f.callers.Stop(callers)
	f.cancel()
	<-f.done
	if f.readiness != nil {
		err = errors.Join(err, f.readiness.Stop(ctx))
	}
	f.pool.Close()
	return err
}

// aloneRate is how many jobs of a service this VM may have made alone in a second; see stagecall.StandaloneRate.
func (f *fleetEntry) aloneRate(service string, now time.Time) float64 {
	set := f.state.Catalog()
	if set == nil || set.Services[service] == nil || set.Services[service].Batch == nil {
		return 0
	}
	return stagecall.StandaloneRate(*set.Services[service].Batch, len(f.state.Serving(service, now)), len(f.state.Entries(now)))
}
