package contract

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Plan is an intent with its effect on one version. Nothing changes until an
// operator confirms it, and it can only be confirmed while Base is in force.
type Plan struct {
	ID          string    `json:"id"`
	BaseVersion uint64    `json:"base"`
	Created     time.Time `json:"created"`
	Intent      Intent    `json:"intent"`
	Effect      Effect    `json:"effect"`
}

// PlanRefusedError says why an intent cannot become a plan although its result
// would be valid.
type PlanRefusedError struct {
	Effect Effect
}

func (e *PlanRefusedError) Error() string {
	return "contract: the plan is refused: " + joinLines(e.Effect.Refusals)
}

// NewPlan computes the plan of an intent on base. The error is
// ErrEmptyIntent, an *ValidationError or a *PlanRefusedError.
func NewPlan(id string, base *Configuration, intent Intent, now time.Time) (Plan, error) {
	result, err := Apply(base, intent)
	if err != nil {
		return Plan{}, err
	}
	effect := ComputeEffect(base, result, intent.AllowNoSlots)
	if len(effect.Refusals) > 0 {
		return Plan{}, &PlanRefusedError{Effect: effect}
	}
	return Plan{ID: id, BaseVersion: base.Version, Created: now, Intent: intent, Effect: effect}, nil
}

// Delta is an accepted intent. Applied to version Version-1 it gives Version.
type Delta struct {
	Version uint64 `json:"version"`
	Intent  Intent `json:"intent"`
}

// ErrVersionGap says that a delta does not follow the version it is applied to.
var ErrVersionGap = errors.New("contract: the delta does not follow the version")

// ApplyDelta returns the configuration after the delta.
func ApplyDelta(base *Configuration, d Delta) (*Configuration, error) {
	if d.Version != base.Version+1 {
		return nil, errors.Wrapf(ErrVersionGap, "delta %d on version %d", d.Version, base.Version)
	}
	return Apply(base, d.Intent)
}
