package integration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"almondstile/bench/deployment"
	"almondstile/bench/fleet"
	"almondstile/contract"
	"almondstile/standin/platformsim"
	"almondstile/store"
	"almondstile/zone"
)

const (
	operatorToken   = "token-of-an-operator-for-tests"
	viewerToken     = "token-of-a-viewer-for-tests"
	peerSecret      = "peer-secret-for-integration-tests"
	stopGracePeriod = 45 * time.Second
	vmCount         = 3
	seed            = 1
)

var vmLimits = fleet.Limits{Threads: "2", MemoryLimit: "96MiB"}

// smallDeployment returns a deployment of three zones and two services. Each
// service has three servers, one in each zone.
func smallDeployment() *deployment.Deployment {
	d := &deployment.Deployment{Name: "integration"}
	for _, id := range []zone.ID{"scot-central-a", "scot-central-b", "scot-central-c"} {
		d.Zones = append(d.Zones, zone.AvailabilityZone{ID: id, Region: "scot-central"})
	}
	for _, id := range []contract.ServiceID{"shelfview", "loandesk"} {
		d.Services = append(d.Services, deployment.Service{
			ID: id, Servers: 3, Slots: 3, ColdSlots: 1, Connections: 330, MedianMicros: 3000, Sigma: 0.3, FloorShare: 0.5,
		})
	}
	return d
}

// entryVM holds the addresses (host:port), the files and the process of one VM
// of a test's fleet.
type entryVM struct {
	id, zone                                                        string
	callersAddress, forwardAddress, controlAddress, operatorAddress string
	settingsPath, logPath                                           string
	process                                                         *fleet.Process
}

// testFleet is a fleet of up to three VMs, each a process, and the stand-ins that
// the VMs use.
type testFleet struct {
	*fleet.Environment
	folder string
	ports  *fleet.Ports
	vms    []*entryVM
}

// startFleet starts the stand-ins and three VMs and waits until the VMs are
// ready. The fleet has no configuration yet. All of it stops at the end of the
// test.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	return startFleetWith(t, "")
}

// startFleetWith is startFleet with further settings, in TOML, of each VM.
func startFleetWith(t *testing.T, settings string) *testFleet {
	t.Helper()
	f := newFleet(t)
	var listed []store.ListedVM
	for n := range vmCount {
		v := f.newVM(t, n)
		writeFile(t, v.settingsPath, f.settingsText(v)+settings)
		f.vms = append(f.vms, v)
		listed = append(listed, store.ListedVM{ID: v.id})
	}
	f.Platform.SetVMs(listed)
	for _, v := range f.vms {
		f.startVM(t, v)
	}
	for _, v := range f.vms {
		await(t, v.id+" is ready", func() (string, bool) {
			if v.process.Ended() {
				t.Fatalf("%s ended before it was ready", v.id)
			}
			g := get("http://"+v.operatorAddress+"/ready", "")
			return g.String(), g.status == 200
		})
	}
	return f
}

// newFleet starts the stand-ins, and writes the secrets and tokens to files. It
// starts no VM.
func newFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{folder: t.TempDir(), ports: fleet.NewPorts()}
	environment, err := fleet.NewEnvironment(smallDeployment(), seed, f.ports, false)
	if err != nil {
		t.Fatal(err)
	}
	f.Environment = environment
	t.Cleanup(environment.Close)
	writeFile(t, filepath.Join(f.folder, "peer.secret"), peerSecret+"\n")
	writeFile(t, filepath.Join(f.folder, "operator.token"), operatorToken+"\n")
	writeFile(t, filepath.Join(f.folder, "viewer.token"), viewerToken+"\n")
	return f
}

// newVM takes free addresses for the VM of the n-th zone and writes its settings
// file. It doesn't start the VM.
func (f *testFleet) newVM(t *testing.T, n int) *entryVM {
	t.Helper()
	suffix := string(rune('a' + n))
	v := &entryVM{id: "vm-" + suffix + "1", zone: "scot-central-" + suffix}
	for _, address := range []*string{&v.callersAddress, &v.forwardAddress, &v.controlAddress, &v.operatorAddress} {
		*address = f.takeAddress(t)
	}
	v.settingsPath = filepath.Join(f.folder, v.id+".toml")
	v.logPath = filepath.Join(f.folder, v.id+".log")
	writeFile(t, v.settingsPath, f.settingsText(v))
	return v
}

func (f *testFleet) takeAddress(t *testing.T) string {
	t.Helper()
	address, err := f.ports.Take()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// settingsText returns the settings file of the VM in TOML.
func (f *testFleet) settingsText(v *entryVM) string {
	endpoint := "http://" + f.PlatformAddress
	return fmt.Sprintf(`[vm]
id = %q
zone = %q
[listen]
callers = %q
forward = %q
control = %q
operator = %q
[security]
peer_secret_file = "peer.secret"
[[security.operators]]
name = "morag"
role = "operator"
token_sha256 = %q
[[security.operators]]
name = "iain"
role = "viewer"
token_sha256 = %q
[platform]
table_endpoint = %q
object_endpoint = %q
vm_list_url = %q
region = "scot-central"
table = "almondstile"
bucket = "almondstile"
access_key = %q
secret_key = "the stand-in does not check it"
`, v.id, v.zone, v.callersAddress, v.forwardAddress, v.controlAddress, v.operatorAddress, sha256Hex(operatorToken), sha256Hex(viewerToken),
		endpoint, endpoint, endpoint+platformsim.VMListPath+"?client="+v.id, v.id)
}

// startVM starts the VM's process, and kills it at the end of the test if it still
// runs. If the test fails, it prints the end of the VM's log.
func (f *testFleet) startVM(t *testing.T, v *entryVM) {
	t.Helper()
	process, err := fleet.StartProcess(v.logPath, vmLimits, binary, "serve", "--settings", v.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	v.process = process
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", v.id, logTail(v.logPath))
		}
	})
}

// initialIntent returns an intent document with all services of the fleet and
// the teams glencoe-hire and killin-library. killin-library may not use loandesk.
// It has one home, as teams with a small burst have.
func (f *testFleet) initialIntent() string {
	var b strings.Builder
	d := smallDeployment()
	for _, z := range d.Zones {
		fmt.Fprintf(&b, "[[zones]]\nid = %q\nregion = %q\n", z.ID, z.Region)
	}
	for _, s := range d.Services {
		fmt.Fprintf(&b, "[[services]]\nid = %q\nfloor_share = %v\n", s.ID, s.FloorShare)
		for n := range s.Servers {
			id := s.ServerID(n)
			fmt.Fprintf(&b, "[[services.servers]]\nid = %q\nzone = %q\naddress = %q\nslots = %d\ncold_slots = %d\nconnections = %d\n",
				id, d.ServerZone(n), f.Addresses[id], s.Slots, s.ColdSlots, s.Connections)
		}
	}
	b.WriteString(`
[[teams]]
id = "glencoe-hire"
rate_per_second = 200.0
burst = 200
weight = 2
[[teams]]
id = "killin-library"
rate_per_second = 50.0
burst = 50
weight = 1
homes = 1
[[routes]]
id = "stock"
path_prefix = "/stock"
service = "shelfview"
teams = ["glencoe-hire", "killin-library"]
idempotent_methods = ["GET"]
timeout_ms = 5000
[[routes]]
id = "loans"
path_prefix = "/loans"
service = "loandesk"
teams = ["glencoe-hire"]
idempotent_methods = ["GET"]
timeout_ms = 5000
`)
	return b.String()
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// logTail returns the last 4 KiB of a log file, or nothing if the file cannot be
// read.
func logTail(name string) string {
	const maxTailBytes = 4 << 10
	text, _ := os.ReadFile(name)
	return string(text[max(0, len(text)-maxTailBytes):])
}

// sha256Hex returns the SHA-256 hash of the text in hexadecimal.
func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
