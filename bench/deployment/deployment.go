// Package deployment reads deployment files (TOML) and derives from them the
// configuration, the keys and the stand-in servers of an experiment.
package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"almondstile/contract"
	"almondstile/standin/backendsim"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Deployment is the content of a deployment file. Delays are in microseconds.
// LoadShare is the load of each team as a share (0 to 1) of its rate.
type Deployment struct {
	Name              string                  `toml:"name"`
	ClientDelayMicros int64                   `toml:"client_delay_us"`
	ZoneDelayMicros   int64                   `toml:"zone_delay_us"`
	LoadShare         float64                 `toml:"load_share"`
	Zones             []zone.AvailabilityZone `toml:"zones"`
	Services          []Service               `toml:"services"`
	Teams             []contract.Team         `toml:"teams"`
}

// Service describes one service. All of its backend servers have the same settings.
// MedianMicros (in microseconds) and Sigma are the parameters of the service times.
type Service struct {
	ID           contract.ServiceID `toml:"id"`
	Servers      int                `toml:"servers"`
	Slots        int                `toml:"slots"`
	ColdSlots    int                `toml:"cold_slots"`
	Connections  int                `toml:"connections"`
	MedianMicros int                `toml:"median_us"`
	Sigma        float64            `toml:"sigma"`
	FloorShare   float64            `toml:"floor_share"`
	// LoadWeight is the weight of the service when the load is divided among the
	// services.
	LoadWeight int `toml:"load_weight"`
}

// Load reads a deployment file. It returns an error for unknown settings and for a
// file without zones, services or teams.
func Load(path string) (*Deployment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read deployment file")
	}
	var d Deployment
	decoder := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := decoder.Decode(&d); err != nil {
		return nil, errors.Wrapf(err, "decode deployment file %s", path)
	}
	if len(d.Zones) == 0 || len(d.Services) == 0 || len(d.Teams) == 0 {
		return nil, errors.Newf("deployment file %s: zones, services and teams must not be empty", path)
	}
	return &d, nil
}

// ServerID returns the ID of the service's n-th server, counted from 0.
func (s Service) ServerID(n int) contract.ServerID {
	return contract.ServerID(fmt.Sprintf("%s-%d", s.ID, n))
}

// ServerZone returns the zone of the n-th server of any service, counted from 0. It
// assigns servers to zones in turn, so that they are spread evenly.
func (d *Deployment) ServerZone(n int) zone.ID { return d.Zones[n%len(d.Zones)].ID }

// Simulated returns the configurations of the stand-in servers of all services.
func (d *Deployment) Simulated(seed uint64) []backendsim.Config {
	var out []backendsim.Config
	for _, s := range d.Services {
		for n := range s.Servers {
			out = append(out, backendsim.Config{
				ID: s.ServerID(n), Seed: seed, Slots: s.Slots, ColdSlots: s.ColdSlots,
				Connections: s.Connections, MedianMicros: s.MedianMicros, Sigma: s.Sigma,
				Secrets: d.Secrets(seed),
			})
		}
	}
	return out
}

// KeysPerTeam is the number of keys of each team. With two keys, one can be
// withdrawn while the team goes on using the other.
const KeysPerTeam = 2

// KeyID returns the ID of the team's n-th key, counted from 0.
func KeyID(team contract.TeamID, n int) contract.KeyID {
	return contract.KeyID(fmt.Sprintf("%s-key%d", team, n))
}

// Secret returns the secret of a key: 32 hexadecimal digits that depend only on the
// seed and the key's ID.
func Secret(seed uint64, key contract.KeyID) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s", seed, key))
	return hex.EncodeToString(sum[:16])
}

// Credential returns the bearer token for a key: the key's ID, a dot and its secret.
func Credential(seed uint64, key contract.KeyID) string {
	return string(key) + "." + Secret(seed, key)
}

// Secrets returns the secrets of the keys of all teams.
func (d *Deployment) Secrets(seed uint64) []string {
	var out []string
	for _, k := range d.keys(seed) {
		out = append(out, Secret(seed, k.ID))
	}
	return out
}

// keys returns the keys of all teams.
func (d *Deployment) keys(seed uint64) []contract.Key {
	var out []contract.Key
	for _, t := range d.Teams {
		for n := range KeysPerTeam {
			id := KeyID(t.ID, n)
			out = append(out, contract.Key{ID: id, Team: t.ID, SecretHash: contract.HashSecret(Secret(seed, id))})
		}
	}
	return out
}

// Path, PrivatePath and OpenPath return the path prefixes of the service's routes.
// See routes.
func (s Service) Path() string        { return "/" + string(s.ID) }
func (s Service) PrivatePath() string { return "/" + string(s.ID) + "/private" }
func (s Service) OpenPath() string    { return "/" + string(s.ID) + "/open" }

// routeTimeoutMillis limits the time of each request. It is long enough for several
// attempts at the median service times of the deployment files.
const routeTimeoutMillis = 3000

// routes returns three routes for each service: one for all teams, one for the
// first team only, and one that is open to callers without a key.
func (d *Deployment) routes() []contract.Route {
	var allTeams []contract.TeamID
	for _, t := range d.Teams {
		allTeams = append(allTeams, t.ID)
	}
	var out []contract.Route
	for _, s := range d.Services {
		route := contract.Route{
			ID: contract.RouteID(s.ID), PathPrefix: s.Path(), Service: s.ID, Teams: allTeams,
			IdempotentMethods: []string{"GET"}, TimeoutMillis: routeTimeoutMillis,
		}
		private, open := route, route
		private.ID, private.PathPrefix, private.Teams = route.ID+"-private", s.PrivatePath(), allTeams[:1]
		open.ID, open.PathPrefix, open.Teams, open.OpenToAll = route.ID+"-open", s.OpenPath(), nil, true
		out = append(out, route, private, open)
	}
	return out
}

// Configuration returns the initial configuration of the fleet. addresses maps each
// server to the address that the VMs connect to.
func (d *Deployment) Configuration(seed uint64, addresses map[contract.ServerID]string) *contract.Configuration {
	c := &contract.Configuration{Zones: d.Zones, Teams: d.Teams, Keys: d.keys(seed), Routes: d.routes()}
	for _, s := range d.Services {
		service := contract.Service{ID: s.ID, FloorShare: s.FloorShare}
		for n := range s.Servers {
			id := s.ServerID(n)
			service.Servers = append(service.Servers, contract.Server{
				ID: id, Zone: d.ServerZone(n), Address: addresses[id],
				Slots: s.Slots, ColdSlots: s.ColdSlots, MaxConnections: s.Connections,
			})
		}
		c.Services = append(c.Services, service)
	}
	return c
}

// Intent returns an intent with the changes that create c from an empty
// configuration.
func Intent(c *contract.Configuration) contract.Intent {
	var changes []contract.Change
	for _, z := range c.Zones {
		changes = append(changes, contract.SetZone{ID: z.ID, Region: z.Region})
	}
	for _, s := range c.Services {
		changes = append(changes, contract.SetService{ID: s.ID, FloorShare: s.FloorShare})
		for _, server := range s.Servers {
			changes = append(changes, contract.SetServer{Service: s.ID, Server: server})
		}
	}
	for _, t := range c.Teams {
		changes = append(changes, contract.SetTeam{Team: t})
	}
	for _, k := range c.Keys {
		changes = append(changes, contract.IssueKey{ID: k.ID, Team: k.Team, SecretHash: k.SecretHash})
	}
	for _, r := range c.Routes {
		changes = append(changes, contract.SetRoute{Route: r})
	}
	intent := contract.NewIntent(changes...)
	intent.Note = "first configuration"
	return intent
}
