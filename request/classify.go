package request

// Progress is the last stage that an exchange reached before it ended. An exchange
// is one request written to a peer and its response. The peer is a backend server
// or another VM that forwards the request to one.
type Progress int

// Stages of an exchange, in order.
const (
	// NothingWritten means that no byte of the request was written to the
	// connection.
	NothingWritten Progress = iota
	// Written means that at least one byte of the request may have been written.
	Written
	// ResponseComplete means that the whole response was received and verified.
	ResponseComplete
)

// Classify returns the outcome of an exchange. peerReportedNotRun is true if the
// peer stated in its response that it did not execute the request; it counts only
// with a complete response. No other code derives NotRun from the progress of an
// exchange.
func Classify(progress Progress, peerReportedNotRun bool) Outcome {
	switch {
	case progress == NothingWritten:
		return NotRun
	case progress == ResponseComplete && peerReportedNotRun:
		return NotRun
	case progress == ResponseComplete:
		return Answered
	default:
		return Unknown
	}
}
