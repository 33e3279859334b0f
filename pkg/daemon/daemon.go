// Package daemon puts the services of daisyhatchd together. The settings decide which: every VM has ops and
// peers; role control adds replica, grantor, burn and control; role entry adds follow, slots,
// cache-events and entry.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/bus"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/version"
)

// ErrStopLimit means that requests were cut off because they outlasted the stop limit.
var ErrStopLimit = errors.New("daemon: the stop limit passed")

// configurationFile names the published configuration in problems.
const configurationFile = "configuration"

// process is what all services of one daemon share.
type process struct {
	settings    *settings.Settings
	incarnation string
	invariants  *invariant.Recorder
	parsed      *parsed
	parser      *config.Parser
	network     listen.Network
}

// NewLogger returns the daemon's logger: JSON lines to out. level is error, info or debug.
func NewLogger(out io.Writer, level, vm string) logr.Logger {
	var l slog.Level
	switch level {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	default:
		l = slog.LevelInfo
	}
	h := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l})
	return logr.FromSlogHandler(h).WithValues("vm", vm)
}

// Run runs the daemon until ctx ends or the process is told to stop by SIGTERM or SIGINT. A second signal stops
// it at once.
func Run(ctx context.Context, s *settings.Settings) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := NewLogger(sink, s.Log.Level, s.VM.Name)
	b := bus.New(log)
	k, err := Build(s, log, b, invariant.NewRecorder(log), listen.Network{})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := k.Start(ctx); err != nil {
		return errors.Join(err, b.Close())
	}
	log.Info("started", "version", version.Version, "roles", s.VM.Roles, "failure_domain", s.VM.FailureDomain)
	select {
	case <-ctx.Done():
	case sig := <-signals:
		log.Info("stopping", "signal", sig.String())
	}
	return errors.Join(stop(k, s, log, signals), b.Close())
}

// stop stops all services within the balancer's delay and the stop limit; a further signal ends the wait.
func stop(k *kernel.Kernel, s *settings.Settings, log logr.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeoutCause(context.Background(), s.Shutdown.BalancerDelay+s.Shutdown.StopLimit, ErrStopLimit)
	defer cancel()
	go func() {
		select {
		case sig := <-signals:
			log.Info("stopping at once; requests in flight are cut off", "signal", sig.String())
			cancel()
		case <-ctx.Done():
		}
	}()
	err := k.Stop(ctx)
	if err != nil {
		log.Error(err, "stopped with errors")
		return err
	}
	log.Info("stopped")
	return nil
}

// Build registers the services that the settings ask for. Run does it for a process of its own.
func Build(
	s *settings.Settings, log logr.Logger, b *bus.Bus, inv *invariant.Recorder, n listen.Network,
) (*kernel.Kernel, error) {
	id, err := newIncarnation(s)
	if err != nil {
		return nil, err
	}
	parser := config.NewParser()
	p := &process{
		settings: s, incarnation: id, invariants: inv, parsed: &parsed{parser: parser}, parser: parser, network: n,
	}
	k := kernel.New(log, b)
	services := []kernel.Service{&ops{process: p}, &peers{process: p}}
	if s.Fleet != nil {
		p.network = fleetNetwork(n)
		more, err := fleetServices(p)
		if err != nil {
			return nil, fmt.Errorf("daemon: %w", err)
		}
		return k, registerAll(k, append(services, more...))
	}
	if s.VM.Control() {
		services = append(services, &replicated{process: p}, &grantor{process: p}, &burnReport{process: p}, &controller{process: p})
	}
	services = append(services, &follower{process: p})
	if s.VM.Entry() {
		services = append(services, &entrySlots{process: p}, &cacheReader{}, &entry{process: p})
	}
	return k, registerAll(k, services)
}

func registerAll(k *kernel.Kernel, services []kernel.Service) error {
	for _, svc := range services {
		if err := k.Register(svc); err != nil {
			return fmt.Errorf("daemon: %w", err)
		}
	}
	return nil
}
