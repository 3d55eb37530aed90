package configcheck

import (
	"strings"
	"testing"
	"time"

	"almondstile/contract"
)

// sound returns a configuration without findings.
func sound() *contract.Configuration {
	return &contract.Configuration{
		Version:  5,
		Services: []contract.Service{{ID: "stock"}, {ID: "orders"}},
		Teams:    []contract.Team{{ID: "a", RatePerSecond: 10, Burst: 10}, {ID: "b"}},
		Keys: []contract.Key{
			{ID: "k1", Team: "a", SecretHash: contract.HashSecret("1")}, {ID: "k2", Team: "b", SecretHash: contract.HashSecret("2")},
		},
		Routes: []contract.Route{
			{ID: "r-read", Host: "h.example", PathPrefix: "/read/", Service: "stock", TimeoutMillis: 2000, TargetLatencyMillis: 500, AnyTeam: true},
			{ID: "r-split", Host: "h.example", PathPrefix: "/read/all/", TimeoutMillis: 2000, AnyTeam: true,
				Split: []contract.WeightedService{{Service: "stock", Weight: 9}, {Service: "orders", Weight: 1}}},
		},
		CallerLimits: contract.CallerLimits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against findings on a sound configuration, which operators would learn to ignore.
func TestSoundConfigurationHasNoFindings(t *testing.T) {
	if r := Check(sound(), nil); len(r.Findings) > 0 || r.Changes != nil {
		t.Errorf("findings %v, changes %v", r.Findings, r.Changes)
	}
}

// Guards against a mistake that a check before sending does not show.
func TestEachMistakeIsFound(t *testing.T) {
	negative := contract.Rank(-1)
	for name, c := range map[string]struct {
		change   func(*contract.Configuration)
		severity Severity
		path     string
	}{
		"unknown service":          {func(c *contract.Configuration) { c.Routes[0].Service = "gone" }, Error, `routes["r-read"].service`},
		"unknown part":             {func(c *contract.Configuration) { c.Routes[1].Split[0].Service = "gone" }, Error, `routes["r-split"].split`},
		"part twice":               {func(c *contract.Configuration) { c.Routes[1].Split[1].Service = "stock" }, Warning, `routes["r-split"].split`},
		"negative weight":          {func(c *contract.Configuration) { c.Routes[1].Split[0].Weight = -1 }, Error, `routes["r-split"].split`},
		"part without requests":    {func(c *contract.Configuration) { c.Routes[1].Split[1].Weight = 0 }, Warning, `routes["r-split"].split`},
		"no weights":               {func(c *contract.Configuration) { c.Routes[1].Split[0].Weight, c.Routes[1].Split[1].Weight = 0, 0 }, Error, `routes["r-split"].split`},
		"same place":               {func(c *contract.Configuration) { c.Routes[1].PathPrefix = "/read/" }, Error, `routes["r-split"]`},
		"same place, other case":   {func(c *contract.Configuration) { c.Routes[1].PathPrefix, c.Routes[1].Host = "/read/", "H.example" }, Error, `routes["r-split"]`},
		"host with a port":         {func(c *contract.Configuration) { c.Routes[0].Host = "h.example:80" }, Error, `routes["r-read"].host`},
		"prefix without a slash":   {func(c *contract.Configuration) { c.Routes[0].PathPrefix = "/read" }, Error, `routes["r-read"].prefix`},
		"prefix with a query":      {func(c *contract.Configuration) { c.Routes[0].PathPrefix = "/read?a/" }, Error, `routes["r-read"].prefix`},
		"no timeout":               {func(c *contract.Configuration) { c.Routes[0].TimeoutMillis = 0 }, Error, `routes["r-read"].timeout`},
		"target above the timeout": {func(c *contract.Configuration) { c.Routes[0].TargetLatencyMillis = 2001 }, Error, `routes["r-read"].target_latency`},
		"negative attempts":        {func(c *contract.Configuration) { c.Routes[0].Attempts = -1 }, Error, `routes["r-read"].attempts`},
		"negative rank of a route": {func(c *contract.Configuration) { c.Routes[0].Rank = -1 }, Error, `routes["r-read"].rank`},
		"negative rank of a team":  {func(c *contract.Configuration) { c.Teams[0].Rank = &negative }, Error, `teams["a"].rank`},
		"route twice":              {func(c *contract.Configuration) { c.Routes[1].ID = "r-read" }, Error, `routes["r-read"]`},
		"service without a name":   {func(c *contract.Configuration) { c.Services[1].ID = "" }, Error, `services[""]`},
		"unused service":           {func(c *contract.Configuration) { c.Routes[1].Split = c.Routes[1].Split[:1] }, Warning, `services["orders"]`},
		"negative rate":            {func(c *contract.Configuration) { c.Teams[0].RatePerSecond = -1 }, Error, `teams["a"]`},
		"rate without a burst":     {func(c *contract.Configuration) { c.Teams[0].Burst = 0 }, Warning, `teams["a"].burst`},
		"burst without a rate":     {func(c *contract.Configuration) { c.Teams[0].RatePerSecond = 0 }, Warning, `teams["a"].burst`},
		"shared key":               {func(c *contract.Configuration) { c.Keys[1].SecretHash = c.Keys[0].SecretHash }, Error, `teams["b"]`},
		"key twice":                {func(c *contract.Configuration) { c.Keys = append(c.Keys, c.Keys[0]) }, Warning, `teams["a"]`},
		"team without a key":       {func(c *contract.Configuration) { c.Keys = c.Keys[:1] }, Warning, `teams["b"]`},
		"negative limit":           {func(c *contract.Configuration) { c.CallerLimits.MaxBodyBytes = -1 }, Error, "limits"},
		"head longer than idle":    {func(c *contract.Configuration) { c.CallerLimits.HeaderTimeout = time.Minute }, Warning, "limits"},
	} {
		config := sound()
		c.change(config)
		found := false
		for _, f := range Check(config, nil).Findings {
			found = found || f.Severity == c.severity && f.Path == c.path
		}
		if !found {
			t.Errorf("%s: want a finding %s at %s, got %v", name, c.severity, c.path, Check(config, nil).Findings)
		}
	}
}

// Guards against differences from the version in force that operators do not see: a version
// that VMs ignore, routes and keys that stop working, limits that change.
func TestDifferencesFromTheVersionInForce(t *testing.T) {
	before, after := sound(), sound()
	after.Version = 6
	after.Routes = after.Routes[:1]
	after.Routes[0].TimeoutMillis = 1000
	after.Keys = after.Keys[1:]
	after.CallerLimits.IdleTimeout = 20 * time.Second
	r := Check(after, before)
	if len(r.Changes.Routes) != 2 || len(r.Changes.Keys) != 1 || r.LimitsAfter == nil || *r.InForce != 5 {
		t.Errorf("changes %+v, limits %v", r.Changes, r.LimitsAfter)
	}
	text := ""
	for _, f := range r.Findings {
		text += f.String() + "\n"
	}
	for _, want := range []string{`routes["r-split"]: requests for it get 404`, `teams["a"]: 1 of the team's keys stop working`} {
		if !strings.Contains(text, want) {
			t.Errorf("no finding %q in\n%s", want, text)
		}
	}
	for version, wantErrors := range map[uint64]int{4: 1, 5: 1, 6: 0} {
		after := sound()
		after.Version = version
		if r := Check(after, before); r.Errors() != wantErrors {
			t.Errorf("version %d: %d errors, want %d: %v", version, r.Errors(), wantErrors, r.Findings)
		}
	}
}
