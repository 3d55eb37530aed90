package integration

import (
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
)

// Guards against a confirm whose reply is lost and that exits like a success or a
// failure: its outcome is unknown, so it needs an exit code of its own, 3. A plan
// changes nothing, so a plan without a reply is a plain failure with exit code 1.
func TestConfirmWithoutReply(t *testing.T) {
	listener := listenOn(t, "127.0.0.1:0")
	var wg conc.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	wg.Go(func() { closeWithoutReply(listener) })
	environment := []string{"ALMONDSTILE_TOKEN=x", "ALMONDSTILE_OPERATOR_URL=http://" + listener.Addr().String()}
	folder := t.TempDir()
	runCommand(t, folder, environment, binary, "confirm", "some-plan").
		expectExit(t, 3, "outcome unknown", `"almondstile confirm some-plan"`)
	runCommand(t, folder, environment, binary, "confirm", "some-plan", "--json").expectExit(t, 3, `"outcome-unknown"`)
	runCommand(t, folder, environment, binary, "zone", "out", "a", "--yes").expectExit(t, 1)
}

// closeWithoutReply accepts connections until the listener is closed. It reads a
// request on each and closes the connection without a reply.
func closeWithoutReply(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_ = conn.Close()
	}
}

// Guards against two processes that both act as the same VM, because they were
// started with the same VM ID. The older process must stop by itself and log the
// cause, and the newer one must serve.
func TestSecondProcessWithOneVMID(t *testing.T) {
	f := newFleet(t)
	older, newer := f.newVM(t, 0), f.newVM(t, 0)
	older.settingsPath, older.logPath = f.folder+"/older.toml", f.folder+"/older.log"
	writeFile(t, older.settingsPath, f.settingsText(older))
	for _, v := range []*entryVM{older, newer} {
		f.startVM(t, v)
		await(t, "the process is ready", func() (string, bool) {
			g := get("http://"+v.operatorAddress+"/ready", "")
			return g.String(), g.status == 200
		})
	}
	await(t, "the older process ends", func() (string, bool) { return logTail(older.logPath), older.process.Ended() })
	if code, text := older.process.ExitCode(), logTail(older.logPath); code != 1 || !strings.Contains(text, "another process took the ID of VM") {
		t.Errorf("the older process ended with exit code %d: %s", code, text)
	}
	if g := get("http://"+newer.operatorAddress+"/ready", ""); g.status != 200 || newer.process.Ended() {
		t.Errorf("the newer process ended or is not ready: %s", g)
	}
}
