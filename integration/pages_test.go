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
	// leaseEnds is above the 5 s that a lease lasts.
	leaseEnds = 8 * time.Second
)

// pages are in the order in which an operator needs them. Each goes on with the
// fleet that the page before left.
var pages = []string{"starting.md", "configuration.md", "keys.md", "zones-and-servers.md",
	"status-and-alarms.md", "store-away.md", "replacing-vms.md"}

// pageFleet is the fleet that the operators' pages describe, on loopback.
type pageFleet struct {
	folder   string
	prefix   string // the start of all addresses, in place of "10.20."
	platform *platformsim.Platform
	vms      map[string]*fleet.Process
	plan     string // the newest plan's ID, in place of "$PLAN"
	// credentials are those that were shown, by key ID.
	credentials map[string]string
}

// pageVMs are the addresses of the VMs on the pages, without the prefix.
var pageVMs = map[string]string{"vm-a1": "1.11", "vm-b1": "1.12", "vm-c1": "1.13"}

// Guards against pages whose commands do not work or do not show what the pages
// say.
func TestOperationsPages(t *testing.T) {
	f := startPageFleet(t)
	for _, page := range pages {
		steps := readPage(t, filepath.Join(pagesFolder, page))
		if len(steps) == 0 {
			t.Errorf("%s: no steps", page)
		}
		for _, s := range steps {
			at := fmt.Sprintf("%s:%d", page, s.line)
			if s.directive != "" {
				f.follow(t, at, s.directive)
			} else {
				f.runBlock(t, at, s)
			}
		}
	}
}

// Guards against pages that the index does not list or the test does not run,
// and against links that lead nowhere.
func TestOperationsIndex(t *testing.T) {
	index, err := os.ReadFile(filepath.Join(pagesFolder, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(pagesFolder, "*.md"))
	if err != nil || len(files) != len(pages)+1 {
		t.Errorf("%d pages besides the index, %d are run: %v %v", len(files)-1, len(pages), files, err)
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

// checkLinks finds links to files that do not exist.
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

// startPageFleet starts the platform and the backend servers of the pages. The
// whole of 127.0.0.0/8 is loopback, so the pages' addresses get a prefix of
// their own there and keep their ports.
func startPageFleet(t *testing.T) *pageFleet {
	t.Helper()
	f := &pageFleet{
		folder: t.TempDir(), prefix: fmt.Sprintf("127.%d.", 1+rand.IntN(254)), platform: platformsim.New(),
		vms: make(map[string]*fleet.Process), credentials: make(map[string]string),
	}
	for _, address := range []string{"0.2:8000", "0.3:9000", "0.4:8100"} {
		f.servePlatform(t, f.prefix+address)
	}
	host := backendsim.NewHost()
	t.Cleanup(host.Close)
	for service, id := range []string{"shelfview", "loandesk"} {
		for n := range 3 {
			_, err := host.Start(backendsim.Config{
				ID: smallDeployment().Services[service].ServerID(n), Seed: seed, Slots: 3, ColdSlots: 1, MedianMicros: 3000, Sigma: 0.3,
				Address: fmt.Sprintf("%s%d.%d:9000", f.prefix, service+2, n+11),
			})
			if err != nil {
				t.Fatalf("%s: %v", id, err)
			}
		}
	}
	return f
}

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

func (f *pageFleet) runBlock(t *testing.T, at string, s step) {
	t.Helper()
	script := strings.ReplaceAll(s.script, "10.20.", f.prefix)
	script = strings.ReplaceAll(script, ":8100/vms", ":8100"+platformsim.VMListPath)
	environment := []string{
		"PATH=" + filepath.Dir(binary) + ":" + os.Getenv("PATH"),
		"ALMONDSTILE_OPERATOR_URL=http://" + f.prefix + "1.11:8083",
		"ALMONDSTILE_TOKEN_FILE=morag.token",
		"PLAN=" + f.plan,
	}
	r := run(t, f.folder, environment, "sh", "-euc", script)
	t.Logf("%s: exit code %d\n%s%s%s", at, r.code, script, r.stdout, r.stderr)
	if r.code != s.exit {
		t.Fatalf("%s: exit code %d instead of %d", at, r.code, s.exit)
	}
	for _, text := range s.shows {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("%s: the output lacks %q", at, text)
		}
	}
	if m := planLine.FindStringSubmatch(r.stdout); m != nil {
		f.plan = m[1]
	}
	if m := credentialLine.FindStringSubmatch(r.stdout); m != nil {
		id, _, _ := strings.Cut(m[1], ".")
		f.credentials[id] = m[1]
	}
}

// follow does what a directive says.
func (f *pageFleet) follow(t *testing.T, at, directive string) {
	t.Helper()
	verb, rest, _ := strings.Cut(directive, " ")
	switch verb {
	case "start":
		f.start(t, rest)
	case "stop":
		if process := f.vms[rest]; !process.Stop(stopGrace) || process.ExitCode() != 0 {
			t.Fatalf("%s: %s did not stop by itself", at, rest)
		}
		delete(f.vms, rest)
	case "in-force":
		f.awaitInForce(t, at)
	case "caller":
		status, key, _ := strings.Cut(rest, " ")
		f.awaitCaller(t, at, status, key)
	case "metric":
		f.awaitMetric(t, at, rest)
	case "store":
		f.platform.SetFaults(platformsim.Faults{Unavailable: rest == "away", LoseResponses: rest == "loses-responses"})
		if rest == "away" {
			// What follows must hold by the rules for an outage, not by the leases
			// that were renewed before it.
			time.Sleep(leaseEnds)
		}
	default:
		t.Fatalf("%s: unknown directive %q", at, directive)
	}
}

func (f *pageFleet) start(t *testing.T, id string) {
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

// awaitInForce waits until all running VMs are ready, know each other, and have
// the same version.
func (f *pageFleet) awaitInForce(t *testing.T, at string) {
	t.Helper()
	await(t, at+": the version is in force everywhere", func() (string, bool) {
		versions := make(map[uint64]bool)
		for id := range f.vms {
			environment := []string{"ALMONDSTILE_OPERATOR_URL=http://" + f.prefix + pageVMs[id] + ":8083", "ALMONDSTILE_TOKEN_FILE=morag.token"}
			r := run(t, f.folder, environment, binary, "status", "--json")
			if r.code != 0 {
				return r.stderr, false
			}
			var s operator.Status
			r.decode(t, &s)
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

// awaitCaller waits until a caller with the key gets the status at every
// running VM.
func (f *pageFleet) awaitCaller(t *testing.T, at, status, key string) {
	t.Helper()
	credential, ok := f.credentials[key]
	if !ok {
		t.Fatalf("%s: no credential of the key %s was shown", at, key)
	}
	for id := range f.vms {
		await(t, at+": a caller at "+id+" gets "+status, func() (string, bool) {
			g := get("http://"+f.prefix+pageVMs[id]+":8080/stock/hut-7", credential)
			return g.String(), fmt.Sprint(g.status) == status
		})
	}
}

// awaitMetric waits until /metrics of vm-a1 has the metric. Gauges are set at
// intervals.
func (f *pageFleet) awaitMetric(t *testing.T, at, name string) {
	t.Helper()
	token, err := os.ReadFile(filepath.Join(f.folder, "morag.token"))
	if err != nil {
		t.Fatal(err)
	}
	await(t, at+": the metric "+name, func() (string, bool) {
		g := get("http://"+f.prefix+pageVMs["vm-a1"]+":8083/metrics", string(token))
		return string(g.body), strings.Contains(string(g.body), "# TYPE "+name+" ")
	})
}
