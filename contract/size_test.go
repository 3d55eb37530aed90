package contract

import (
	"fmt"
	"runtime"
	"testing"

	"almondstile/zone"
)

// configurationOfSize returns a configuration with the given number of services.
// Each service has 30 servers, 9 routes and 65 teams, and each team has one key.
func configurationOfSize(services int) *Configuration {
	const serversEach, routesEach, teamsEach = 30, 9, 65
	c := &Configuration{Version: 1}
	for z := range 7 {
		c.Zones = append(c.Zones, zone.AvailabilityZone{ID: zone.ID(fmt.Sprint("zone-", z)), Region: fmt.Sprint("region-", z%3)})
	}
	for s := range services {
		service := Service{ID: ServiceID(fmt.Sprint("service-", s)), FloorShare: 0.5}
		for i := range serversEach {
			service.Servers = append(service.Servers, Server{
				ID: ServerID(fmt.Sprintf("service-%d-%d", s, i)), Zone: c.Zones[i%7].ID, Slots: 3, ColdSlots: 1, MaxConnections: 330,
				Address: fmt.Sprintf("10.%d.%d.%d:8080", s/200, s%200, i+1),
			})
		}
		c.Services = append(c.Services, service)
		var teams []TeamID
		for i := range teamsEach {
			team := TeamID(fmt.Sprintf("team-%d-%d", s, i))
			teams = append(teams, team)
			c.Teams = append(c.Teams, Team{ID: team, RatePerSecond: 7, Burst: 10, HomeCount: 1, Weight: 1})
			c.Keys = append(c.Keys, Key{ID: KeyID("key-" + string(team)), Team: team, SecretHash: HashSecret(string(team))})
		}
		for i := range routesEach {
			c.Routes = append(c.Routes, Route{
				ID: RouteID(fmt.Sprintf("route-%d-%d", s, i)), PathPrefix: fmt.Sprintf("/service-%d/%d", s, i),
				Service: service.ID, Teams: teams, IdempotentMethods: []string{"GET"}, TimeoutMillis: 2000,
			})
		}
	}
	return c
}

// BenchmarkConfigurationMemory reports the heap size of a configuration with its
// look-up tables, and the size of its snapshot, both in MB, for several numbers of
// services. The fleet must support 170 services.
func BenchmarkConfigurationMemory(b *testing.B) {
	for _, services := range []int{17, 85, 170} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				index := NewIndex(configurationOfSize(services))
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(index)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			snapshot, err := EncodeSnapshot(configurationOfSize(services))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(snapshot))/1e6, "MB-snapshot")
		})
	}
}
