package hosted

import (
	"time"

	"almondstile/contract"
	"almondstile/memory"
)

// memoryBytes returns the memory that the process may use.
func (s *Settings) memoryBytes() int64 {
	if s.MaxMemoryBytes > 0 {
		return s.MaxMemoryBytes
	}
	return memory.DefaultProcessBytes
}

// newBudget returns the budget of the bytes that the process holds for callers.
func (v *Process) newBudget() *memory.Budget {
	if v.settings.MaxMemoryBytes > 0 {
		memory.LimitRuntime(v.settings.MaxMemoryBytes)
	}
	return memory.NewBudget(memory.BudgetBytes(v.settings.memoryBytes()), time.Now, v.metrics)
}

// callerLimits returns the limits of the configuration in force.
func (v *Process) callerLimits() contract.CallerLimits {
	if index := v.catalog.View().Index; index != nil {
		return index.CallerLimits()
	}
	return contract.CallerLimits{}
}

// sweepMemory returns unused memory to the system and sets the gauges of the budget.
func (v *Process) sweepMemory() {
	v.budget.ReturnUnused()
	v.budget.SetGauges(v.metrics)
}
