package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
)

// Process is one process that the cluster started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// StartProcess starts a program whose output goes to the end of a file.
func StartProcess(logFile, program string, args ...string) (*Process, error) {
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrStart, errors.Join(err, f.Close()))
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = errors.Join(cmd.Wait(), f.Close())
		close(p.done)
	}()
	return p, nil
}

// exited returns an error when the process has ended.
func (p *Process) exited() error {
	select {
	case <-p.done:
		return fmt.Errorf("%s ended: %w", p.cmd.Path, errors.Join(errEnded, p.err))
	default:
		return nil
	}
}

var errEnded = errors.New("process ended")

// signalAndWait signals the process and waits for its end. One that ended before is no error.
func (p *Process) signalAndWait(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("cluster: %w", err)
	}
	<-p.done
	return nil
}

// Kill ends the process at once.
func (p *Process) Kill() error { return p.signalAndWait(syscall.SIGKILL) }

// Stop ends the process in order.
func (p *Process) Stop() error { return p.signalAndWait(syscall.SIGTERM) }

// Terminate asks the process to end in order, and doesn't wait for it.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Hangup tells the process that its settings file may have changed.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Pause freezes the process.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// signal signals the process; the error tells how one that has ended did so.
func (p *Process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("cluster: %w", errors.Join(err, p.exited()))
	}
	return nil
}
