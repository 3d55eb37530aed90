package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	testPeerSecret  = "0123456789abcdef0123456789abcdef"
	testPlatformKey = "platform-secret-key"
)

// readExample returns the text of examples/settings.toml.
func readExample(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../examples/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// readExampleSecret is a readFile function for parse. It returns the contents of
// the secret files that the example names.
func readExampleSecret(name string) ([]byte, error) {
	switch filepath.Base(name) {
	case "peer.secret":
		return []byte(testPeerSecret + "\n"), nil
	case "platform.secret":
		return []byte(testPlatformKey), nil
	}
	return nil, os.ErrNotExist
}

// Guards against an example file that does not load or whose values differ from the
// defaults that it documents. Also guards against secrets that appear when the
// settings are printed or encoded, and against missing files without a fault.
func TestExampleLoads(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	for name, text := range map[string]string{"settings.toml": readExample(t), "peer.secret": testPeerSecret, "platform.secret": testPlatformKey} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, faults := Load(path)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	d := Defaults()
	if s.Limits != d.Limits || s.Log != d.Log || s.Shutdown != d.Shutdown || s.Platform.TimeoutMillis != d.Platform.TimeoutMillis {
		t.Errorf("the example's values differ from the defaults: %+v", s)
	}
	if s.Security.PeerSecret.Reveal() != testPeerSecret || s.Platform.SecretKey.Reveal() != testPlatformKey {
		t.Error("secrets were not read from their files")
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, printed := range []string{string(encoded), fmt.Sprintf("%v %+v %#v %x", s, *s, *s, s.Security.PeerSecret)} {
		for _, secret := range []string{testPeerSecret, testPlatformKey, fmt.Sprintf("%x", testPeerSecret)} {
			if strings.Contains(printed, secret) {
				t.Errorf("the printed settings contain a secret: %s", printed)
			}
		}
	}
	noFile := func(string) ([]byte, error) { return nil, os.ErrNotExist }
	if _, faults := parse("x", []byte(readExample(t)), noFile); len(faults) != 2 {
		t.Errorf("two missing secret files: got faults %v, want 2", faults)
	}
	if _, faults := Load(filepath.Join(dir, "none")); len(faults) != 1 || !strings.HasSuffix(faults[0].File, "none") {
		t.Errorf("missing settings file: got faults %v, want 1 that names the file", faults)
	}
}

// Guards against a load that stops at the first fault, so that an operator corrects
// a file in many steps. Also guards against faults that show a secret.
func TestLoadReportsEveryFault(t *testing.T) {
	text := readExample(t)
	for old, replacement := range map[string]string{
		`id = "vm-a1"`:                        `id = 7`,
		`zone = "scot-central-a"`:             `incarnation = "x"`,
		`callers = "0.0.0.0:8080"`:            `callers = "localhost:8080"`,
		`forward = "10.20.1.11:8081"`:         `forward = "0.0.0.0:8081"`,
		`control = "10.20.1.11:8082"`:         `control = "10.20.1.11:8083"`,
		`peer_secret_file = "peer.secret"`:    `peer_secret = "short-secret"`,
		`role = "operator"`:                   `role = "owner"`,
		`token_sha256 = "2c26`:                `token_sha256 = "plain-token`,
		`secret_key_file = "platform.secret"`: `secret_key = 4711`,
		`bucket = "almondstile"`:              `bukket = "misspelled-secret"`,
		`timeout_ms = 2000`:                   `timeout_ms = "2s"`,
		`queue_length = 64`:                   `queue_length = -1`,
		`requests_per_team = 512`:             `requests_per_team = 0`,
		`vm_list_url = "http://`:              `vm_list_url = "http://user:url-password@`,
		`level = "info"`:                      `level = "loud"`,
		`limit_ms = 30000`:                    `limit_ms = 1.5`,
	} {
		if !strings.Contains(text, old) {
			t.Fatalf("the example does not contain %s", old)
		}
		text = strings.Replace(text, old, replacement, 1)
	}
	s, faults := parse("vm.toml", []byte(text), readExampleSecret)
	if s != nil {
		t.Error("parse returned settings together with faults")
	}
	keys := make(map[string]int)
	for _, f := range faults {
		keys[f.Key]++
		if f.File != "vm.toml" || f.Value == "" || f.Requirement == "" {
			t.Errorf("incomplete fault %+v", f)
		}
		for _, secret := range []string{"short-secret", "plain-token", "4711", "misspelled-secret", "url-password"} {
			if strings.Contains(f.String(), secret) {
				t.Errorf("a fault shows a secret: %s", f)
			}
		}
	}
	want := []string{"vm.id", "vm.incarnation", "vm.zone", "listen.callers", "listen.forward", "listen.operator",
		"security.peer_secret", "security.operators[0].role", "security.operators[0].token_sha256",
		"platform.secret_key", "platform.bukket", "platform.bucket", "platform.timeout_ms", "platform.vm_list_url",
		"limits.queue_length", "limits.requests_per_team", "log.level", "shutdown.limit_ms"}
	for _, key := range want {
		if keys[key] != 1 {
			t.Errorf("%d faults for %s, want 1", keys[key], key)
		}
	}
	if len(faults) != len(want) {
		t.Errorf("%d faults, want %d: %v", len(faults), len(want), faults)
	}
}

// Guards against faults of a whole file that are printed with an empty key and a
// placeholder, as in "vm.toml:  = (not shown): ...".
func TestFaultOfWholeFile(t *testing.T) {
	_, malformed := parse("vm.toml", []byte("[vm]\nid =\n"), readExampleSecret)
	_, missing := Load("/nonexistent/vm.toml")
	for start, faults := range map[string][]Fault{
		"vm.toml: must be a TOML document; line 2":               malformed,
		"/nonexistent/vm.toml: the file must be readable: open ": missing,
	} {
		if len(faults) != 1 || !strings.HasPrefix(faults[0].String(), start) {
			t.Errorf("faults %v do not start with %q", faults, start)
		}
	}
}

// Guards against an endless loop or a panic on malformed settings. Also guards
// against settings that are returned together with faults or without a peer secret.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readExample(f)))
	f.Add([]byte("vm = 3\n[[listen]]\ncallers = 1\n[security]\noperators = [1, {name = 2}]\n"))
	f.Add([]byte("\"a.b\" = 1\n[limits]\nbody_bytes = 99999999999999999999\n"))
	f.Add([]byte("[security.operators]\nname.x = 1979-05-27\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := parse("x.toml", text, readExampleSecret)
		if (s == nil) == (len(faults) == 0) {
			t.Fatalf("got settings %v together with faults %v", s, faults)
		}
		if s != nil && len(s.Security.PeerSecret) < minPeerSecretChars {
			t.Fatal("settings without a peer secret were accepted")
		}
	})
}
