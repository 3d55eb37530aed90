package fleet

import (
	"net/http"
	"testing"
	"time"

	"almondstile/bench/deployment"
	"almondstile/standin/backendsim"
	"almondstile/standin/platformsim"
)

// Guards against a server that VMs cannot reach at its configured address, and
// against a link that connections bypass. The test calls each server over its
// link, then lets one link refuse connections.
func TestEnvironmentWithLinks(t *testing.T) {
	d, err := deployment.Load("../../deployments/cairnlight.toml")
	if err != nil {
		t.Fatal(err)
	}
	e, err := NewEnvironment(d, 1, NewPorts(), true)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	if len(e.Addresses) != 6+12+11 {
		t.Fatalf("%d servers", len(e.Addresses))
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for id, address := range e.Addresses {
		resp, err := client.Get("http://" + address + "/item")
		if err != nil {
			t.Fatalf("%s: %v", id, err)
		}
		resp.Body.Close()
		executions := e.Servers.Executions(func(x backendsim.Execution) bool { return x.Server == id })
		if resp.StatusCode != http.StatusOK || len(executions) != 1 {
			t.Fatalf("%s: status %d, %d executions", id, resp.StatusCode, len(executions))
		}
	}
	link, err := e.Network.Link(ServerLink("shelfview-0"))
	if err != nil {
		t.Fatal(err)
	}
	if err := link.SetRefuse(true); err != nil {
		t.Fatal(err)
	}
	if resp, err := client.Get("http://" + e.Addresses["shelfview-0"] + "/item"); err == nil {
		resp.Body.Close()
		t.Fatal("the server is reached although its link refuses connections")
	}
	resp, err := client.Get("http://" + e.PlatformAddress + platformsim.CountersPath)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("store: %v", err)
	}
	resp.Body.Close()
}
