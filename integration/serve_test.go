package integration

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
)

const faultySettings = `[vm]
id = "vm a1"
zone = "scot-central-a"
colour = "blue"
[listen]
callers = "localhost"
forward = "0.0.0.0:8081"
control = "127.0.0.1:8082"
operator = "127.0.0.1:8082"
[security]
peer_secret = "short-secret"
[[security.operators]]
name = "morag"
role = "admin"
token_sha256 = "the-token-itself"
[platform]
table_endpoint = "10.20.0.2:8000"
object_endpoint = "http://10.20.0.3:9000"
vm_list_url = "http://10.20.0.4:8100/vms"
region = "scot-central"
table = "almondstile"
bucket = "almondstile"
access_key = "almondstile"
secret_key = "platform-secret"
timeout_ms = "fast"
[log]
level = "loud"
[shutdown]
limit_ms = 5
`

// faultyKeys are the keys of the faults in faultySettings.
var faultyKeys = []string{
	"vm.id", "vm.colour", "listen.callers", "listen.forward", "listen.operator", "security.peer_secret",
	"security.operators[0].role", "security.operators[0].token_sha256", "platform.table_endpoint",
	"platform.timeout_ms", "log.level", "shutdown.limit_ms",
}

// Guards against operators who correct a settings file fault by fault, against
// secrets in the list of faults, and against a VM that starts all the same.
func TestCheckListsEveryFault(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "faulty.toml")
	writeFile(t, name, faultySettings)
	for _, args := range [][]string{{"check", "--settings", name}, {"serve", "--settings", name}} {
		r := run(t, folder, nil, binary, args...).exits(t, 2, faultyKeys...)
		if all := r.stdout + r.stderr; strings.Contains(all, "short-secret") || strings.Contains(all, "the-token-itself") {
			t.Errorf("%s shows a secret: %s", args[0], all)
		}
	}
	var listed struct {
		Faults []struct{ Key, Allowed string } `json:"faults"`
	}
	run(t, folder, nil, binary, "check", "--json", "--settings", name).exits(t, 2).decode(t, &listed)
	if len(listed.Faults) != len(faultyKeys) {
		t.Errorf("%d faults instead of %d: %+v", len(listed.Faults), len(faultyKeys), listed.Faults)
	}
}

// Guards against faults of the file itself that do not name their place.
func TestCheckOfUnreadableSettings(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "broken.toml")
	writeFile(t, name, "[vm]\nid = \"vm-a1\"\nzone =\n")
	for _, command := range []string{"check", "serve"} {
		run(t, folder, nil, binary, command, "--settings", name).exits(t, 2, "broken.toml", "line 3")
		run(t, folder, nil, binary, command, "--settings", "missing.toml").exits(t, 2, "missing.toml")
	}
}

// Guards against a check that binds ports or calls the platform, and against
// complaints about good settings.
func TestCheckOfGoodSettings(t *testing.T) {
	f := newFleet(t)
	v := f.newVM(t, 0)
	busy := occupy(t, v.callers)
	before := f.Platform.Counters()
	run(t, f.folder, nil, binary, "check", "--settings", v.settings).exits(t, 0, "no faults")
	if after := f.Platform.Counters(); after != before {
		t.Errorf("the check called the platform: %+v, then %+v", before, after)
	}
	_ = busy.Close()
}

// Guards against a VM that runs with some of its listeners only, or that does
// not say which address is in use.
func TestServeWithPortInUse(t *testing.T) {
	f := newFleet(t)
	v := f.newVM(t, 0)
	for key, address := range map[string]string{
		"listen.callers": v.callers, "listen.forward": v.forward, "listen.control": v.control, "listen.operator": v.operators,
	} {
		busy := occupy(t, address)
		run(t, f.folder, nil, binary, "serve", "--settings", v.settings).exits(t, 1, key, address, "address already in use")
		_ = busy.Close()
	}
}

func occupy(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against commands without a token or a VM that fail without a word on
// what is missing.
func TestCommandsWithoutTokenOrVM(t *testing.T) {
	folder := t.TempDir()
	run(t, folder, nil, binary, "status").exits(t, 2, "--token-file", "ALMONDSTILE_TOKEN")
	run(t, folder, []string{"ALMONDSTILE_TOKEN=x", "ALMONDSTILE_OPERATOR_URL=http://127.0.0.1:1"}, binary, "status").
		exits(t, 1, "127.0.0.1:1", "connection refused")
	run(t, folder, nil, binary, "statsu").exits(t, 2, "statsu")
	run(t, folder, nil, binary, "plan").exits(t, 2, "--file")
}
