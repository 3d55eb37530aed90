package fleet

import (
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Process is a child process. Its output goes to a file.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	waiter  conc.WaitGroup
}

// Limits bound what a child process uses of the machine.
type Limits struct {
	Threads     string // GOMAXPROCS
	MemoryLimit string // GOMEMLIMIT
}

// vmLimits keep 48 VMs within the machine: each is a small VM.
var vmLimits = Limits{Threads: "2", MemoryLimit: "96MiB"}

// StartProcess runs a program whose output is appended to logPath.
func StartProcess(logPath string, limits Limits, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "log of a child process")
	}
	defer output.Close()
	p := &Process{command: exec.Command(program, args...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.Env = append(os.Environ(), "GOMAXPROCS="+limits.Threads, "GOMEMLIMIT="+limits.MemoryLimit)
	// The kernel ends the children if the bench itself is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", program)
	}
	p.waiter.Go(func() {
		defer close(p.done)
		_ = p.command.Wait() // the state is read with ExitCode
	})
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if p.Ended() {
		return nil
	}
	return errors.Wrapf(p.command.Process.Signal(s), "signal %s to process %d", s, p.PID())
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

// Stop asks the process to end and kills it if it has not after the grace
// period. It reports whether the process ended by itself.
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

// Kill ends the process at once, also a stopped one, and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// ExitCode returns the exit code of an ended process, -1 after a signal.
func (p *Process) ExitCode() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}
