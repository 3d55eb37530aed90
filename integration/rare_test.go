package integration

import (
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
)

// Guards against a confirm without a reply that a script takes for a failure or
// a success, and against a plan, which changes nothing, that gets the same code.
func TestConfirmWithoutReply(t *testing.T) {
	listener := occupy(t, "127.0.0.1:0")
	var wg conc.WaitGroup
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { _ = listener.Close() })
	wg.Go(func() { hangUpOnAll(listener) })
	environment := []string{"ALMONDSTILE_TOKEN=x", "ALMONDSTILE_OPERATOR_URL=http://" + listener.Addr().String()}
	folder := t.TempDir()
	run(t, folder, environment, binary, "confirm", "some-plan").
		exits(t, 3, "outcome unknown", `"almondstile confirm some-plan"`)
	run(t, folder, environment, binary, "confirm", "some-plan", "--json").exits(t, 3, `"outcome-unknown"`)
	run(t, folder, environment, binary, "zone", "out", "a", "--yes").exits(t, 1)
}

// hangUpOnAll reads a request and closes the connection without a reply.
func hangUpOnAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_ = conn.Close()
	}
}

// Guards against two processes that both act for one VM: the older one must
// stop by itself and say why, and the newer one must serve.
func TestSecondProcessWithOneVMID(t *testing.T) {
	f := newFleet(t)
	older, newer := f.newVM(t, 0), f.newVM(t, 0)
	older.settings, older.log = f.folder+"/older.toml", f.folder+"/older.log"
	writeFile(t, older.settings, f.settingsOf(older))
	for _, v := range []*entryVM{older, newer} {
		f.launch(t, v)
		await(t, "the process is ready", func() (string, bool) {
			g := get("http://"+v.operators+"/ready", "")
			return g.String(), g.status == 200
		})
	}
	await(t, "the older process ends", func() (string, bool) { return logTail(older.log), older.process.Ended() })
	if code, text := older.process.ExitCode(), logTail(older.log); code != 1 || !strings.Contains(text, "another process took the ID of VM") {
		t.Errorf("the older process ended with exit code %d: %s", code, text)
	}
	if g := get("http://"+newer.operators+"/ready", ""); g.status != 200 || newer.process.Ended() {
		t.Errorf("the newer process: %s", g)
	}
}
