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
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/bus"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/kernel"
	"github.com/daisyhatch/daisyhatch/pkg/listen"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/settings"
	"github.com/daisyhatch/daisyhatch/pkg/version"
)

// ErrStopLimit means that requests were cut off because they outlasted the stop limit.
var ErrStopLimit = errors.New("daemon: the stop limit passed")

// collectedShare is the part of a VM's memory from which on the garbage collector runs more often; the rest is for the program's
// text and for what the system counts besides.
const collectedShare = 0.7

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
	// intake bounds the memory of what clients send; nil while the VM's memory isn't known.
	intake *intake.Budget
	// hangup receives SIGHUP; nil if the services share their process with others.
	hangup <-chan os.Signal
}

// Signals are the signals that are sent to the process.
type Signals struct {
	// Stop receives SIGTERM and SIGINT, Hangup SIGHUP.
	Stop, Hangup <-chan os.Signal
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
// it at once. SIGHUP makes a VM of a fleet read its seeds anew, and is ignored by others.
func Run(ctx context.Context, s *settings.Settings, sent Signals) error {
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := NewLogger(sink, s.Log.Level, s.VM.Name)
	b := bus.New(log)
	p, err := newProcess(s, invariant.NewRecorder(log), listen.Network{})
	if err != nil {
		return err
	}
	p.hangup = sent.Hangup
	if m := s.Limits.Memory; m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * collectedShare))
	}
	k, err := p.build(log, b)
	if err != nil {
		return err
	}
	if err := k.Start(ctx); err != nil {
		return errors.Join(err, b.Close())
	}
	log.Info("started", "version", version.Version, "roles", s.VM.Roles, "failure_domain", s.VM.FailureDomain)
	if s.Fleet == nil {
		go ignoreHangups(sent.Hangup, log)
	}
	select {
	case <-ctx.Done():
	case sig := <-sent.Stop:
		log.Info("stopping", "signal", sig.String())
	}
	return errors.Join(stop(k, s, log, sent.Stop), b.Close())
}

// ignoreHangups logs each SIGHUP of a VM that has nothing to read anew.
func ignoreHangups(hangup <-chan os.Signal, log logr.Logger) {
	for range hangup {
		log.Info("signal ignored", "signal", syscall.SIGHUP.String(), "reason", "only the seeds of a fleet are read anew")
	}
}

// stop stops all services within the balancer's delay and the stop limit; a further signal ends the wait.
func stop(k *kernel.Kernel, s *settings.Settings, log logr.Logger, further <-chan os.Signal) error {
	ctx, cancel := context.WithTimeoutCause(context.Background(), s.Shutdown.BalancerDelay+s.Shutdown.StopLimit, ErrStopLimit)
	defer cancel()
	go func() {
		select {
		case sig := <-further:
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
	p, err := newProcess(s, inv, n)
	if err != nil {
		return nil, err
	}
	return p.build(log, b)
}

func newProcess(s *settings.Settings, inv *invariant.Recorder, n listen.Network) (*process, error) {
	id, err := newIncarnation(s)
	if err != nil {
		return nil, err
	}
	parser := config.NewParser()
	return &process{
		settings: s, incarnation: id, invariants: inv, parsed: &parsed{parser: parser}, parser: parser, network: n,
	}, nil
}

func (p *process) build(log logr.Logger, b *bus.Bus) (*kernel.Kernel, error) {
	k, s := kernel.New(log, b), p.settings
	if m := s.Limits.Memory; m > 0 {
		p.intake = intake.New(int64(m)<<20, log.WithName("intake"))
	}
	services := []kernel.Service{&ops{process: p}, &peers{process: p}}
	if s.Fleet != nil {
		p.network = fleetNetwork(p.network)
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
