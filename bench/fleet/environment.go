package fleet

import (
	"net"
	"net/http"
	"time"

	"almondstile/bench/deployment"
	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/standin/netfault"
	"almondstile/standin/platformsim"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Environment holds the systems that the entry VMs depend on: the platform, the
// backend servers and the links to the servers. All are stand-ins that run in
// the bench's own process.
type Environment struct {
	Platform        *platformsim.Platform
	PlatformAddress string
	Servers         *backendsim.Host
	// Network holds the links on which faults can be set.
	Network *netfault.Network
	// Addresses holds the address at which VMs reach each server.
	Addresses map[contract.ServerID]string

	server *http.Server
	wg     conc.WaitGroup
}

// ServerLink returns the name of the link between the VMs and a backend server.
func ServerLink(id contract.ServerID) netfault.LinkName { return netfault.LinkName("server/" + id) }

// NewEnvironment starts the stand-ins for a deployment. If links is true, VMs
// reach the servers over links on which faults can be set, otherwise directly.
func NewEnvironment(d *deployment.Deployment, seed uint64, ports *Ports, links bool) (*Environment, error) {
	e := &Environment{
		Platform: platformsim.New(), Servers: backendsim.NewHost(), Network: &netfault.Network{},
		Addresses: make(map[contract.ServerID]string),
	}
	if err := e.start(d, seed, ports, links); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Environment) start(d *deployment.Deployment, seed uint64, ports *Ports, links bool) error {
	for _, c := range d.Simulated(seed) {
		if err := e.startServer(c, ports, links); err != nil {
			return err
		}
	}
	address, err := ports.Take()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the platform stand-in")
	}
	e.PlatformAddress = address
	e.server = &http.Server{Handler: e.Platform.Handler(), ReadHeaderTimeout: 10 * time.Second}
	e.wg.Go(func() { _ = e.server.Serve(listener) }) // returns when Close closes the server
	return nil
}

func (e *Environment) startServer(c backendsim.Config, ports *Ports, links bool) error {
	address, err := ports.Take()
	if err != nil {
		return err
	}
	c.Address = address
	server, err := e.Servers.Start(c)
	if err != nil {
		return err
	}
	e.Addresses[c.ID] = server.Address()
	if !links {
		return nil
	}
	e.Addresses[c.ID], err = e.addLink(ServerLink(c.ID), ports, server.Address())
	return err
}

// addLink adds a link to target and returns the address on which it listens.
func (e *Environment) addLink(name netfault.LinkName, ports *Ports, target string) (string, error) {
	address, err := ports.Take()
	if err != nil {
		return "", err
	}
	_, err = e.Network.Listen(name, address, target)
	return address, err
}

// Close stops the stand-ins and closes the links.
func (e *Environment) Close() {
	if e.server != nil {
		_ = e.server.Close()
	}
	e.Network.Close()
	e.Servers.Close()
	e.wg.Wait()
}
