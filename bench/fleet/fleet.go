package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"almondstile/bench/deployment"
	"almondstile/shard"
	"almondstile/vm"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// Options describes the fleet to start.
type Options struct {
	Binary     string // path of the almondstile binary
	Directory  string // where the VMs' settings and logs are written
	Deployment *deployment.Deployment
	Seed       uint64
	VMs        int
	// ServerLinks puts a link on which faults can be set in front of each
	// backend server. VMLinks puts such links in front of the addresses at
	// which VMs reach each other.
	ServerLinks, VMLinks bool
}

// Fleet holds the entry VMs of an experiment and their environment.
type Fleet struct {
	*Environment
	options Options
	secret  string
	ids     []vm.ID
	members shard.Map[vm.ID, Member]
}

// Member describes one entry VM and its process.
type Member struct {
	ID   vm.ID
	Zone zone.ID
	// Callers, Operators, Forward and Control are the addresses on which the
	// process listens.
	Callers, Operators, Forward, Control string
	// ForwardVia and ControlVia are the addresses at which other VMs reach it:
	// those of its links if it has any, otherwise Forward and Control.
	ForwardVia, ControlVia string
	Process                *Process
}

// stopGrace is how long Shutdown waits for a process to end. A graceful shutdown
// finishes within the routes' timeouts, which are shorter.
const stopGrace = 20 * time.Second

// Start starts the environment and all VMs. It returns when all VMs accept
// requests and the deployment's configuration is in force on each of them.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	ports := NewPorts()
	environment, err := NewEnvironment(o.Deployment, o.Seed, ports, o.ServerLinks)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Environment: environment, options: o, secret: fmt.Sprintf("bench-fleet-secret-%d-%032x", o.Seed, o.Seed)}
	if err := f.start(ctx, ports); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, ports *Ports) error {
	for n := range f.options.VMs {
		m, err := f.newMember(n, ports)
		if err != nil {
			return err
		}
		f.ids = append(f.ids, m.ID)
		f.members.Store(m.ID, m)
	}
	f.ListVMs()
	for _, id := range f.ids {
		if err := f.Launch(id); err != nil {
			return err
		}
	}
	if err := f.waitReady(ctx); err != nil {
		return err
	}
	firstIntent := deployment.Intent(f.options.Deployment.Configuration(f.options.Seed, f.Addresses))
	confirmed, err := f.Operator(f.ids[0]).Change(ctx, firstIntent)
	if err != nil {
		return err
	}
	return f.waitVersion(ctx, confirmed.Version)
}

// newMember reserves the addresses of the n-th VM and adds its links. VMs are
// distributed evenly over the zones.
func (f *Fleet) newMember(n int, ports *Ports) (Member, error) {
	m := Member{ID: vm.ID(fmt.Sprintf("vm-%02d", n)), Zone: f.options.Deployment.ServerZone(n)}
	for _, address := range []*string{&m.Callers, &m.Operators, &m.Forward, &m.Control} {
		var err error
		if *address, err = ports.Take(); err != nil {
			return m, err
		}
	}
	m.ForwardVia, m.ControlVia = m.Forward, m.Control
	if !f.options.VMLinks {
		return m, nil
	}
	var err1, err2 error
	m.ForwardVia, err1 = f.addLink(VMLink(m.ID, false), ports, m.Forward)
	m.ControlVia, err2 = f.addLink(VMLink(m.ID, true), ports, m.Control)
	return m, errors.CombineErrors(err1, err2)
}

// IDs returns the IDs of all VMs.
func (f *Fleet) IDs() []vm.ID { return f.ids }

// Member returns the VM with the given ID, or a zero Member if there is none.
func (f *Fleet) Member(id vm.ID) Member {
	m, _ := f.members.Load(id)
	return m
}

// CallerAddresses returns the address at which callers reach each VM.
func (f *Fleet) CallerAddresses() map[vm.ID]string {
	out := make(map[vm.ID]string)
	for _, id := range f.ids {
		out[id] = f.Member(id).Callers
	}
	return out
}

// Launch writes a VM's settings file and starts its process.
func (f *Fleet) Launch(id vm.ID) error {
	m := f.Member(id)
	settingsPath := filepath.Join(f.options.Directory, string(id)+".toml")
	content, err := f.marshalSettings(m)
	if err != nil {
		return err
	}
	if err := os.WriteFile(settingsPath, content, 0o600); err != nil {
		return errors.Wrap(err, "write the settings of a VM")
	}
	logPath := filepath.Join(f.options.Directory, string(id)+".log")
	process, err := StartProcess(logPath, vmLimits, f.options.Binary, "serve", "--settings", settingsPath)
	if err != nil {
		return err
	}
	m.Process = process
	f.members.Store(id, m)
	return nil
}

// Crash kills the process of a VM with SIGKILL.
func (f *Fleet) Crash(id vm.ID) { f.Member(id).Process.Kill() }

// Pause suspends the process of a VM with SIGSTOP.
func (f *Fleet) Pause(id vm.ID) error { return f.Member(id).Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (f *Fleet) Resume(id vm.ID) error { return f.Member(id).Process.Signal(syscall.SIGCONT) }

// Shutdown asks a VM's process to end with SIGTERM and kills it after stopGrace.
// It reports whether the process ended without being killed.
func (f *Fleet) Shutdown(id vm.ID) (graceful bool) { return f.Member(id).Process.Stop(stopGrace) }

// Close kills all processes and closes the environment.
func (f *Fleet) Close() {
	stopping := pool.New()
	for _, id := range f.ids {
		if p := f.Member(id).Process; p != nil {
			stopping.Go(p.Kill)
		}
	}
	stopping.Wait()
	f.Environment.Close()
}
