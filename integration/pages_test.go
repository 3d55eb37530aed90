package integration

import (
	"fmt"
	"github.com/cockroachdb/errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"almondstile/bench/fleet"
	"almondstile/operator"
	"almondstile/standin/backendsim"
	"almondstile/standin/platformsim"

	"github.com/sourcegraph/conc"
)

const (
	pagesFolder = "../docs/operations"
	// leaseExpiryWait is longer than the 5 s that a lease lasts.
	leaseExpiryWait = 8 * time.Second
)

// pages are the operators' pages in the order in which an operator needs them.
// Each page continues with the fleet as the page before left it.
var pages = []string{"starting.md", "configuration.md", "keys.md", "zones-and-servers.md",
	"status-and-alarms.md", "store-away.md", "replacing-vms.md"}

// pageFleet is the fleet that the operators' pages describe, on loopback.
type pageFleet struct {
	folder        string
	addressPrefix string // the first two bytes of all addresses; replaces "10.20." in scripts
	platform      *platformsim.Platform
	vms           map[string]*fleet.Process
	planID        string // the ID of the newest plan, the variable PLAN of the scripts
	// credentials are the credentials that scripts printed, by key ID.
	credentials map[string]string
}

// pageVMAddresses are the IP addresses of the pages' VMs without the prefix, by VM
// ID.
var pageVMAddresses = map[string]string{"vm-a1": "1.11", "vm-b1": "1.12", "vm-c1": "1.13"}

// Guards against operators' pages whose commands fail, or print something else
// than the pages say. It runs the scripts of all pages in order against one fleet.
func TestOperationsPages(t *testing.T) {
	f := startPageFleet(t)
	for _, page := range pages {
		steps := readPage(t, filepath.Join(pagesFolder, page))
		if len(steps) == 0 {
			t.Errorf("%s: the page has no steps", page)
		}
		for _, s := range steps {
			position := fmt.Sprintf("%s:%d", page, s.lineNumber)
			if s.directive != "" {
				f.runDirective(t, position, s.directive)
			} else {
				f.runBlock(t, position, s)
			}
		}
	}
}

// Guards against pages that the index does not list or TestOperationsPages does
// not run, and against links to files that do not exist.
func TestOperationsIndex(t *testing.T) {
	index, err := os.ReadFile(filepath.Join(pagesFolder, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(pagesFolder, "*.md"))
	if err != nil || len(files) != len(pages)+1 {
		t.Errorf("the folder has %d pages besides the index, but %d are run: %v %v", len(files)-1, len(pages), files, err)
	}
	for _, page := range pages {
		if !strings.Contains(string(index), "("+page+")") {
			t.Errorf("the index does not list %s", page)
		}
	}
	for _, file := range files {
		checkLinks(t, file)
	}
}

var pageLink = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// checkLinks reports an error for each relative link of a page to a file that
// does not exist.
func checkLinks(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, found := range pageLink.FindAllStringSubmatch(string(text), -1) {
		if _, err := os.Stat(filepath.Join(filepath.Dir(file), found[1])); err != nil {
			t.Errorf("%s: link to %s: %v", file, found[1], err)
		}
	}
}

// startPageFleet starts stand-ins for the platform and the backend servers at the
// addresses on the pages. Only the first two bytes of the addresses differ: they
// are a random prefix in the network 127.0.0.0/8 because all of it is loopback.
// The ports are those on the pages.
func startPageFleet(t *testing.T) *pageFleet {
	t.Helper()
	f := &pageFleet{
		folder: t.TempDir(), addressPrefix: fmt.Sprintf("127.%d.", 1+rand.IntN(254)), platform: platformsim.New(),
		vms: make(map[string]*fleet.Process), credentials: make(map[string]string),
	}
	for _, address := range []string{"0.2:8000", "0.3:9000", "0.4:8100"} {
		f.servePlatform(t, f.addressPrefix+address)
	}
	host := backendsim.NewHost()
	t.Cleanup(host.Close)
	for service, id := range []string{"shelfview", "loandesk"} {
		for n := range 3 {
			_, err := host.Start(backendsim.Config{
				ID: smallDeployment().Services[service].ServerID(n), Seed: seed, Slots: 3, ColdSlots: 1, MedianMicros: 3000, Sigma: 0.3,
				Address: fmt.Sprintf("%s%d.%d:9000", f.addressPrefix, service+2, n+11),
			})
			if err != nil {
				t.Fatalf("%s: %v", id, err)
			}
		}
	}
	return f
}

// servePlatform serves the platform's stand-in at the address until the test
// ends.
func (f *pageFleet) servePlatform(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: 10 * time.Second}
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	t.Cleanup(func() { _ = server.Close(); wg.Wait() })
}

// runBlock runs a script with the addresses of this fleet, and checks its exit
// code and output. It keeps the plan ID and the credential that the script
// printed.
func (f *pageFleet) runBlock(t *testing.T, position string, s pageStep) {
	t.Helper()
	script := strings.ReplaceAll(s.script, "10.20.", f.addressPrefix)
	script = strings.ReplaceAll(script, ":8100/vms", ":8100"+platformsim.VMListPath)
	environment := []string{
		"PATH=" + filepath.Dir(binary) + ":" + os.Getenv("PATH"),
		"ALMONDSTILE_OPERATOR_URL=http://" + f.addressPrefix + "1.11:8083",
		"ALMONDSTILE_TOKEN_FILE=morag.token",
		"PLAN=" + f.planID,
	}
	r := runCommand(t, f.folder, environment, "sh", "-euc", script)
	t.Logf("%s: exit code %d\n%s%s%s", position, r.exitCode, script, r.stdout, r.stderr)
	if r.exitCode != s.exitCode {
		t.Fatalf("%s: got exit code %d, want %d", position, r.exitCode, s.exitCode)
	}
	for _, text := range s.expectedTexts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("%s: the output does not contain %q", position, text)
		}
	}
	if m := planLine.FindStringSubmatch(r.stdout); m != nil {
		f.planID = m[1]
	}
	if m := credentialLine.FindStringSubmatch(r.stdout); m != nil {
		id, _, _ := strings.Cut(m[1], ".")
		f.credentials[id] = m[1]
	}
}

// runDirective carries out a directive of a page:
//
//	start VM, stop VM      start or stop a VM's process
//	in-force               wait until all VMs have the same version in force
//	caller STATUS KEY      wait until a caller with the key gets the HTTP status
//	metric NAME            wait until vm-a1 exports the metric
//	store STATE            set the store's faults: away (unavailable),
//	                       loses-responses, or any other word for none
func (f *pageFleet) runDirective(t *testing.T, position, directive string) {
	t.Helper()
	kind, argument, _ := strings.Cut(directive, " ")
	switch kind {
	case "start":
		f.startVM(t, argument)
	case "stop":
		if process := f.vms[argument]; !process.Stop(stopGracePeriod) || process.ExitCode() != 0 {
			t.Fatalf("%s: %s did not stop by itself with exit code 0", position, argument)
		}
		delete(f.vms, argument)
	case "in-force":
		f.awaitSameVersion(t, position)
	case "caller":
		status, key, _ := strings.Cut(argument, " ")
		f.awaitCallerStatus(t, position, status, key)
	case "metric":
		f.awaitMetric(t, position, argument)
	case "store":
		f.platform.SetFaults(platformsim.Faults{Unavailable: argument == "away", LoseResponses: argument == "loses-responses"})
		if argument == "away" {
			// Leases that were renewed before the outage must expire first. Otherwise
			// the next steps could pass because of these leases, and would not test
			// the rules for an outage.
			time.Sleep(leaseExpiryWait)
		}
	default:
		t.Fatalf("%s: unknown directive %q", position, directive)
	}
}

// startVM starts a VM with the settings file that a page wrote, and kills it at
// the end of the test if it still runs. If the test fails, it prints the end of the
// VM's log.
func (f *pageFleet) startVM(t *testing.T, id string) {
	t.Helper()
	log := filepath.Join(f.folder, id+".log")
	process, err := fleet.StartProcess(log, vmLimits, binary, "serve", "--settings", filepath.Join(f.folder, id+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	f.vms[id] = process
	t.Cleanup(func() {
		process.Kill()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", id, logTail(log))
		}
	})
}

// awaitSameVersion waits until all running VMs are ready, report the state of
// each other, and have the same configuration version in force.
func (f *pageFleet) awaitSameVersion(t *testing.T, position string) {
	t.Helper()
	await(t, position+": the version is in force everywhere", func() (string, bool) {
		versions := make(map[uint64]bool)
		for id := range f.vms {
			environment := []string{"ALMONDSTILE_OPERATOR_URL=http://" + f.addressPrefix + pageVMAddresses[id] + ":8083", "ALMONDSTILE_TOKEN_FILE=morag.token"}
			r := runCommand(t, f.folder, environment, binary, "status", "--json")
			if r.exitCode != 0 {
				return r.stderr, false
			}
			var s operator.Status
			r.decodeJSON(t, &s)
			if !s.Ready || len(s.Members) != len(f.vms) {
				return r.stdout, false
			}
			for _, m := range s.Members {
				if !m.Known {
					return r.stdout, false
				}
				versions[m.ConfigurationVersion] = true
			}
		}
		return fmt.Sprint(versions), len(versions) == 1
	})
}

// awaitCallerStatus waits until a caller with the key gets the HTTP status at
// every running VM.
func (f *pageFleet) awaitCallerStatus(t *testing.T, position, status, key string) {
	t.Helper()
	credential, ok := f.credentials[key]
	if !ok {
		t.Fatalf("%s: no script has printed the credential of the key %s", position, key)
	}
	for id := range f.vms {
		await(t, position+": a caller at "+id+" gets "+status, func() (string, bool) {
			g := get("http://"+f.addressPrefix+pageVMAddresses[id]+":8080/stock/hut-7", credential)
			return g.String(), fmt.Sprint(g.status) == status
		})
	}
}

// awaitMetric waits until /metrics of vm-a1 contains the metric. It has to wait
// because gauges are updated at intervals.
func (f *pageFleet) awaitMetric(t *testing.T, position, name string) {
	t.Helper()
	token, err := os.ReadFile(filepath.Join(f.folder, "morag.token"))
	if err != nil {
		t.Fatal(err)
	}
	await(t, position+": vm-a1 exports the metric "+name, func() (string, bool) {
		g := get("http://"+f.addressPrefix+pageVMAddresses["vm-a1"]+":8083/metrics", string(token))
		return string(g.body), strings.Contains(string(g.body), "# TYPE "+name+" ")
	})
}
