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
	// freshFor is the age up to which a reported version is used without asking.
	freshFor = 3 * time.Second
	// rememberFor is the time after which the version of a silent VM, which may
	// have been replaced, is forgotten.
	rememberFor = 5 * time.Minute
	// maxAskedAtOnce bounds the calls in flight of one status request.
	maxAskedAtOnce = 16
)

// VMVersion is the version in force at a VM.
type VMVersion struct {
	VM      vm.ID  `json:"vm"`
	Version uint64 `json:"version"`
	// ReceivedAt is when this VM last learned the version.
	ReceivedAt time.Time `json:"heard_at"`
	// Known is false if the VM was not heard from and did not answer.
	Known bool `json:"known"`
}

// VersionsInForce lists the version in force at each of the VMs, ordered by VM. VMs
// that were not heard from in the last seconds are asked.
func (f *Follower) VersionsInForce(ctx context.Context, self vm.ID, vms []vm.VM, now time.Time) []VMVersion {
	versions := make([]VMVersion, len(vms))
	asking := pool.New().WithMaxGoroutines(maxAskedAtOnce)
	for i, v := range vms {
		if v.ID == self {
			versions[i] = VMVersion{VM: self, Version: f.Index().Version(), ReceivedAt: now, Known: f.Loaded()}
			continue
		}
		heard, ok := f.heard.Load(v.ID)
		if ok && now.Sub(heard.ReceivedAt) <= freshFor {
			versions[i] = heard
			continue
		}
		asking.Go(func() { versions[i] = f.askVersion(ctx, v, now) })
	}
	asking.Wait()
	slices.SortFunc(versions, func(a, b VMVersion) int { return cmp.Compare(a.VM, b.VM) })
	return versions
}

func (f *Follower) askVersion(ctx context.Context, v vm.VM, now time.Time) VMVersion {
	// Asking for what follows the highest number gives the version alone.
	reply, err := f.request(ctx, v, DeltasRequest{AfterVersion: math.MaxUint64, Loaded: true})
	if err != nil || !reply.Loaded {
		return VMVersion{VM: v.ID}
	}
	heard := VMVersion{VM: v.ID, Version: reply.Version, ReceivedAt: now, Known: true}
	f.heard.Store(v.ID, heard)
	return heard
}

func (f *Follower) forgetSilent(now time.Time) {
	f.heard.Range(func(_ vm.ID, v VMVersion) bool { return now.Sub(v.ReceivedAt) <= rememberFor })
}
