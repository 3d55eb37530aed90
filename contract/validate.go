package contract

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"almondstile/zone"
)

// Upper limits of values. They detect mistakes such as a rate in the wrong unit,
// and prevent overflows in sums of slots and tokens.
const (
	maxIDBytes           = 64
	maxRatePerSecond     = 10_000_000
	maxBurst             = 10_000_000
	maxWeight            = 1_000_000
	maxSlots             = 10_000
	maxConnections       = 1_000_000
	maxTimeoutMillis     = 600_000
	maxPathPrefixBytes   = 1024
	maxIdempotentMethods = 16
)

// Patterns of valid values. IDs are used in table keys and header values, so they
// must not contain '/' or white space. The ID of a key also must not contain '.',
// because the first '.' of a credential separates the key's ID from the secret.
var (
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]*$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
	prefixPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~!$&'()*+,;=:@-]+)*/?$`)
)

// Validate checks a whole configuration. It returns a *ValidationError with all
// faults, or nil if there are none.
func Validate(c *Configuration) error {
	v := validator{
		zones:     make(map[zone.ID]bool, len(c.Zones)),
		services:  make(map[ServiceID]bool, len(c.Services)),
		servers:   make(map[ServerID]bool),
		teams:     make(map[TeamID]bool, len(c.Teams)),
		keys:      make(map[KeyID]bool, len(c.Keys)),
		routes:    make(map[RouteID]bool, len(c.Routes)),
		addresses: make(map[netip.AddrPort]ServerID),
		prefixes:  make(map[string]RouteID, len(c.Routes)),
	}
	for i := range c.Zones {
		v.zone(&c.Zones[i])
	}
	for i := range c.Teams {
		v.team(&c.Teams[i])
	}
	for i := range c.Services {
		v.service(&c.Services[i])
	}
	for i := range c.Keys {
		v.key(&c.Keys[i])
	}
	for i := range c.Routes {
		v.route(&c.Routes[i])
	}
	return v.err()
}

// validator collects the faults of a configuration. Its maps hold the items checked
// so far. They serve to detect duplicates and references to items that do not
// exist.
type validator struct {
	faultList
	zones     map[zone.ID]bool
	services  map[ServiceID]bool
	servers   map[ServerID]bool
	teams     map[TeamID]bool
	keys      map[KeyID]bool
	routes    map[RouteID]bool
	addresses map[netip.AddrPort]ServerID
	prefixes  map[string]RouteID
}

// checkID checks that the ID is well-formed and not yet in seen, and adds it to
// seen. The kind is the name of the item's list.
func checkID[T ~string](l *faultList, kind string, id T, seen map[T]bool) {
	path := pathOf(kind, string(id), "id")
	l.require(len(id) <= maxIDBytes && idPattern.MatchString(string(id)), path, id,
		"must be 1 to 64 letters, digits, '-', '_' or '.', and must not start with '-' or '.'")
	l.require(!seen[id], path, id, "must be unique")
	seen[id] = true
}

// requireInRange records a fault unless low <= value <= high.
func requireInRange[T int | float64](l *faultList, path fieldPath, value, low, high T) {
	// The comparison is false for NaN, so NaN is recorded as a fault too.
	if !(value >= low && value <= high) {
		l.add(path, value, fmt.Sprintf("must be from %v to %v", low, high))
	}
}

func (v *validator) zone(z *zone.AvailabilityZone) {
	checkID(&v.faultList, "zones", z.ID, v.zones)
}

func (v *validator) team(t *Team) {
	id := string(t.ID)
	checkID(&v.faultList, "teams", t.ID, v.teams)
	if !(t.RatePerSecond > 0 && t.RatePerSecond <= maxRatePerSecond) {
		v.add(pathOf("teams", id, "rate_per_second"), t.RatePerSecond,
			fmt.Sprintf("must be above 0 and at most %d", maxRatePerSecond))
	}
	requireInRange(&v.faultList, pathOf("teams", id, "burst"), t.Burst, 1, maxBurst)
	requireInRange(&v.faultList, pathOf("teams", id, "weight"), t.Weight, 1, maxWeight)
	requireInRange(&v.faultList, pathOf("teams", id, "homes"), t.HomeCount, 0, min(maxHomeCount, max(1, t.Burst)))
}

func (v *validator) service(s *Service) {
	checkID(&v.faultList, "services", s.ID, v.services)
	requireInRange(&v.faultList, pathOf("services", string(s.ID), "floor_share"), s.FloorShare, 0, 1)
	for i := range s.Servers {
		v.server(&s.Servers[i])
	}
}

func (v *validator) server(s *Server) {
	id := string(s.ID)
	checkID(&v.faultList, "servers", s.ID, v.servers)
	v.require(v.zones[s.Zone], pathOf("servers", id, "zone"), s.Zone, "must name a zone of the configuration")
	requireInRange(&v.faultList, pathOf("servers", id, "slots"), s.Slots, 1, maxSlots)
	requireInRange(&v.faultList, pathOf("servers", id, "cold_slots"), s.ColdSlots, 1, max(s.Slots, 1))
	// Each request in flight occupies a connection.
	requireInRange(&v.faultList, pathOf("servers", id, "connections"), s.MaxConnections, max(s.Slots, 1), maxConnections)
	v.address(s)
}

// address checks the server's address. Two servers must not share an address: the
// process at the address would get requests for the slots of both, which exceeds
// its capacity.
func (v *validator) address(s *Server) {
	path := pathOf("servers", string(s.ID), "address")
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		v.add(path, s.Address, "must be an IP address and port, for instance 10.0.0.7:8080")
		return
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if other, taken := v.addresses[address]; taken {
		v.add(path, s.Address, fmt.Sprintf("must differ from the address of server %q", other))
	}
	v.addresses[address] = s.ID
}

func (v *validator) key(k *Key) {
	id := string(k.ID)
	checkID(&v.faultList, "keys", k.ID, v.keys)
	v.require(!strings.Contains(id, "."), pathOf("keys", id, "id"), k.ID, "must not contain '.'")
	v.require(v.teams[k.Team], pathOf("keys", id, "team"), k.Team, "must name a team of the configuration")
	// An invalid value may be the secret itself, so the fault does not show it.
	v.require(hashPattern.MatchString(k.SecretHash), pathOf("keys", id, "secret_hash"), "(not shown)",
		"must be the SHA-256 of the secret as 64 lower-case hexadecimal digits")
}

func (v *validator) route(r *Route) {
	id := string(r.ID)
	checkID(&v.faultList, "routes", r.ID, v.routes)
	v.prefix(r)
	v.require(v.services[r.Service], pathOf("routes", id, "service"), r.Service, "must name a service of the configuration")
	listed := make(map[TeamID]bool, len(r.Teams))
	for _, t := range r.Teams {
		v.require(v.teams[t], pathOf("routes", id, "teams"), t, "must name teams of the configuration")
		v.require(!listed[t], pathOf("routes", id, "teams"), t, "must name each team once")
		listed[t] = true
	}
	requireInRange(&v.faultList, pathOf("routes", id, "idempotent_methods.length"), len(r.IdempotentMethods), 0, maxIdempotentMethods)
	for _, m := range r.IdempotentMethods {
		v.require(methodPattern.MatchString(m), pathOf("routes", id, "idempotent_methods"), m,
			"must be upper-case method names")
	}
	requireInRange(&v.faultList, pathOf("routes", id, "timeout_ms"), r.TimeoutMillis, 1, maxTimeoutMillis)
}

// prefix checks the route's path prefix. Two routes must not have the same prefix,
// even if their hosts differ.
func (v *validator) prefix(r *Route) {
	path := pathOf("routes", string(r.ID), "path_prefix")
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathPrefixBytes ||
		!prefixPattern.MatchString(r.PathPrefix) || hasDotSegment(r.PathPrefix) {
		v.add(path, r.PathPrefix, `must start with "/" and consist of plain path segments without "." and ".."`)
		return
	}
	canonical := strings.TrimSuffix(r.PathPrefix, "/")
	if other, taken := v.prefixes[canonical]; taken {
		v.add(path, r.PathPrefix, fmt.Sprintf("must differ from the prefix of route %q", other))
	}
	v.prefixes[canonical] = r.ID
}

// hasDotSegment reports whether the path contains a segment "." or "..".
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
