package hosted

import (
	"time"

	"almondstile/retry"
	"almondstile/vm"
)

// Settings are what a VM is told at its start.
type Settings struct {
	// Self has its ControlAddress for messages between VMs.
	Self vm.VM
	// Seeds are such addresses of other VMs, which may be gone.
	Seeds          []string
	CallersAddress string
	ReadyAddress   string
	MetricsAddress string
	StoreAddress   string
	// ShutdownTimeout is the time from the request to stop until the process is killed.
	ShutdownTimeout time.Duration
	// MaxKeyWithdrawalTime is the time within which a withdrawn key must stop working
	// everywhere; 0 if nothing is required.
	MaxKeyWithdrawalTime time.Duration
	RetryBudget          retry.BudgetLimits
}

const (
	// withdrawalMargin is kept free of MaxKeyWithdrawalTime for requests that are on
	// their way to a server.
	withdrawalMargin = 700 * time.Millisecond
	// defaultKeyAge applies without a requirement.
	defaultKeyAge = 30 * time.Second
)

// maxKeyAge is the age of the operators' table beyond which keys do not count.
func (s *Settings) maxKeyAge() time.Duration {
	if s.MaxKeyWithdrawalTime == 0 {
		return defaultKeyAge
	}
	return max(s.MaxKeyWithdrawalTime-withdrawalMargin, s.MaxKeyWithdrawalTime/2)
}

// Reload takes over what may change while the VM runs. Addresses, the VM's
// identity and the limits that bind it to other VMs need a restart; a change of
// them is logged.
func (v *Process) Reload(next *Settings) {
	log := v.log.Part("vm").WithField("vm", next.Self.ID)
	old := v.settings
	if next.CallersAddress != old.CallersAddress || next.ReadyAddress != old.ReadyAddress ||
		next.StoreAddress != old.StoreAddress || next.Self.ControlAddress != old.Self.ControlAddress ||
		next.Self.Zone != old.Self.Zone || next.RetryBudget != old.RetryBudget || next.MaxKeyWithdrawalTime != old.MaxKeyWithdrawalTime {
		log.Warn("Settings that need a restart have changed; the old ones stay in force.")
	}
	v.node.SetSeeds(next.Seeds)
	log.WithField("seeds", len(next.Seeds)).Info("Reloaded the settings.")
}
