// Package quota admits each team's requests at the rate and burst that its
// contract states, over all VMs together.
//
// A team's home VM keeps one token Bucket. Entry VMs borrow tokens from it and
// keep them in an Allowance. The rule that makes the bound exact: in the home's
// view, level plus tokens on loan never exceeds the burst, and a token counts
// as on loan until the home knows that it was used or can no longer be used.
// Every admission in a window of t seconds then uses a token that existed at
// the start of the window (at most burst) or that was refilled in it (at most
// rate × t).
//
// Three consequences:
//   - An entry VM reports each use at once, because the bucket cannot refill to
//     its burst before it knows.
//   - Tokens of a loan that expired without a report are presumed used: only
//     the room that they occupied is restored, not the tokens.
//   - A new home without a handover must assume that a whole burst is still on
//     loan from its predecessor. It refills only after these loans have expired.
//
// Tokens that lie idle on one VM are missing on the others. Small bursts are
// therefore never lent ahead of need; of large ones a share is, and the home
// recalls it when a request finds too few tokens.
package quota
