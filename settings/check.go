package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

// minPeerSecretChars is the minimum length of the shared secret in characters. 32
// random hexadecimal digits are 128 bits, which cannot be guessed.
const minPeerSecretChars = 32

var (
	// namePattern matches the names that nameRequirement describes.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9._-]{0,63}$`)
	// hashPattern matches a SHA-256 in hexadecimal digits.
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameRequirement = "must be 1 to 64 letters, digits, '-', '_' or '.', and must not start with '-' or '.'"

// check checks decoded settings, records their faults and sets the secrets that
// are read from files.
func (l *loader) check(s *Settings) {
	l.checkName("vm.id", string(s.VM.ID))
	l.checkName("vm.zone", string(s.VM.Zone))
	l.checkListen(&s.Listen)
	l.checkAdvertised(&s.Listen)
	l.checkSecurity(&s.Security)
	l.checkPlatform(&s.Platform)
	l.checkLimits(&s.Limits)
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		l.addFault("log.level", s.Log.Level, "must be one of panic, fatal, error, warn, info, debug and trace")
	}
	l.checkRange("shutdown.limit_ms", s.Shutdown.LimitMillis, 100, 600_000)
}

// checkName records a fault if value does not match namePattern.
func (l *loader) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		l.addFault(key, value, nameRequirement)
	}
}

// checkRange records a fault if value is below low or above high.
func (l *loader) checkRange(key string, value, low, high int) {
	if value < low || value > high {
		l.addFault(key, value, fmt.Sprintf("must be from %d to %d", low, high))
	}
}

// checkListen checks the addresses of the listeners, which must differ.
func (l *loader) checkListen(s *Listen) {
	seen := make(map[netip.AddrPort]string)
	for _, a := range []struct {
		key, value string
		advertised bool
	}{
		{"listen.callers", s.Callers, false},
		{"listen.forward", s.Forward, true},
		{"listen.control", s.Control, true},
		{"listen.operator", s.Operator, false},
	} {
		address, err := netip.ParseAddrPort(a.value)
		switch {
		case err != nil || address.Port() == 0:
			l.addFault(a.key, a.value, "must be an IP address and port, for instance 10.0.0.7:8080")
		case a.advertised && address.Addr().IsUnspecified():
			l.addFault(a.key, a.value, "must name one IP address, because other VMs connect to it")
		case seen[address] != "":
			l.addFault(a.key, a.value, "must differ from "+seen[address])
		default:
			seen[address] = a.key
		}
	}
}

// checkAdvertised checks the addresses that this VM advertises to other VMs. They
// may differ from the addresses of the listeners, for instance behind an address
// translation.
func (l *loader) checkAdvertised(s *Listen) {
	for _, a := range []struct{ key, value string }{
		{"listen.advertise_forward", s.AdvertiseForward},
		{"listen.advertise_control", s.AdvertiseControl},
	} {
		address, err := netip.ParseAddrPort(a.value)
		if a.value != "" && (err != nil || address.Port() == 0 || address.Addr().IsUnspecified()) {
			l.addFault(a.key, a.value, "must be empty or one IP address and port, for instance 10.0.0.7:8081")
		}
	}
}

// checkSecurity resolves the peer secret and checks it and the operators.
func (l *loader) checkSecurity(s *Security) {
	s.PeerSecret = l.resolveSecret("security.peer_secret", s.PeerSecret, s.PeerSecretFile)
	if len([]rune(s.PeerSecret.Reveal())) < minPeerSecretChars {
		l.addFault("security.peer_secret", s.PeerSecret, fmt.Sprintf("must have at least %d characters", minPeerSecretChars))
	}
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, o := range s.Operators {
		key := fmt.Sprintf("security.operators[%d].", i)
		l.checkName(key+"name", o.Name)
		if names[o.Name] {
			l.addFault(key+"name", o.Name, "must be unique")
		}
		if o.Role != RoleViewer && o.Role != RoleOperator {
			l.addFault(key+"role", o.Role, `must be "viewer" or "operator"`)
		}
		// An operator may have entered the token instead of its hash, so the value
		// is not shown.
		if !hashPattern.MatchString(o.TokenSHA256) {
			l.addFault(key+"token_sha256", Secret(""), "must be the SHA-256 of the token as 64 lower-case hexadecimal digits")
		} else if hashes[o.TokenSHA256] {
			l.addFault(key+"token_sha256", Secret(""), "must be unique")
		}
		names[o.Name], hashes[o.TokenSHA256] = true, true
	}
}

// checkPlatform resolves the platform's secret key and checks it and the other
// platform settings.
func (l *loader) checkPlatform(p *Platform) {
	l.checkURL("platform.table_endpoint", p.TableEndpoint)
	l.checkURL("platform.object_endpoint", p.ObjectEndpoint)
	l.checkURL("platform.vm_list_url", p.VMListURL)
	l.checkName("platform.region", p.Region)
	l.checkName("platform.table", p.Table)
	l.checkName("platform.bucket", p.Bucket)
	l.checkName("platform.access_key", p.AccessKey)
	p.SecretKey = l.resolveSecret("platform.secret_key", p.SecretKey, p.SecretKeyFile)
	if p.SecretKey == "" {
		l.addFault("platform.secret_key", p.SecretKey, "must not be empty")
	}
	l.checkRange("platform.timeout_ms", p.TimeoutMillis, 10, 30_000)
}

// checkURL records a fault if value is not an http or https URL. The fault does not
// show a value with a user name, because that value may contain a password.
func (l *loader) checkURL(key, value string) {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.User == nil {
		return
	}
	var shown any = value
	if err != nil || u.User != nil {
		shown = Secret("")
	}
	l.addFault(key, shown, "must be an http or https URL without a user name")
}

// checkLimits checks that each limit lies in its allowed range.
func (l *loader) checkLimits(s *Limits) {
	const day = 24 * 60 * 60 * 1000 // ms
	l.checkRange("limits.header_bytes", s.HeaderBytes, 1<<10, 1<<20)
	l.checkRange("limits.body_bytes", s.BodyBytes, 1, 64<<20)
	l.checkRange("limits.response_bytes", s.ResponseBytes, 1<<10, 64<<20)
	l.checkRange("limits.connections", s.Connections, 1, 1_000_000)
	l.checkRange("limits.memory_bytes", s.MemoryBytes, 64_000_000, 1<<40)
	l.checkRange("limits.header_timeout_ms", s.HeaderTimeoutMillis, 10, day)
	l.checkRange("limits.read_timeout_ms", s.ReadTimeoutMillis, 10, day)
	l.checkRange("limits.write_timeout_ms", s.WriteTimeoutMillis, 10, day)
	l.checkRange("limits.idle_timeout_ms", s.IdleTimeoutMillis, 10, day)
	l.checkRange("limits.queue_length", s.QueueLength, 0, 100_000)
	l.checkRange("limits.requests", s.Requests, 1, 1_000_000)
	l.checkRange("limits.requests_per_team", s.RequestsPerTeam, 1, 1_000_000)
}

// describeType returns a description of the type that the settings have at a key,
// for instance "an integer".
func describeType(key toml.Key) string {
	t := reflect.TypeFor[Settings]()
	for _, part := range key {
		if t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		next, ok := fieldType(t, part)
		if !ok {
			break
		}
		t = next
	}
	switch t.Kind() {
	case reflect.Int:
		return "an integer"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list of tables"
	}
	return "a table"
}

// fieldType returns the type of the field of the struct type t whose TOML key is
// name. It returns false if t is no struct or has no such field.
func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}
