package configstore

import (
	"slices"

	"almondstile/contract"
)

// keepWithdrawals returns the next configuration with the keys withdrawn that are
// withdrawn in the one in force. They differ only if the store has lost the
// withdrawal and its versions were given out again.
func (f *Follower) keepWithdrawals(inForce, next *contract.Configuration) *contract.Configuration {
	withdrawn := make(map[contract.KeyID]string)
	for _, k := range inForce.Keys {
		if k.Withdrawn {
			withdrawn[k.ID] = k.SecretHash
		}
	}
	var keys []contract.Key // a copy of next.Keys once one of them differs
	for i, k := range next.Keys {
		if hash, ok := withdrawn[k.ID]; !ok || k.Withdrawn || hash != k.SecretHash {
			continue
		}
		if keys == nil {
			keys = slices.Clone(next.Keys)
		}
		keys[i].Withdrawn = true
		f.log.WithField("key", k.ID).Error("The store has lost the withdrawal of a key; it stays withdrawn here. Withdraw it again.")
	}
	if keys == nil {
		return next
	}
	kept := *next
	kept.Keys = keys
	return &kept
}
