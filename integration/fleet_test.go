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
	operatorToken = "token-of-an-operator-for-tests"
	viewerToken   = "token-of-a-viewer-for-tests"
	peerSecret    = "peer-secret-for-integration-tests"
	stopGrace     = 45 * time.Second
	vmCount       = 3
	seed          = 1
)

var vmLimits = fleet.Limits{Threads: "2", MemoryLimit: "96MiB"}

// smallDeployment has three zones and two services with a server in each zone.
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

// entryVM is one VM of a test's fleet.
type entryVM struct {
	id, zone                             string
	callers, forward, control, operators string
	settings, log                        string
	process                              *fleet.Process
}

// testFleet is three VMs' processes with the stand-ins around them.
type testFleet struct {
	*fleet.Environment
	folder string
	ports  *fleet.Ports
	vms    []*entryVM
}

// startFleet starts the stand-ins and the VMs, without any configuration. All
// of them end with the test.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newFleet(t)
	var listed []store.ListedVM
	for n := range vmCount {
		v := f.newVM(t, n)
		f.vms = append(f.vms, v)
		listed = append(listed, store.ListedVM{ID: v.id})
	}
	f.Platform.SetVMs(listed)
	for _, v := range f.vms {
		f.launch(t, v)
	}
	for _, v := range f.vms {
		await(t, v.id+" is ready", func() (string, bool) {
			if v.process.Ended() {
				t.Fatalf("%s ended while starting", v.id)
			}
			g := get("http://"+v.operators+"/ready", "")
			return g.String(), g.status == 200
		})
	}
	return f
}

// newFleet starts the stand-ins alone.
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

func (f *testFleet) newVM(t *testing.T, n int) *entryVM {
	t.Helper()
	suffix := string(rune('a' + n))
	v := &entryVM{id: "vm-" + suffix + "1", zone: "scot-central-" + suffix}
	for _, address := range []*string{&v.callers, &v.forward, &v.control, &v.operators} {
		*address = f.address(t)
	}
	v.settings = filepath.Join(f.folder, v.id+".toml")
	v.log = filepath.Join(f.folder, v.id+".log")
	writeFile(t, v.settings, f.settingsOf(v))
	return v
}

func (f *testFleet) address(t *testing.T) string {
	t.Helper()
	address, err := f.ports.Take()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (f *testFleet) settingsOf(v *entryVM) string {
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
`, v.id, v.zone, v.callers, v.forward, v.control, v.operators, sha256Hex(operatorToken), sha256Hex(viewerToken),
		endpoint, endpoint, endpoint+platformsim.VMListPath+"?client="+v.id, v.id)
}

// launch starts a VM's process, which ends with the test at the latest. The log
// of a VM is shown if the test fails.
func (f *testFleet) launch(t *testing.T, v *entryVM) {
	t.Helper()
	process, err := fleet.StartProcess(v.log, vmLimits, binary, "serve", "--settings", v.settings)
	if err != nil {
		t.Fatal(err)
	}
	v.process = process
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", v.id, logTail(v.log))
		}
	})
}

// firstIntent is an intent document with all services of the fleet and the
// teams glencoe-hire and killin-library; the second may not use loandesk and has
// one home, as teams with a small burst have.
func (f *testFleet) firstIntent() string {
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

func logTail(name string) string {
	const most = 4 << 10
	text, _ := os.ReadFile(name)
	return string(text[max(0, len(text)-most):])
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
