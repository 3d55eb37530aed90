package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"almondstile/zone"
)

// Names of the parts of a contract.
type (
	TeamID    string
	KeyID     string
	RouteID   string
	ServiceID string
	ServerID  string
)

// Team is a customer that bought a share of the fleet.
type Team struct {
	ID TeamID `json:"id" toml:"id"`
	// RatePerSecond and Burst bound the team's admitted requests over all VMs
	// together: at most Burst + RatePerSecond × t in any t seconds.
	RatePerSecond float64 `json:"rate_per_second" toml:"rate_per_second"`
	Burst         int     `json:"burst" toml:"burst"`
	// Homes is the number of VMs among which the rate and burst are split, so
	// that the loss of one does not stop the whole team. 0 leaves the choice to
	// almondstile; it cannot change later, because VMs that count differently
	// would admit more than the rate.
	HomeCount int `json:"homes" toml:"homes"`
	// Weight is the team's share of the slots when a server is short of them.
	Weight int `json:"weight" toml:"weight"`
}

// Key lets its bearer act for one team. Only the hash of the secret is kept.
type Key struct {
	ID   KeyID  `json:"id" toml:"id"`
	Team TeamID `json:"team" toml:"team"`
	// SecretHash is the hex SHA-256 of the secret part of the credential.
	SecretHash string `json:"secret_hash" toml:"secret_hash"`
	Withdrawn  bool   `json:"withdrawn,omitempty" toml:"withdrawn"`
}

// Route maps callers' paths to a service.
type Route struct {
	ID RouteID `json:"id" toml:"id"`
	// PathPrefix matches whole path segments; the longest matching prefix wins.
	PathPrefix string    `json:"path_prefix" toml:"path_prefix"`
	Service    ServiceID `json:"service" toml:"service"`
	// Teams lists the teams that may use the route. It is ignored if OpenToAll.
	Teams     []TeamID `json:"teams,omitempty" toml:"teams"`
	OpenToAll bool     `json:"open_to_all,omitempty" toml:"open_to_all"`
	// IdempotentMethods lists the methods that may safely run twice. The route
	// decides this, not the method: a GET with an effect must not be repeated.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" toml:"idempotent_methods"`
	// TimeoutMillis bounds a request from its arrival to the whole response.
	TimeoutMillis int `json:"timeout_ms" toml:"timeout_ms"`
	// Host restricts the route to requests for one host; empty means any. A
	// route with a host matches paths that begin with PathPrefix and its slash.
	Host string `json:"host,omitempty" toml:"-"`
	// AnyTeam lets every team use the route; Teams is then ignored.
	AnyTeam bool `json:"any_team,omitempty" toml:"-"`
	// Idempotence says for all methods whether requests may run twice. If it is
	// empty, IdempotentMethods decides.
	Idempotence Idempotence `json:"idempotence,omitempty" toml:"-"`
	// Split, if not empty, divides the route's requests among services.
	Split []WeightedService `json:"split,omitempty" toml:"-"`
	// Attempts bounds the backend servers that may run one request; 0 means 1.
	Attempts int `json:"attempts,omitempty" toml:"-"`
	// TargetLatencyMillis is the time within which callers want their response.
	TargetLatencyMillis int `json:"target_latency_ms,omitempty" toml:"-"`
}

// Idempotence says whether requests of a route may run more than once.
type Idempotence string

// The values of Idempotence.
const (
	IdempotentByMethod Idempotence = ""
	Idempotent         Idempotence = "idempotent"
	NotIdempotent      Idempotence = "not-idempotent"
)

// Part is one service's share of a split route.
type WeightedService struct {
	Service ServiceID `json:"service"`
	// Weight is relative to the sum of the weights of the route's parts.
	Weight int `json:"weight"`
}

// TargetLatency returns the time within which callers want their response, or
// the timeout if the route names none.
func (r *Route) TargetLatency() time.Duration {
	if r.TargetLatencyMillis == 0 {
		return r.Timeout()
	}
	return time.Duration(r.TargetLatencyMillis) * time.Millisecond
}

// PickService returns the service for a point of the route's split, which is
// uniform in [0, 1). Without a split it is the route's only service.
func (r *Route) PickService(point float64) ServiceID {
	total := 0
	for _, part := range r.Split {
		total += part.Weight
	}
	if total <= 0 {
		return r.Service
	}
	position := point * float64(total)
	for _, part := range r.Split {
		position -= float64(part.Weight)
		if position < 0 {
			return part.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Timeout returns the route's time limit for a request.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// Idempotent reports whether a request with the method may run twice.
func (r *Route) Idempotent(method string) bool {
	if r.Idempotence != IdempotentByMethod {
		return r.Idempotence == Idempotent
	}
	for _, m := range r.IdempotentMethods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

// Allows reports whether the team may use the route.
func (r *Route) Allows(team TeamID) bool {
	if r.OpenToAll || r.AnyTeam {
		return true
	}
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Service is a set of backend servers that serve the same requests.
type Service struct {
	ID ServiceID `json:"id" toml:"id"`
	// FloorShare is the least share (0 to 1) that ejection must leave healthy, of
	// the slots of the service's servers that take new work.
	FloorShare float64  `json:"floor_share" toml:"floor_share"`
	Servers    []Server `json:"servers" toml:"servers"`
	// ColdRatePerSecond is the rate of requests that a cold server bears.
	ColdRatePerSecond float64 `json:"ramp_per_second,omitempty" toml:"-"`
}

// Server is one backend server as the operators describe it.
type Server struct {
	ID      ServerID `json:"id" toml:"id"`
	Zone    zone.ID  `json:"zone" toml:"zone"`
	Address string   `json:"address" toml:"address"` // IP:port
	// Slots is the number of requests that the server runs at a time.
	Slots int `json:"slots" toml:"slots"`
	// ColdSlots is the number of requests that it bears right after a start.
	ColdSlots int `json:"cold_slots" toml:"cold_slots"`
	// Connections is the number of connections that the server accepts.
	MaxConnections int `json:"connections" toml:"connections"`
	// Leaving servers get no new work; running work finishes.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
}

// Configuration is everything that operators have confirmed, at one version.
type Configuration struct {
	Version  uint64                  `json:"version"`
	Zones    []zone.AvailabilityZone `json:"zones"`
	Services []Service               `json:"services"`
	Teams    []Team                  `json:"teams"`
	Keys     []Key                   `json:"keys"`
	Routes   []Route                 `json:"routes"`
}

// HashSecret returns the form in which the secret part of a key is kept.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SplitCredential splits what a caller presents, "<key ID>.<secret>".
func SplitCredential(credential string) (id KeyID, secret string, ok bool) {
	name, secret, ok := strings.Cut(credential, ".")
	return KeyID(name), secret, ok && name != "" && secret != ""
}

// accepts reports whether the secret belongs to the key, in a time that does
// not depend on where the hashes differ.
func (k *Key) accepts(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(k.SecretHash), []byte(HashSecret(secret))) == 1
}
