package deployment

import (
	"fmt"
	"testing"

	"almondstile/contract"
)

// Guards against deployment files whose numbers of zones, teams, servers and slots
// differ from the design page.
func TestDeploymentFiles(t *testing.T) {
	want := map[string]map[contract.ServiceID]int{
		"cairnlight": {"shelfview": 6, "loandesk": 12, "borrowerbook": 11},
		"vanua":      {"template-desk": 8, "lodging-desk": 12, "status-desk": 16},
	}
	for name, services := range want {
		d, err := Load("../../deployments/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		if d.Name != name || len(d.Zones) != 3 || len(d.Teams) != 8 || len(d.Services) != len(services) {
			t.Fatalf("%s: %d zones, %d teams, %d services, want 3 zones and 8 teams", d.Name, len(d.Zones), len(d.Teams), len(d.Services))
		}
		for _, s := range d.Services {
			if s.Servers != services[s.ID] || s.Slots != 3 {
				t.Fatalf("service %s: %d servers with %d slots each", s.ID, s.Servers, s.Slots)
			}
		}
	}
}

// Guards against an initial configuration that fails validation, against generated
// keys that are not authorized for their team's routes, and against a private route
// that accepts the key of another team.
func TestKeysAuthorize(t *testing.T) {
	d, err := Load("../../deployments/vanua.toml")
	if err != nil {
		t.Fatal(err)
	}
	addresses := make(map[contract.ServerID]string)
	for i, s := range d.Simulated(7) {
		addresses[s.ID] = fmt.Sprintf("127.0.0.1:%d", 20000+i)
	}
	c, err := contract.Apply(&contract.Configuration{}, Intent(d.Configuration(7, addresses)))
	if err != nil {
		t.Fatal(err)
	}
	x := contract.NewIndex(c)
	route, err := x.Match(d.Services[0].PrivatePath() + "/page")
	if err != nil {
		t.Fatal(err)
	}
	if _, team, err := x.Authorize(route, Credential(7, KeyID(d.Teams[0].ID, 1))); err != nil || team != d.Teams[0].ID {
		t.Fatalf("key of the first team: authorized as %q, error %v", team, err)
	}
	if _, _, err := x.Authorize(route, Credential(7, KeyID(d.Teams[1].ID, 0))); err == nil {
		t.Fatal("the second team's key is authorized for the first team's private route")
	}
}
