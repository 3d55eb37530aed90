package configcheck

import (
	"strings"

	"almondstile/contract"
)

// place is what a route matches: requests for the host whose path begins with the prefix.
type place struct{ host, prefix string }

func (k *checker) routes() {
	k.used = make(map[contract.ServiceID]bool)
	ids, places := make(map[contract.RouteID]bool), make(map[place]contract.RouteID)
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		path := entry("routes", string(r.ID))
		k.id(path, string(r.ID), ids[r.ID])
		ids[r.ID] = true
		k.match(path, r, places)
		k.destination(path, r)
		k.times(path, r)
		if r.Rank < 0 {
			k.error(path+".rank", "%d; 0 is the most urgent rank", r.Rank)
		}
	}
	k.unusedServices()
}

// match checks that requests can reach the route. places holds the routes so far.
func (k *checker) match(path string, r *contract.Route, places map[place]contract.RouteID) {
	if canonicalHost(r.Host) != strings.ToLower(r.Host) {
		k.error(path+".host", "%q has a port; requests are matched without it, so none can match", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		k.error(path+".prefix", "%q must begin and end with a slash", r.PathPrefix)
	}
	if strings.ContainsAny(r.PathPrefix, "?#") {
		k.error(path+".prefix", "%q contains a query or a fragment; requests are matched by path, so none can match", r.PathPrefix)
	}
	at := place{strings.ToLower(r.Host), r.PathPrefix}
	if other, taken := places[at]; taken {
		k.error(path, "route %q has the same host and prefix; it can never match", other)
	}
	places[at] = r.ID
}

// destination checks the services to which the route leads.
func (k *checker) destination(path string, r *contract.Route) {
	if len(r.Split) == 0 {
		k.service(path+".service", r.Service)
		return
	}
	total, seen := 0, make(map[contract.ServiceID]bool)
	for _, part := range r.Split {
		k.service(path+".split", part.Service)
		if seen[part.Service] {
			k.warn(path+".split", "service %q is listed twice; its weights are added", part.Service)
		}
		seen[part.Service] = true
		switch {
		case part.Weight < 0:
			k.error(path+".split", "service %q has weight %d; must not be negative", part.Service, part.Weight)
		case part.Weight == 0:
			k.warn(path+".split", "service %q has weight 0 and gets no request", part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		k.error(path+".split", "all weights together are %d, so no part gets a request", total)
	}
}

// service checks that a service to which a route leads exists, and records its use.
func (k *checker) service(path string, id contract.ServiceID) {
	k.used[id] = true
	if k.index.Service(id) == nil {
		k.error(path, "there is no service %q", id)
	}
}

// times checks the route's timeout and target latency against each other, and its attempts.
func (k *checker) times(path string, r *contract.Route) {
	switch {
	case r.TimeoutMillis <= 0:
		k.error(path+".timeout", "the timeout is %s; every request would end at once", r.Timeout())
	case r.TargetLatencyMillis < 0:
		k.error(path+".target_latency", "%s; must not be negative", r.TargetLatency())
	case r.TargetLatencyMillis > r.TimeoutMillis:
		k.error(path+".target_latency", "%s is longer than the timeout of %s", r.TargetLatency(), r.Timeout())
	}
	if r.Attempts < 0 {
		k.error(path+".attempts", "%d; must not be negative", r.Attempts)
	}
}
