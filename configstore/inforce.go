package configstore

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"almondstile/vm"

	"github.com/sourcegraph/conc/pool"
)

const (
	// maxReportAge is the age up to which a version reported by a VM is used. The
	// version is requested from the VM again if the report is older.
	maxReportAge = 3 * time.Second
	// silentPeerRetention is the time after which the reported version of a silent
	// VM is deleted. The VM may have been replaced by another one.
	silentPeerRetention = 5 * time.Minute
	// maxVersionRequests limits the concurrent requests of one call of VersionsInForce.
	maxVersionRequests = 16
)

// VMVersion is the version of the configuration that is in force at a VM.
type VMVersion struct {
	VM      vm.ID  `json:"vm"`
	Version uint64 `json:"version"`
	// ReceivedAt is the time at which the version was last received from the VM.
	ReceivedAt time.Time `json:"heard_at"`
	// Known is false if there is no recent report of the VM and it did not answer a
	// request. Version and ReceivedAt are zero then.
	Known bool `json:"known"`
}

// VersionsInForce returns the version in force at each of the VMs, ordered by VM
// ID. It requests the version from VMs whose last report is older than 3 s
// (maxReportAge). self is the ID of this VM.
func (f *Follower) VersionsInForce(ctx context.Context, self vm.ID, vms []vm.VM, now time.Time) []VMVersion {
	versions := make([]VMVersion, len(vms))
	requests := pool.New().WithMaxGoroutines(maxVersionRequests)
	for i, v := range vms {
		if v.ID == self {
			versions[i] = VMVersion{VM: self, Version: f.Index().Version(), ReceivedAt: now, Known: f.Loaded()}
			continue
		}
		reported, ok := f.peerVersions.Load(v.ID)
		if ok && now.Sub(reported.ReceivedAt) <= maxReportAge {
			versions[i] = reported
			continue
		}
		requests.Go(func() { versions[i] = f.requestVersion(ctx, v, now) })
	}
	requests.Wait()
	slices.SortFunc(versions, func(a, b VMVersion) int { return cmp.Compare(a.VM, b.VM) })
	return versions
}

// requestVersion requests the version in force from a VM and records it.
func (f *Follower) requestVersion(ctx context.Context, v vm.VM, now time.Time) VMVersion {
	// No delta follows the highest version number, so the reply holds the version alone.
	reply, err := f.requestDeltas(ctx, v, DeltasRequest{AfterVersion: math.MaxUint64, Loaded: true})
	if err != nil || !reply.Loaded {
		return VMVersion{VM: v.ID}
	}
	reported := VMVersion{VM: v.ID, Version: reply.Version, ReceivedAt: now, Known: true}
	f.peerVersions.Store(v.ID, reported)
	return reported
}

// newestReportedVersion returns the newest version that a VM has reported in the
// last 3 s (maxReportAge), or 0 if there is no such report.
func (f *Follower) newestReportedVersion(now time.Time) (newest uint64) {
	f.peerVersions.Range(func(_ vm.ID, v VMVersion) bool {
		if now.Sub(v.ReceivedAt) <= maxReportAge {
			newest = max(newest, v.Version)
		}
		return true
	})
	return newest
}

// deleteSilentPeers deletes the versions of VMs that have been silent for longer
// than silentPeerRetention.
func (f *Follower) deleteSilentPeers(now time.Time) {
	f.peerVersions.Range(func(_ vm.ID, v VMVersion) bool { return now.Sub(v.ReceivedAt) <= silentPeerRetention })
}
