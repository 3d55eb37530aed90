package integration

import (
	"net"
	"path/filepath"
	"strings"
	"testing"
)

// invalidSettings is a settings file with one fault in each of invalidKeys.
const invalidSettings = `[vm]
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

// invalidKeys are the keys in invalidSettings that the check must report.
var invalidKeys = []string{
	"vm.id", "vm.colour", "listen.callers", "listen.forward", "listen.operator", "security.peer_secret",
	"security.operators[0].role", "security.operators[0].token_sha256", "platform.table_endpoint",
	"platform.timeout_ms", "log.level", "shutdown.limit_ms",
}

// Guards against a check that reports only the first fault of a settings file, so
// that operators need a run for each fault. Also guards against secrets in the
// list of faults, and against a VM that starts with invalid settings.
func TestCheckListsEveryFault(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "faulty.toml")
	writeFile(t, name, invalidSettings)
	for _, args := range [][]string{{"check", "--settings", name}, {"serve", "--settings", name}} {
		r := runCommand(t, folder, nil, binary, args...).expectExit(t, 2, invalidKeys...)
		if all := r.stdout + r.stderr; strings.Contains(all, "short-secret") || strings.Contains(all, "the-token-itself") {
			t.Errorf("the output of %s contains a secret: %s", args[0], all)
		}
	}
	var listed struct {
		Faults []struct{ Key, Allowed string } `json:"faults"`
	}
	runCommand(t, folder, nil, binary, "check", "--json", "--settings", name).expectExit(t, 2).decodeJSON(t, &listed)
	if len(listed.Faults) != len(invalidKeys) {
		t.Errorf("got %d faults, want %d: %+v", len(listed.Faults), len(invalidKeys), listed.Faults)
	}
}

// Guards against an error that does not name the file and the line if a settings
// file is missing or is not valid TOML.
func TestCheckOfUnreadableSettings(t *testing.T) {
	folder := t.TempDir()
	name := filepath.Join(folder, "broken.toml")
	writeFile(t, name, "[vm]\nid = \"vm-a1\"\nzone =\n")
	for _, command := range []string{"check", "serve"} {
		runCommand(t, folder, nil, binary, command, "--settings", name).expectExit(t, 2, "broken.toml", "line 3")
		runCommand(t, folder, nil, binary, command, "--settings", "missing.toml").expectExit(t, 2, "missing.toml")
	}
}

// Guards against a check that reports faults in valid settings, binds ports or
// calls the platform. One of the ports is in use, so that a check that binds it
// fails.
func TestCheckOfGoodSettings(t *testing.T) {
	f := newFleet(t)
	v := f.newVM(t, 0)
	listener := listenOn(t, v.callersAddress)
	before := f.Platform.Counters()
	runCommand(t, f.folder, nil, binary, "check", "--settings", v.settingsPath).expectExit(t, 0, "no faults")
	if after := f.Platform.Counters(); after != before {
		t.Errorf("the check called the platform: %+v, then %+v", before, after)
	}
	_ = listener.Close()
}

// Guards against a VM that runs with only some of its listeners because a port is
// in use, and against an error that does not name the address and its key.
func TestServeWithPortInUse(t *testing.T) {
	f := newFleet(t)
	v := f.newVM(t, 0)
	for key, address := range map[string]string{
		"listen.callers": v.callersAddress, "listen.forward": v.forwardAddress, "listen.control": v.controlAddress, "listen.operator": v.operatorAddress,
	} {
		listener := listenOn(t, address)
		runCommand(t, f.folder, nil, binary, "serve", "--settings", v.settingsPath).expectExit(t, 1, key, address, "address already in use")
		_ = listener.Close()
	}
}

// listenOn listens on the address, so that it is in use until the test ends or
// closes the listener.
func listenOn(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against an error that does not say what is missing if a command lacks a
// token, a reachable VM or a flag, or if its name is mistyped.
func TestCommandsWithoutTokenOrVM(t *testing.T) {
	folder := t.TempDir()
	runCommand(t, folder, nil, binary, "status").expectExit(t, 2, "--token-file", "ALMONDSTILE_TOKEN")
	runCommand(t, folder, []string{"ALMONDSTILE_TOKEN=x", "ALMONDSTILE_OPERATOR_URL=http://127.0.0.1:1"}, binary, "status").
		expectExit(t, 1, "127.0.0.1:1", "connection refused")
	runCommand(t, folder, nil, binary, "statsu").expectExit(t, 2, "statsu")
	runCommand(t, folder, nil, binary, "plan").expectExit(t, 2, "--file")
}
