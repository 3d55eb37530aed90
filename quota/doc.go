// Package quota admits each team's requests at the rate and burst that its
// contract states, summed over all VMs.
//
// A team's home VM keeps one token Bucket. Entry VMs borrow tokens from it and
// keep them in an Allowance. The home maintains one invariant: the level plus
// the tokens on loan never exceeds the burst. A token counts as on loan until
// the home knows that it was used or can no longer be used. Every admission in
// a window of t seconds therefore uses a token that existed at the start of the
// window (at most burst) or that was refilled in it (at most rate × t).
//
// The invariant has three consequences:
//   - An entry VM reports each use at once, because the bucket cannot refill to
//     its burst before the home has received the report.
//   - The tokens of a loan that expired without a report are presumed used. The
//     bucket may refill in their place, but they do not return to the level.
//   - A new home that received no handover must assume that a whole burst is
//     still on loan from its predecessor. It starts to refill only after these
//     loans have expired.
//
// Tokens that lie idle on one VM are missing on the others. Tokens of small
// bursts are therefore never prefetched. Of large bursts a share is prefetched,
// and the home recalls it when a request finds too few tokens.
//
// ReplicatedBuckets is a second, approximate limiter. It replicates each team's
// bucket on every VM and needs no call to a home.
package quota
