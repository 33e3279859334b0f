package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/internal/soak/oracle"
	"github.com/daisyhatch/daisyhatch/internal/soak/workload"
)

const (
	// calmTime is how long the system runs whole before each loss.
	calmTime = 10 * time.Second
	// lostTime is how long control VMs stay lost.
	lostTime = 30 * time.Second
	// bookings are answered before a loss and sent again after it, bookingsInLoss of them in it too.
	bookings       = 20
	bookingsInLoss = 4
	resendTries    = 4
	// commandTimeout bounds one call of the operators' client to one control VM.
	commandTimeout = "2s"

	exitOutcomeUnknown = 4
	exitNothingChanged = 5
)

// ErrAccepted means that a change was accepted without a quorum.
var ErrAccepted = errors.New("processes: a change was accepted without a quorum")

// LossOptions describe a run in which control VMs are lost.
type LossOptions struct {
	BinDir string
	// Dir is an empty folder for the VMs' settings, data and logs.
	Dir     string
	Seed    uint64
	Callers int
	Pace    time.Duration
	// Out takes the table of what was seen.
	Out io.Writer
}

// lossRun is one run in which control VMs are lost.
type lossRun struct {
	LossOptions
	f     *fleet
	tally *workload.Tally
	// booker's bookings are answered before a loss, and sent again in it and after it.
	booker  *workload.Caller
	resends *workload.Tally
	rng     *rand.Rand
	version uint64
	changes int
}

// RunLosses kills 2 of the 3 control VMs, brings them back, kills all 3 and brings them back, under load. It
// returns ErrAccepted when a change was accepted in between, and what the oracle saw.
func RunLosses(ctx context.Context, o LossOptions) (*oracle.Report, error) {
	f, err := newFleet(ctx, o.BinDir, o.Dir, o.Seed)
	if err != nil {
		return nil, err
	}
	l := &lossRun{LossOptions: o, f: f, tally: &workload.Tally{}, rng: rand.New(rand.NewPCG(o.Seed, 9)), version: 1}
	l.resends = &workload.Tally{}
	l.booker = workload.NewCaller(f.system, workload.CallerHost(o.Callers), o.Callers, o.Seed)
	l.booker.Observe = l.resends.Observe
	l.tally.Begin("all VMs up")
	done := make(chan struct{})
	var wg sync.WaitGroup
	callers := make([]*workload.Caller, o.Callers)
	for i := range callers {
		callers[i] = workload.NewCaller(f.system, workload.CallerHost(i), i, o.Seed)
		callers[i].Observe = l.tally.Observe
		wg.Go(func() { callers[i].RunUntil(done, o.Pace) })
	}
	err = l.run(ctx)
	close(done)
	wg.Wait()
	err = errors.Join(err, f.end(), l.tally.Print(o.Out), l.resends.Print(o.Out))
	return f.oracle.Report(o.Seed), err
}

func (l *lossRun) run(ctx context.Context) error {
	control := l.f.vms[:workload.ControlCount]
	survivor := l.rng.IntN(len(control))
	var two []*vm
	for i, v := range control {
		if i != survivor {
			two = append(two, v)
		}
	}
	if err := l.lose(ctx, fmt.Sprintf("2 of 3 control VMs killed (%s left)", control[survivor].Name), two); err != nil {
		return err
	}
	return l.lose(ctx, "all control VMs killed", control)
}

// lose publishes a change, kills the VMs, tries to publish another, and brings the VMs back.
func (l *lossRun) lose(ctx context.Context, name string, lost []*vm) error {
	if err := l.accepted(ctx); err != nil {
		return err
	}
	l.resends.Begin("bookings before " + name)
	l.booker.Book(bookings)
	time.Sleep(calmTime)
	l.tally.Begin(name)
	begun := time.Now()
	for _, v := range lost {
		if err := l.f.kill(v); err != nil {
			return err
		}
	}
	if err := l.refused(ctx); err != nil {
		return err
	}
	if err := l.restartEntry(); err != nil {
		return err
	}
	l.resends.Begin("resends, " + name)
	again := l.booker.Again(bookingsInLoss, 1)
	l.printf("%d of %d resent bookings got their answer during the loss\n", again, bookingsInLoss)
	time.Sleep(time.Until(begun.Add(lostTime)))
	l.printf("work last began %.1f s after the loss\n", l.lastWork(begun, time.Now()).Seconds())
	l.tally.Begin(name + ": back")
	back := time.Now()
	for _, v := range lost {
		if err := l.f.start(v); err != nil {
			return err
		}
	}
	err := l.accepted(ctx)
	l.resends.Begin("resends, " + name + ": back")
	if again := l.booker.Again(bookings, resendTries); again < bookings {
		l.f.oracle.Violate(oracle.Recovery, "%d of %d bookings answered before the loss got their answer again after it", again, bookings)
	}
	l.printf("a change was in force everywhere %.1f s after the VMs' return began\n", time.Since(back).Seconds())
	time.Sleep(time.Until(back.Add(recoveryTime)))
	return err
}

// accepted publishes a change until it is accepted and waits until it is in force on all VMs.
func (l *lossRun) accepted(ctx context.Context) error {
	until := time.Now().Add(startLimit)
	for {
		begun := time.Now()
		err := l.publish(ctx)
		if err == nil {
			l.printf("change accepted after %.2f s\n", time.Since(begun).Seconds())
			break
		}
		if time.Now().After(until) {
			return err
		}
		time.Sleep(pollEvery)
	}
	l.version++
	l.changes++
	l.f.oracle.PublishedAs(l.version, l.changeID())
	for _, v := range l.f.vms {
		if err := l.f.awaitVersion(v, l.version, until); err != nil {
			return err
		}
	}
	return nil
}

func (l *lossRun) changeID() string { return fmt.Sprintf("loss-%d-%d", l.Seed, l.changes) }

func (l *lossRun) publish(ctx context.Context) error {
	file := filepath.Join(l.Dir, "next.ini")
	text := workload.Configuration(nil) + fmt.Sprintf("# change %d\n", l.changes)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("processes: %w", err)
	}
	_, err := l.f.cluster.Command(ctx, workload.OperatorKey, "publish", file, "--base", strconv.FormatUint(l.version, 10),
		"--change-id", l.changeID(), "--timeout", commandTimeout)
	return err
}

// refused publishes a change that must not be accepted and prints what the operator is told.
func (l *lossRun) refused(ctx context.Context) error {
	begun := time.Now()
	err := l.publish(ctx)
	if err == nil {
		return ErrAccepted
	}
	var exit *exec.ExitError
	if !errors.As(err, &exit) || (exit.ExitCode() != exitNothingChanged && exit.ExitCode() != exitOutcomeUnknown) {
		return fmt.Errorf("processes: unclear refusal: %w", err)
	}
	l.printf("change refused after %.2f s with exit code %d: %v\n", time.Since(begun).Seconds(), exit.ExitCode(), err)
	return nil
}

// restartEntry kills a VM that is no control VM and starts it again; it must come back with its version.
func (l *lossRun) restartEntry() error {
	v := l.f.vms[len(l.f.vms)-1]
	if err := l.f.kill(v); err != nil {
		return err
	}
	if err := l.f.start(v); err != nil {
		return err
	}
	begun := time.Now()
	err := l.f.awaitVersion(v, l.version, begun.Add(startLimit))
	l.printf("%s started without a quorum and had its version in force after %.2f s more\n", v.Name, time.Since(begun).Seconds())
	return err
}

// lastWork returns when work last began on a backend server between two times, counted from the first.
func (l *lossRun) lastWork(from, to time.Time) time.Duration {
	var last time.Duration
	for _, s := range l.f.servers {
		for _, r := range s.Records() {
			if r.At.After(from) && r.At.Before(to) {
				last = max(last, r.At.Sub(from))
			}
		}
	}
	return last
}

// printf writes a line of the run's log; a write that fails has no better place to be told.
func (l *lossRun) printf(format string, args ...any) { _, _ = fmt.Fprintf(l.Out, format, args...) }

// awaitVersion waits until a VM has a version in force.
func (f *fleet) awaitVersion(v *vm, version uint64, until time.Time) error {
	for time.Now().Before(until) {
		if l, err := lookAt(v.Ops); err == nil && l.version >= version {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("processes: %s has no version %d in force", v.Name, version)
}
