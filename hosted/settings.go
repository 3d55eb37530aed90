package hosted

import (
	"time"

	"almondstile/callrate"
	"almondstile/catalog"
	"almondstile/descriptors"
	"almondstile/httpconn"
	"almondstile/memory"
	"almondstile/retry"
	"almondstile/rollout"
	"almondstile/vm"
)

// Settings holds the settings of a VM.
type Settings struct {
	// Self is this VM. Its ControlAddress receives the messages of other VMs.
	Self vm.VM
	// Seeds are control addresses of other VMs. Some of these VMs may no longer exist.
	Seeds          []string
	CallersAddress string
	ReadyAddress   string
	MetricsAddress string
	StoreAddress   string
	// StoreLimits are the calls that the store grants all VMs together.
	StoreLimits callrate.Limits
	// ShutdownTimeout is the time from the signal to stop until the process is killed.
	ShutdownTimeout time.Duration
	// MaxKeyWithdrawalTime is the time within which all VMs must reject a withdrawn
	// key; 0 means that there is no requirement.
	MaxKeyWithdrawalTime time.Duration
	// MaxChangeDelay is the time within which a change in the store must be in force
	// on all VMs; 0 stands for the default of catalog.NewReadTimes.
	MaxChangeDelay time.Duration
	RetryBudget    retry.BudgetLimits
	// IgnoreCosts makes the choice of backend servers count requests instead of weighing
	// what they are likely to cost.
	IgnoreCosts bool
	// HoldForRoom makes requests wait at the VM, or turns them away, by rank and team while
	// their service is short of room.
	HoldForRoom bool
	// MaxDescriptors is the number of descriptors that the process may have, or 0 if the
	// settings name none.
	MaxDescriptors int
	// LinkBytesPerSecond is the bandwidth of the VM's network link, or 0 if it is not known.
	LinkBytesPerSecond float64
	// MaxMemoryBytes is the memory that the process may use, or 0 if the settings name
	// none.
	MaxMemoryBytes int64
	// Rollout holds the bounds of roll-outs. If its ExposedShare is 0, the deployment has
	// none.
	Rollout rollout.Bounds
}

const (
	// keyWithdrawalMargin is the part of MaxKeyWithdrawalTime that is reserved for
	// requests on their way to a server.
	keyWithdrawalMargin = 700 * time.Millisecond
	// defaultMaxKeyAge is the maximum age if MaxKeyWithdrawalTime is 0.
	defaultMaxKeyAge = 30 * time.Second
)

// maxKeyAge returns the age of the operators' table beyond which requests with a key
// are rejected.
func (s *Settings) maxKeyAge() time.Duration {
	if s.MaxKeyWithdrawalTime == 0 {
		return defaultMaxKeyAge
	}
	return max(s.MaxKeyWithdrawalTime-keyWithdrawalMargin, s.MaxKeyWithdrawalTime/2)
}

// changeDelay returns MaxChangeDelay or its default.
func (s *Settings) changeDelay() time.Duration {
	if s.MaxChangeDelay > 0 {
		return s.MaxChangeDelay
	}
	return catalog.DefaultMaxChangeDelay
}

// maxCallerConnections returns how many connections of callers the VM serves at a time.
// Further ones are rejected, so that the VM keeps descriptors for its own connections, and
// memory.
func (s *Settings) maxCallerConnections() int {
	return min(descriptors.ForCallers(descriptors.Limit(s.MaxDescriptors)), memory.MaxConnections(s.memoryBytes(), maxHeaderBytes))
}

// maxIdleServerConnections returns how many idle connections to servers the VM keeps.
func (s *Settings) maxIdleServerConnections() int {
	return min(descriptors.ForIdleConnections(descriptors.Limit(s.MaxDescriptors)), memory.MaxIdleConnections(s.memoryBytes(), httpconn.BufferBytes))
}

// Reload applies the settings that can change while the process runs: the seeds.
// Addresses, the VM's zone and the limits that all VMs share need a restart; Reload
// logs a change of them.
func (v *Process) Reload(next *Settings) {
	log := v.log.Part("vm").WithField("vm", next.Self.ID)
	old := v.settings
	if next.CallersAddress != old.CallersAddress || next.ReadyAddress != old.ReadyAddress ||
		next.StoreAddress != old.StoreAddress || next.Self.ControlAddress != old.Self.ControlAddress ||
		next.Self.Zone != old.Self.Zone || next.RetryBudget != old.RetryBudget || next.MaxKeyWithdrawalTime != old.MaxKeyWithdrawalTime ||
		next.Rollout != old.Rollout || next.StoreLimits != old.StoreLimits {
		log.Warn("Settings that need a restart have changed; the old ones stay in force.")
	}
	v.node.SetSeeds(next.Seeds)
	log.WithField("seeds", len(next.Seeds)).Info("Reloaded the settings.")
}
