package configcheck

import (
	"maps"
	"slices"
	"strings"

	"almondstile/contract"
)

// Check examines a configuration. inForce is the configuration in force, or nil if it is
// not known.
func Check(c, inForce *contract.Configuration) *Report {
	k := checker{config: c, index: contract.NewIndex(c)}
	k.services()
	k.teams()
	k.keys()
	k.routes()
	k.callerLimits()
	report := &Report{Version: c.Version}
	if inForce != nil {
		compare(report, &k.findings, inForce, c)
	}
	report.Findings = k.findings
	return report
}

// checker holds the findings on one configuration.
type checker struct {
	findings
	config *contract.Configuration
	index  *contract.Index
	// used holds the services to which routes lead.
	used map[contract.ServiceID]bool
}

func (k *checker) services() {
	seen := make(map[contract.ServiceID]bool)
	for i := range k.config.Services {
		s := &k.config.Services[i]
		path := entry("services", string(s.ID))
		k.id(path, string(s.ID), seen[s.ID])
		seen[s.ID] = true
		if s.ColdRatePerSecond < 0 {
			k.error(path+".cold_rate", "%v requests a second; must not be negative", s.ColdRatePerSecond)
		}
	}
}

// id checks that an entry has a name that no earlier entry of the list has.
func (k *checker) id(path, id string, seen bool) {
	switch {
	case id == "":
		k.error(path, "the entry has no name")
	case seen:
		k.error(path, "an earlier entry has the same name and is replaced by this one")
	}
}

func (k *checker) teams() {
	seen := make(map[contract.TeamID]bool)
	for i := range k.config.Teams {
		t := &k.config.Teams[i]
		path := entry("teams", string(t.ID))
		k.id(path, string(t.ID), seen[t.ID])
		seen[t.ID] = true
		switch {
		case t.RatePerSecond < 0 || t.Burst < 0:
			k.error(path, "rate %v a second, burst %d; neither may be negative", t.RatePerSecond, t.Burst)
		case t.RatePerSecond > 0 && t.Burst == 0:
			k.warn(path+".burst", "a rate without a burst admits no two requests at once; the burst counts as 1")
		case t.RatePerSecond == 0 && t.Burst > 0:
			k.warn(path+".burst", "the team has a burst of %d but no rate, so it has no limit at all", t.Burst)
		}
		if t.Rank != nil && *t.Rank < 0 {
			k.error(path+".rank", "%d; 0 is the most urgent rank", *t.Rank)
		}
	}
}

// keys checks that each key belongs to one team, and that the teams can send requests.
func (k *checker) keys() {
	teamOf, hasKey := make(map[string]contract.TeamID), make(map[contract.TeamID]bool)
	for i := range k.config.Keys {
		key := &k.config.Keys[i]
		if key.Withdrawn {
			continue
		}
		hasKey[key.Team] = true
		owner, taken := teamOf[key.SecretHash]
		teamOf[key.SecretHash] = key.Team
		switch {
		case taken && owner != key.Team:
			k.error(entry("teams", string(key.Team)), "a key of this team is a key of team %q as well; requests with it would run for one of them only", owner)
		case taken:
			k.warn(entry("teams", string(key.Team)), "the team has a key twice")
		}
	}
	for i := range k.config.Teams {
		if id := k.config.Teams[i].ID; !hasKey[id] {
			k.warn(entry("teams", string(id)), "the team has no key, so none of its requests can match")
		}
	}
}

func (k *checker) callerLimits() {
	l := k.config.CallerLimits
	if l.MaxHeaderBytes < 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		k.error("limits", "no limit may be negative")
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.warn("limits", "a head may take %s, but a connection is closed after %s without a request", l.HeaderTimeout, l.IdleTimeout)
	}
}

// unusedServices warns of services to which no route leads.
func (k *checker) unusedServices() {
	for i := range k.config.Services {
		if id := k.config.Services[i].ID; !k.used[id] {
			k.warn(entry("services", string(id)), "no route leads to the service")
		}
	}
}

// compare adds to the report what differs from the configuration in force.
func compare(report *Report, found *findings, before, after *contract.Configuration) {
	report.InForce = &before.Version
	effect := contract.ComputeEffect(before, after, true)
	effect.Warnings = nil // they repeat findings, or speak of slots, which servers state themselves on a prepared platform
	report.Changes = &effect
	if before.CallerLimits != after.CallerLimits {
		report.LimitsBefore, report.LimitsAfter = &before.CallerLimits, &after.CallerLimits
	}
	if after.Version <= before.Version {
		found.error("version", "%d is not above %d, the version in force; VMs ignore it", after.Version, before.Version)
	}
	if effect.Empty() && report.LimitsBefore == nil {
		found.warn("version", "nothing differs from version %d, which is in force", before.Version)
	}
	for _, r := range effect.Routes {
		if r.Kind == contract.Removed {
			found.warn(entry("routes", string(r.ID)), "requests for it get 404, or the route with the next shorter prefix")
		}
	}
	removed := make(map[contract.TeamID]int)
	for _, key := range effect.Keys {
		if key.Kind == contract.Removed || key.Kind == contract.Withdrawn {
			removed[key.Team]++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(removed)) {
		found.warn(entry("teams", string(id)), "%d of the team's keys stop working", removed[id])
	}
}

// canonicalHost returns the form in which a request's host is looked up.
func canonicalHost(host string) string {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	return name
}
