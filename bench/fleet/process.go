package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Process is a child process whose output goes to a file.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	waiter  conc.WaitGroup
}

// Limits holds the limits on the resources that a child process uses.
type Limits struct {
	Threads     string // value of GOMAXPROCS
	MemoryLimit string // value of GOMEMLIMIT
}

// vmLimits are the limits of each VM. They are small so that 48 VMs fit on one
// machine.
var vmLimits = Limits{Threads: "2", MemoryLimit: "96MiB"}

// StartProcess starts a program and appends its output to the file logPath.
func StartProcess(logPath string, limits Limits, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the log of a child process")
	}
	defer output.Close()
	p := &Process{command: exec.Command(program, args...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.Env = append(os.Environ(), "GOMAXPROCS="+limits.Threads, "GOMEMLIMIT="+limits.MemoryLimit)
	// The kernel kills the child if the bench itself is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p.waiter.Go(func() {
		defer close(p.done)
		_ = p.command.Wait() // ExitCode reads the exit state
	})
	return p, nil
}

// PID returns the child's process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Ended() {
		return nil
	}
	return errors.Wrapf(p.command.Process.Signal(s), "send signal %s to process %d", s, p.PID())
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Stop sends SIGTERM and kills the process if it has not ended after the grace
// period. It reports whether the process ended without being killed.
func (p *Process) Stop(grace time.Duration) (graceful bool) {
	_ = p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		p.Kill()
		return false
	}
}

// Kill sends SIGKILL, which also ends a paused process, and waits until the
// process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// ExitCode waits until the process has ended and returns its exit code, or -1 if
// a signal ended it.
func (p *Process) ExitCode() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}
