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
	Binary     string // the almondstile binary
	Directory  string // for settings and logs
	Deployment *deployment.Deployment
	Seed       uint64
	VMs        int
	// ServerLinks and VMLinks put links with settable faults in front of the
	// backend servers and of the VMs' addresses for other VMs.
	ServerLinks, VMLinks bool
}

// Fleet is the entry VMs of an experiment with their environment.
type Fleet struct {
	*Environment
	options Options
	secret  string
	ids     []vm.ID
	members shard.Map[vm.ID, Member]
}

// Member is one entry VM.
type Member struct {
	ID   vm.ID
	Zone zone.ID
	// Addresses on which the process listens.
	Callers, Operators, Forward, Control string
	// Addresses at which other VMs reach it: those of its links, if it has any.
	ForwardVia, ControlVia string
	Process                *Process
}

// stopGrace is longer than the routes' timeouts, within which a graceful
// shutdown has to finish.
const stopGrace = 20 * time.Second

// Start starts the environment and all VMs and returns when all are ready and
// the deployment's configuration is in force.
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
	first := deployment.Intent(f.options.Deployment.Configuration(f.options.Seed, f.Addresses))
	confirmed, err := f.Operator(f.ids[0]).Change(ctx, first)
	if err != nil {
		return err
	}
	return f.waitVersion(ctx, confirmed.Version)
}

// newMember reserves the addresses of the n-th VM. VMs are spread evenly over
// the zones.
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
	m.ForwardVia, err1 = f.listen(VMLink(m.ID, false), ports, m.Forward)
	m.ControlVia, err2 = f.listen(VMLink(m.ID, true), ports, m.Control)
	return m, errors.CombineErrors(err1, err2)
}

// IDs returns the IDs of all VMs.
func (f *Fleet) IDs() []vm.ID { return f.ids }

// Member returns a VM, or a zero Member if there is none of that ID.
func (f *Fleet) Member(id vm.ID) Member {
	m, _ := f.members.Load(id)
	return m
}

// CallerAddresses returns where callers reach each VM.
func (f *Fleet) CallerAddresses() map[vm.ID]string {
	out := make(map[vm.ID]string)
	for _, id := range f.ids {
		out[id] = f.Member(id).Callers
	}
	return out
}

// Launch starts the process of a VM.
func (f *Fleet) Launch(id vm.ID) error {
	m := f.Member(id)
	settings := filepath.Join(f.options.Directory, string(id)+".toml")
	text, err := f.settingsOf(m)
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return errors.Wrap(err, "settings of a VM")
	}
	log := filepath.Join(f.options.Directory, string(id)+".log")
	process, err := StartProcess(log, vmLimits, f.options.Binary, "serve", "--settings", settings)
	if err != nil {
		return err
	}
	m.Process = process
	f.members.Store(id, m)
	return nil
}

// Crash kills the process of a VM.
func (f *Fleet) Crash(id vm.ID) { f.Member(id).Process.Kill() }

// Pause stops the process of a VM without ending it.
func (f *Fleet) Pause(id vm.ID) error { return f.Member(id).Process.Signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (f *Fleet) Resume(id vm.ID) error { return f.Member(id).Process.Signal(syscall.SIGCONT) }

// Shutdown stops a VM as planned and reports whether it ended by itself.
func (f *Fleet) Shutdown(id vm.ID) (graceful bool) { return f.Member(id).Process.Stop(stopGrace) }

// Close ends all processes and the environment.
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
