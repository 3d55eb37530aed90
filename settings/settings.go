package settings

import (
	"time"

	"almondstile/memory"
	"almondstile/vm"
	"almondstile/zone"
)

// Settings holds the settings of one VM. The comments of the fields give the
// defaults. A setting without a default is required.
type Settings struct {
	VM       VM       `toml:"vm" json:"vm"`
	Listen   Listen   `toml:"listen" json:"listen"`
	Security Security `toml:"security" json:"security"`
	Platform Platform `toml:"platform" json:"platform"`
	Limits   Limits   `toml:"limits" json:"limits"`
	Log      Log      `toml:"log" json:"log"`
	Shutdown Shutdown `toml:"shutdown" json:"shutdown"`
}

// VM identifies this VM. Its incarnation is not a setting: the VM chooses a new one
// at each start.
type VM struct {
	ID   vm.ID   `toml:"id" json:"id"`
	Zone zone.ID `toml:"zone" json:"zone"`
}

// Listen holds the IP:port of each listener. The VM advertises the addresses of
// Forward and Control to other VMs, so these must name one IP address.
type Listen struct {
	Callers  string `toml:"callers" json:"callers"`
	Forward  string `toml:"forward" json:"forward"`
	Control  string `toml:"control" json:"control"`
	Operator string `toml:"operator" json:"operator"`
	// AdvertiseForward and AdvertiseControl are the addresses that this VM
	// advertises to other VMs. They are needed if an address translation lies
	// between the VMs. The defaults are the addresses of the listeners.
	AdvertiseForward string `toml:"advertise_forward" json:"advertise_forward"`
	AdvertiseControl string `toml:"advertise_control" json:"advertise_control"`
}

// Security holds the secret that the VMs share and the operators' tokens.
type Security struct {
	// PeerSecret has at least 32 characters. The settings file sets exactly one
	// of PeerSecret and PeerSecretFile. Load sets PeerSecret in both cases.
	PeerSecret     Secret `toml:"peer_secret" json:"peer_secret"`
	PeerSecretFile string `toml:"peer_secret_file" json:"peer_secret_file"`
	// Operators lists who may use the operators' API. It is empty by default.
	Operators []Operator `toml:"operators" json:"operators"`
}

// Role determines what an operator may do.
type Role string

// The roles of operators.
const (
	// RoleViewer allows reading the status and making plans. A plan changes nothing
	// until it is confirmed.
	RoleViewer Role = "viewer"
	// RoleOperator allows all that RoleViewer allows, and confirming plans.
	RoleOperator Role = "operator"
)

// Operator is a user of the operators' API, who authenticates with a bearer token.
type Operator struct {
	Name string `toml:"name" json:"name"`
	Role Role   `toml:"role" json:"role"`
	// TokenSHA256 is the hexadecimal SHA-256 of the token.
	TokenSHA256 string `toml:"token_sha256" json:"token_sha256"`
}

// Platform holds the addresses and credentials of the platform's services.
type Platform struct {
	TableEndpoint string `toml:"table_endpoint" json:"table_endpoint"` // URL
	Region        string `toml:"region" json:"region"`
	Table         string `toml:"table" json:"table"`
	AccessKey     string `toml:"access_key" json:"access_key"`
	// SecretKey signs the calls. The settings file sets exactly one of SecretKey and
	// SecretKeyFile. Load sets SecretKey in both cases.
	SecretKey      Secret `toml:"secret_key" json:"secret_key"`
	SecretKeyFile  string `toml:"secret_key_file" json:"secret_key_file"`
	ObjectEndpoint string `toml:"object_endpoint" json:"object_endpoint"` // URL
	Bucket         string `toml:"bucket" json:"bucket"`
	VMListURL      string `toml:"vm_list_url" json:"vm_list_url"`
	// TimeoutMillis bounds one call. The default is 2000 ms.
	TimeoutMillis int `toml:"timeout_ms" json:"timeout_ms"`
}

// Timeout returns the time limit of one call to the platform.
func (p *Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMillis) }

// Limits bounds the resources that one caller or the whole process may use. Names
// with Millis are in milliseconds. The comments give the defaults.
type Limits struct {
	HeaderBytes   int `toml:"header_bytes" json:"header_bytes"`     // 16384
	BodyBytes     int `toml:"body_bytes" json:"body_bytes"`         // 1 MiB
	ResponseBytes int `toml:"response_bytes" json:"response_bytes"` // 4 MiB
	// Connections is the highest number of callers' connections, 4096 by default. The process
	// uses fewer if its descriptors or its memory do not bear as many.
	Connections int `toml:"connections" json:"connections"`
	// MemoryBytes is the memory that the process may use, 512 MB by default. The bytes of
	// requests and answers are bounded by a part of it.
	MemoryBytes int `toml:"memory_bytes" json:"memory_bytes"`
	// HeaderTimeoutMillis bounds the arrival of a request's head, from its first byte on.
	HeaderTimeoutMillis int `toml:"header_timeout_ms" json:"header_timeout_ms"` // 10000
	ReadTimeoutMillis   int `toml:"read_timeout_ms" json:"read_timeout_ms"`     // 10000
	WriteTimeoutMillis  int `toml:"write_timeout_ms" json:"write_timeout_ms"`   // 10000
	IdleTimeoutMillis   int `toml:"idle_timeout_ms" json:"idle_timeout_ms"`     // 60000
	QueueLength         int `toml:"queue_length" json:"queue_length"`           // 64, per backend server
	// Requests bounds the requests in flight on this VM (2048 by default), and
	// RequestsPerTeam those of one team (512 by default).
	Requests        int `toml:"requests" json:"requests"`
	RequestsPerTeam int `toml:"requests_per_team" json:"requests_per_team"`
}

// HeaderTimeout returns the time limit for reading the head of a request.
func (l *Limits) HeaderTimeout() time.Duration { return milliseconds(l.HeaderTimeoutMillis) }

// ReadTimeout returns the time limit for reading the body of a request.
func (l *Limits) ReadTimeout() time.Duration { return milliseconds(l.ReadTimeoutMillis) }

// WriteTimeout returns the time limit for writing one response.
func (l *Limits) WriteTimeout() time.Duration { return milliseconds(l.WriteTimeoutMillis) }

// IdleTimeout returns the time after which an idle connection of a caller is closed.
func (l *Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMillis) }

// Log configures the log.
type Log struct {
	Level string `toml:"level" json:"level"` // "info"
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// LimitMillis bounds the shutdown. The default is 30000 ms. Requests that are in
	// flight at the limit are aborted.
	LimitMillis int `toml:"limit_ms" json:"limit_ms"`
}

// Limit returns the time limit of a graceful shutdown.
func (s *Shutdown) Limit() time.Duration { return milliseconds(s.LimitMillis) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Defaults returns settings with all defaults. Required settings are empty.
func Defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMillis: 2000},
		Limits: Limits{
			HeaderBytes:         16 << 10,
			BodyBytes:           1 << 20,
			ResponseBytes:       4 << 20,
			Connections:         4096,
			MemoryBytes:         memory.DefaultProcessBytes,
			HeaderTimeoutMillis: 10_000,
			ReadTimeoutMillis:   10_000,
			WriteTimeoutMillis:  10_000,
			IdleTimeoutMillis:   60_000,
			QueueLength:         64,
			Requests:            2048,
			RequestsPerTeam:     512,
		},
		Log:      Log{Level: "info"},
		Shutdown: Shutdown{LimitMillis: 30_000},
	}
}
