// Command review plays the scripted cases of the review: it starts VMs as processes of
// their own, and stand-ins of the platform's store, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	noRun  verdict = 2
)

// maxLength is the time after which a case is given up.
const maxLength = 118 * time.Second

// cases holds the scripted cases by name. trouble is false in the run without the
// disruption.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"gone-pipeline":   gonePipeline,
	"hold-pipeline":   holdPipeline,
	"late-refusal":    lateRefusal,
	"stop-pipeline":   stopPipeline,
	"stop-preconnect": stopPreconnect,
}

func main() {
	runtime.LockOSThread() // the VMs get a signal when the thread that started them ends
	if len(os.Args) != 3 || os.Getenv("RUN_COMMAND") == "" {
		fmt.Fprintln(os.Stderr, "usage: RUN_COMMAND=... review CASE RECORD")
		os.Exit(int(noRun))
	}
	play, ok := cases[os.Args[1]]
	record, err := os.Create(os.Args[2])
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "review: no such case, or no record:", err)
		os.Exit(int(noRun))
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		os.Exit(int(noRun))
	}
	time.AfterFunc(maxLength, func() {
		f.note("the case could not run: it took too long")
		f.close()
		os.Exit(int(noRun))
	})
	v, err := play(f, os.Getenv("TROUBLE") != "0")
	f.close()
	if err != nil {
		f.note("the case could not run: %v", err)
		v = noRun
	}
	f.note("verdict: %s", map[verdict]string{held: "the rule held", broken: "the rule was broken", noRun: "could not run"}[v])
	_ = record.Close()
	os.Exit(int(v))
}
