package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"almondstile/bench/fleet"
	"almondstile/contract"
	"almondstile/standin/backendsim"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// crowdMemoryMB is the memory in MB (10^6 bytes) that the VM may take.
	crowdMemoryMB = 128
	crowdCallers  = 80
	// crowdBodyBytes is the largest body that the VM's settings allow.
	crowdBodyBytes = 4 << 20
	// crowdSendTime bounds how long a caller of the crowd sends.
	crowdSendTime = 20 * time.Second
)

// crowdSettings is added to the VM's settings file.
var crowdSettings = fmt.Sprintf("[limits]\nbody_bytes = %d\nmemory_bytes = %d\n", crowdBodyBytes, crowdMemoryMB*1_000_000)

// peakMemory returns the largest memory that the VM's process has taken, in bytes.
func (v *entryVM) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.process.PID()))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// checkCrowd checks that the VM's process lives, stays within its memory and answers.
func (v *entryVM) checkCrowd(t *testing.T) {
	t.Helper()
	if peak := v.peakMemory(t); v.process.Ended() || peak > crowdMemoryMB*1_000_000 {
		t.Errorf("%s: ended %v; the process has taken up to %d MB, want at most %d MB", v.id, v.process.Ended(), peak/1_000_000, crowdMemoryMB)
	}
	t.Logf("%s has taken up to %d MB", v.id, v.peakMemory(t)/1_000_000)
	if g := get("http://"+v.callersAddress+"/stock", ""); g.status == 0 || g.outcome == "" {
		t.Errorf("an ordinary request got %s", g)
	}
}

// sendCrowd starts a VM and a crowd of callers that each send the head of a request with a
// body of crowdBodyBytes and the first bytes of it, and then stay connected.
func sendCrowd(t *testing.T, bodyBytes int) {
	t.Helper()
	f := newFleet(t)
	v := f.newVM(t, 0)
	writeFile(t, v.settingsPath, f.settingsText(v)+crowdSettings)
	f.startVM(t, v)
	await(t, "the VM is ready", func() (string, bool) {
		g := get("http://"+v.operatorAddress+"/ready", "")
		return g.String(), g.status == 200
	})
	body := bytes.Repeat([]byte("x"), bodyBytes)
	conns := make([]net.Conn, crowdCallers)
	var wg conc.WaitGroup
	for i := range conns {
		nc, err := net.DialTimeout("tcp4", v.callersAddress, crowdSendTime)
		if err != nil {
			t.Fatal(err)
		}
		conns[i] = nc
		wg.Go(func() {
			_ = nc.SetDeadline(time.Now().Add(crowdSendTime))
			_, _ = fmt.Fprintf(nc, "POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", crowdBodyBytes)
			_, _ = nc.Write(body) // an error means that it was turned away
		})
	}
	wg.Wait()
	v.checkCrowd(t)
	for _, nc := range conns {
		_ = nc.Close()
	}
	v.checkCrowd(t)
}

// Guards against memory that is taken for bodies that are announced and never sent.
func TestCrowdOfAnnouncedBodiesOnAVMThatOwnsServers(t *testing.T) { sendCrowd(t, 0) }

// Guards against memory that grows with the number of bodies that stop short of their end.
func TestCrowdOfBodiesOnAVMThatOwnsServers(t *testing.T) { sendCrowd(t, crowdBodyBytes-1) }

const (
	// crowdVisits is how often each caller comes to a fleet.
	crowdVisits = 6
	// crowdMaxVisits bounds how often a caller comes who comes again and again.
	crowdMaxVisits = 1000
	// crowdSlowFactor makes a server take about a second for a request.
	crowdSlowFactor = 300
)

// startCrowdFleet starts three VMs with the limits of crowdSettings, which own slow servers,
// and issues keys.
func startCrowdFleet(t *testing.T) *workflow {
	t.Helper()
	w := &workflow{startFleetWith(t, crowdSettings), make(map[contract.TeamID]string), make(map[contract.TeamID]string)}
	firstConfiguration(t, w)
	keyIssue(t, w)
	callersGetResponses(t, w)
	for id := range w.Servers.Servers() {
		if err := w.Servers.SetMode(id, backendsim.Mode{SlowFactor: crowdSlowFactor}); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// Guards against memory that grows with the copies of bodies at the VM that accepts them and
// at those that own the servers.
func TestCrowdOfWholeBodiesOnVMsThatForward(t *testing.T) {
	w := startCrowdFleet(t)
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	var wg conc.WaitGroup
	for i := range crowdCallers * len(w.vms) {
		wg.Go(func() {
			for range crowdVisits {
				nc, err := net.DialTimeout("tcp", w.vms[i%len(w.vms)].callersAddress, crowdSendTime)
				if err != nil {
					continue // the queue of connections to accept is full
				}
				_ = nc.SetDeadline(time.Now().Add(crowdSendTime))
				_, _ = fmt.Fprintf(nc, "POST /loans/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
					w.credentials["glencoe-hire"], len(body))
				_, _ = nc.Write(body) // an error means that it was turned away
				_, _ = io.ReadFull(nc, make([]byte, 1))
				_ = nc.Close()
			}
		})
	}
	wg.Wait()
	for _, v := range w.vms {
		v.checkCrowd(t)
	}
}

// Guards against memory that grows with the bodies that callers without a token send to the
// operators' listener, and against a VM that counts as not ready beside them.
func TestCrowdAtTheOperatorsListener(t *testing.T) {
	const callers, bodyBytes = 200, 1 << 20
	f := startFleetWith(t, crowdSettings)
	v := f.vms[0]
	body := bytes.Repeat([]byte("x"), bodyBytes-1)
	conns := make([]net.Conn, callers)
	var wg conc.WaitGroup
	for i := range conns {
		nc, err := net.DialTimeout("tcp", v.operatorAddress, crowdSendTime)
		if err != nil {
			continue // the queue of connections to accept is full
		}
		conns[i] = nc
		wg.Go(func() {
			_ = nc.SetDeadline(time.Now().Add(crowdSendTime))
			_, _ = fmt.Fprintf(nc, "POST /v1/plans HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodyBytes)
			_, _ = nc.Write(body) // an error means that it was turned away
			_ = nc.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = nc.Read(make([]byte, 1)) // the VM reads the body meanwhile
		})
	}
	wg.Wait()
	if g := get("http://"+v.operatorAddress+"/ready", ""); g.status != 200 {
		t.Errorf("beside the crowd, the readiness check got %s", g)
	}
	for _, nc := range conns {
		if nc != nil {
			_ = nc.Close()
		}
	}
	v.checkCrowd(t)
}

// Guards against a VM that never accepts a connection of another VM again because a crowd of
// callers used up its descriptors for a moment.
func TestCrowdThatUsesUpDescriptors(t *testing.T) {
	const descriptors, callers = 120, 300
	f := newFleet(t)
	v := f.newVM(t, 0)
	process, err := fleet.StartProcess(v.logPath, vmLimits, "sh", "-c",
		fmt.Sprintf("ulimit -n %d && exec %s serve --settings %s", descriptors, binary, v.settingsPath))
	if err != nil {
		t.Fatal(err)
	}
	v.process = process
	t.Cleanup(process.Kill)
	ready := func() (string, bool) {
		g := get("http://"+v.operatorAddress+"/ready", "")
		return g.String(), g.status == 200
	}
	await(t, "the VM is ready", ready)
	// An unauthenticated call ends with a closed connection.
	controlAnswers := func() bool {
		nc, err := net.DialTimeout("tcp", v.controlAddress, crowdSendTime)
		if err != nil {
			return false
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(crowdSendTime))
		_, _ = fmt.Fprint(nc, `{"jsonrpc":"2.0","id":1,"method":"link.heartbeat","params":{}}`)
		_, err = io.Copy(io.Discard, nc)
		return err == nil || errors.Is(err, syscall.ECONNRESET)
	}
	if !controlAnswers() {
		t.Fatal("in calm, the control listener does not answer")
	}
	var conns []net.Conn
	for range callers {
		nc, err := net.DialTimeout("tcp", v.callersAddress, time.Second)
		if err != nil {
			break // the queue of connections to accept is full
		}
		_, _ = fmt.Fprint(nc, "GET /stock HTTP/1.1\r\nHost: h\r\n") // not complete
		conns = append(conns, nc)
	}
	if !controlAnswers() { // needs a descriptor
		t.Error("beside the crowd, the control listener does not answer")
	}
	for _, nc := range conns {
		_ = nc.Close()
	}
	await(t, "the VM is ready after the crowd", ready)
	if !controlAnswers() {
		t.Error("after the crowd, the control listener does not answer")
	}
	v.checkCrowd(t)
}

// Guards against callers of the native way who get no answer because a crowd keeps all
// connections that the VM may have, after one ordinary request on each.
func TestCrowdOfKeptConnectionsOnAVMThatOwnsServers(t *testing.T) {
	const connections, callers = 100, 300
	f := newFleet(t)
	v := f.newVM(t, 0)
	writeFile(t, v.settingsPath, f.settingsText(v)+crowdSettings+fmt.Sprintf("connections = %d\n", connections))
	f.startVM(t, v)
	await(t, "the VM is ready", func() (string, bool) {
		g := get("http://"+v.operatorAddress+"/ready", "")
		return g.String(), g.status == 200
	})
	for range callers {
		nc, err := net.DialTimeout("tcp", v.callersAddress, crowdSendTime)
		if err != nil {
			continue // the queue of connections to accept is full
		}
		defer nc.Close()
		_ = nc.SetDeadline(time.Now().Add(crowdSendTime))
		_, _ = fmt.Fprint(nc, "GET /stock HTTP/1.1\r\nHost: h\r\n\r\n") // an error means that it was turned away
		_, _ = nc.Read(make([]byte, 4<<10))
	}
	v.checkCrowd(t)
}

// crowdMixTime is how long a crowd of several kinds comes again and again.
const crowdMixTime = 10 * time.Second

// Guards against parts of the memory of a VM of the native way that are bounded one by one but
// exceed it together, and against callers who get no answer beside such a crowd.
func TestCrowdOfAllKindsOnAVMThatOwnsServers(t *testing.T) {
	const callers = 400
	f := newFleet(t)
	v := f.newVM(t, 0)
	writeFile(t, v.settingsPath, f.settingsText(v)+crowdSettings+"connections = 300\n")
	f.startVM(t, v)
	await(t, "the VM is ready", func() (string, bool) {
		g := get("http://"+v.operatorAddress+"/ready", "")
		return g.String(), g.status == 200
	})
	body := bytes.Repeat([]byte("x"), crowdBodyBytes)
	head := "POST /stock HTTP/1.1\r\nHost: h\r\n"
	announced := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))
	kinds := [][]string{
		{head + "X-Field: " + strings.Repeat("x", 1<<20)},
		{strings.Repeat("\r\n", 1<<20)},
		{announced, string(body[1:])},
		{announced, string(body)},
		{announced, "x"},
		{head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1<<17)},
		{head + "X-Field: " + strings.Repeat("x", 15<<10) + "\r\nContent-Length: 0\r\n\r\n"},
		{head + "Content-Length: 0\r\n\r\n"},
		{""},
	}
	end := time.Now().Add(crowdMixTime)
	var wg conc.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; n < crowdMaxVisits && time.Now().Before(end); n++ {
				nc, err := net.DialTimeout("tcp", v.callersAddress, time.Second)
				if err != nil {
					continue // the queue of connections to accept is full
				}
				_ = nc.SetDeadline(end)
				for _, part := range kinds[(i+n)%len(kinds)] {
					_, _ = io.WriteString(nc, part) // an error means that it was turned away
				}
				_, _ = io.Copy(io.Discard, nc) // until the VM closes or the crowd ends
				_ = nc.Close()
			}
		})
	}
	time.Sleep(crowdMixTime / 2)
	v.checkCrowd(t)
	wg.Wait()
	v.checkCrowd(t)
}
