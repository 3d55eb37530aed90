package request

// Progress says how far an exchange with a backend server, or with another VM
// that speaks to it, got before it ended.
type Progress int

// Stages of an exchange, in order.
const (
	// NothingWritten means that no byte of the request left this process.
	NothingWritten Progress = iota
	// Written means that at least one byte may have left.
	Written
	// ResponseComplete means that the whole response was received and checked.
	ResponseComplete
)

// Classify derives the outcome of an exchange. peerSaidNotRun is an explicit
// statement of the other side in a complete response. This is the only place that
// turns the state of an exchange into NotRun.
func Classify(progress Progress, peerSaidNotRun bool) Outcome {
	switch {
	case progress == NothingWritten:
		return NotRun
	case progress == ResponseComplete && peerSaidNotRun:
		return NotRun
	case progress == ResponseComplete:
		return Answered
	default:
		return Unknown
	}
}
