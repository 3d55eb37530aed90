package room

// minKindShare is the smallest part of the share that all requests get which a rank or a
// team gets. It is above a quarter, below which a kind of request counts as shut out.
const minKindShare = 0.3

// AdmitShares divides a shortage among the ranks of a service. mix holds the shares of the
// ranks in its requests, the most urgent first, and shortage the share of all requests to
// turn away. The result holds the share (0 to 1) of each rank's requests that are admitted.
//
// It answers a load beyond the room of the service. The least urgent rank is turned away
// first, but keeps minKindShare of what all get; then the next one. No rank is admitted
// more often than a more urgent one.
func AdmitShares(mix []float64, shortage float64) []float64 {
	admitted := make([]float64, len(mix))
	least := minKindShare * (1 - shortage)
	left := shortage
	for i := len(mix) - 1; i >= 0; i-- {
		cut := min(left, mix[i]*(1-least))
		left -= cut
		admitted[i] = 1
		if mix[i] > 0 {
			admitted[i] = 1 - cut/mix[i]
		}
	}
	// A rank without requests has no mix to measure it by. It is admitted like the next
	// more urgent one, so that it never goes before it.
	for i := 1; i < len(admitted); i++ {
		admitted[i] = min(admitted[i], admitted[i-1])
	}
	return admitted
}
