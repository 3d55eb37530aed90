package contract

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Plan is an intent with the effect that it has on one configuration version.
// The configuration does not change until an operator confirms the plan. A plan
// can be confirmed only as long as BaseVersion is the newest version.
type Plan struct {
	ID          string    `json:"id"`
	BaseVersion uint64    `json:"base"`
	Created     time.Time `json:"created"`
	Intent      Intent    `json:"intent"`
	Effect      Effect    `json:"effect"`
}

// PlanRefusedError is returned for an intent that is refused although its result
// is a valid configuration. Effect.Refusals lists the reasons.
type PlanRefusedError struct {
	Effect Effect
}

func (e *PlanRefusedError) Error() string {
	return "contract: the plan is refused: " + joinLines(e.Effect.Refusals)
}

// NewPlan applies the intent to base and returns a plan with the effect. The
// error is ErrEmptyIntent, a *ValidationError or a *PlanRefusedError.
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

// Delta is an accepted intent. Applying it to the configuration of version
// Version-1 gives the configuration of version Version.
type Delta struct {
	Version uint64 `json:"version"`
	Intent  Intent `json:"intent"`
	// Digest is the digest of the configuration of version Version. It is "" in a
	// delta that was written by a process without digests.
	Digest string `json:"digest,omitempty"`
}

// ErrVersionGap is returned if the version of a delta is not one above the
// version of the configuration that it is applied to.
var ErrVersionGap = errors.New("contract: the delta does not follow the version")

// ApplyDelta returns the configuration that results from applying the delta to
// base. The error is ErrVersionGap or an error of Apply.
func ApplyDelta(base *Configuration, d Delta) (*Configuration, error) {
	if d.Version != base.Version+1 {
		return nil, errors.Wrapf(ErrVersionGap, "delta %d on version %d", d.Version, base.Version)
	}
	return Apply(base, d.Intent)
}
