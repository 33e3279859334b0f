// Package kernel is the core of the daemon: a registry of services by name that starts them in the order of
// their dependencies and stops them in reverse.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/bus"
)

// Errors of this package.
var (
	ErrDuplicate  = errors.New("kernel: service registered twice")
	ErrUnknown    = errors.New("kernel: unknown service")
	ErrCycle      = errors.New("kernel: services depend on one another in a cycle")
	ErrWrongType  = errors.New("kernel: service has another type")
	ErrNotStarted = errors.New("kernel: service failed to start")
)

// Service is a part of the daemon. The kernel calls Provision on all services in dependency order, then
// Validate on all, then Start on all; Stop in reverse order, only on those that started.
type Service interface {
	// Name is the name by which other services find this one.
	Name() string
	// Requires names the services that must be provisioned and started before this one.
	Requires() []string
	// Provision looks other services up and builds the service's state. It starts nothing.
	Provision(k *Kernel) error
	// Validate checks the provisioned state.
	Validate() error
	// Start begins work and returns; ctx ends when the daemon is told to stop at once.
	Start(ctx context.Context) error
	// Stop finishes work in flight and returns when all is released or ctx ends.
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	log logr.Logger
	bus *bus.Bus

	mu       sync.RWMutex
	services map[string]Service
	started  []Service
}

// New returns a Kernel without services.
func New(log logr.Logger, b *bus.Bus) *Kernel {
	return &Kernel{log: log, bus: b, services: make(map[string]Service)}
}

// Log returns the process's logger.
func (k *Kernel) Log() logr.Logger { return k.log }

// Bus returns the process's message bus.
func (k *Kernel) Bus() *bus.Bus { return k.bus }

// Register adds a service. It returns ErrDuplicate when the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return fmt.Errorf("%w: %s", ErrDuplicate, s.Name())
	}
	k.services[s.Name()] = s
	return nil
}

// Lookup finds the service called name as a T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.RLock()
	s, ok := k.services[name]
	k.mu.RUnlock()
	if !ok {
		return zero, fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("%w: %s is a %T", ErrWrongType, name, s)
	}
	return t, nil
}

// Dependency is a service to look up and where it goes.
type Dependency func(k *Kernel) error

// Into returns the Dependency that stores the service called name in target.
func Into[T any](name string, target *T) Dependency {
	return func(k *Kernel) (err error) {
		*target, err = Lookup[T](k, name)
		return err
	}
}

// LookupAll looks all dependencies up. It returns the errors of all that are unknown or have another type.
func (k *Kernel) LookupAll(dependencies ...Dependency) error {
	var errs []error
	for _, d := range dependencies {
		errs = append(errs, d(k))
	}
	return errors.Join(errs...)
}

// Start provisions, validates and starts all services. When one fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, s := range order {
		if err := s.Provision(k); err != nil {
			return fmt.Errorf("provision %s: %w", s.Name(), err)
		}
	}
	var invalid []error
	for _, s := range order {
		if err := s.Validate(); err != nil {
			invalid = append(invalid, fmt.Errorf("validate %s: %w", s.Name(), err))
		}
	}
	if len(invalid) > 0 {
		return errors.Join(invalid...)
	}
	for _, s := range order {
		if err := s.Start(ctx); err != nil {
			stopErr := k.Stop(ctx)
			return errors.Join(fmt.Errorf("%w: %s: %w", ErrNotStarted, s.Name(), err), stopErr)
		}
		k.started = append(k.started, s)
		k.log.V(1).Info("service started", "service", s.Name())
	}
	return nil
}

// Stop stops the started services in reverse order and returns all their errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for _, s := range slices.Backward(k.started) {
		begin := time.Now()
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", s.Name(), err))
		}
		k.log.V(1).Info("service stopped", "service", s.Name(), "took", time.Since(begin).String())
	}
	k.started = nil
	return errors.Join(errs...)
}

// order sorts the services so that each comes after those it requires. Ties go by name.
func (k *Kernel) order() ([]Service, error) {
	names := make([]string, 0, len(k.services))
	for n := range k.services {
		names = append(names, n)
	}
	slices.Sort(names)
	v := visitor{services: k.services, state: make(map[string]visitState)}
	for _, n := range names {
		if err := v.visit(n, nil); err != nil {
			return nil, err
		}
	}
	return v.order, nil
}

type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

type visitor struct {
	services map[string]Service
	state    map[string]visitState
	order    []Service
}

func (v *visitor) visit(name string, path []string) error {
	path = append(path, name)
	switch v.state[name] {
	case visited:
		return nil
	case visiting:
		return fmt.Errorf("%w: %s", ErrCycle, strings.Join(path, " -> "))
	}
	s, ok := v.services[name]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknown, strings.Join(path, " -> "))
	}
	v.state[name] = visiting
	for _, r := range s.Requires() {
		if err := v.visit(r, path); err != nil {
			return err
		}
	}
	v.state[name] = visited
	v.order = append(v.order, s)
	return nil
}
