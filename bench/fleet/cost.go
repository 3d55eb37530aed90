package fleet

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"strconv"

	"almondstile/vm"
)

// Cost holds the resources that one VM's process has used since its start.
type Cost struct {
	CPUMicros     int64
	ResidentBytes int64
	// ControlBytes is the sum of received and sent bytes of control messages.
	ControlBytes int64
}

// costGauges is the part of a VM's metrics that Cost is computed from.
type costGauges struct {
	CPU      gauge `json:"process.cpu_us"`
	Received gauge `json:"control.received_bytes"`
	Sent     gauge `json:"control.sent_bytes"`
}

type gauge struct {
	Value int64 `json:"value"`
}

// Costs returns the cost of each VM whose metrics can be read. A VM updates its
// metrics only every few seconds, so two readings that are compared should be
// about a minute apart.
func (f *Fleet) Costs(ctx context.Context) map[vm.ID]Cost {
	return queryAll(f, func(id vm.ID) (Cost, bool) {
		var g costGauges
		err := f.Operator(id).call(ctx, callTimeout, http.MethodGet, pathMetrics, nil, &g)
		return Cost{
			CPUMicros:     g.CPU.Value,
			ResidentBytes: residentBytes(f.Member(id).Process.PID()),
			ControlBytes:  g.Received.Value + g.Sent.Value,
		}, err == nil
	})
}

// residentBytes returns the resident memory of a process in bytes, read from
// /proc. It returns 0 if the process does not exist.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range bytes.Split(status, []byte("\n")) {
		fields := bytes.Fields(line)
		if len(fields) >= 2 && string(fields[0]) == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(string(fields[1]), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
