package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Methods of the control messages. All of them are idempotent.
const (
	MethodTake     = "quota.take"
	MethodReturn   = "quota.return"
	MethodRecall   = "quota.recall"
	MethodHandover = "quota.handover"
)

const (
	// LoanValidity is the time for which a holder may use a loan. It is
	// measured on the holder's monotonic clock from when it sent the take.
	LoanValidity = 2 * time.Second
	// reclaimAfter is the time after which the home knows that a loan can no
	// longer be used. It is the validity plus 10% for clock drift and a
	// margin of 100 ms.
	reclaimAfter = LoanValidity + LoanValidity/10 + 100*time.Millisecond
)

// Status is the result of a take.
type Status string

// The results of a take.
const (
	StatusGranted     Status = "granted"
	StatusRefused     Status = "refused"
	StatusNotHome     Status = "not-home"
	StatusUnknownTeam Status = "unknown-team"
)

// TakeRequest asks a bucket's home for a loan of tokens.
type TakeRequest struct {
	// RequestID identifies the loan. A retry of the take has the same ID.
	RequestID   string   `json:"request_id"`
	Bucket      BucketID `json:"bucket"`
	ListVersion uint64   `json:"list_version"`
	// Needed is the number of requests that are waiting for a token.
	Needed int `json:"needed"`
	// Wanted is Needed plus the number of tokens to prefetch.
	Wanted int `json:"wanted"`
}

// TakeReply is the reply to a TakeRequest. ValidForMillis is set if tokens
// were granted. RetryAfterMillis is set if fewer tokens were granted than
// needed, and gives the time until the next token is due.
type TakeReply struct {
	Status           Status `json:"status"`
	Granted          int    `json:"granted,omitempty"`
	ValidForMillis   int64  `json:"valid_for_ms,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

func (r TakeReply) validFor() time.Duration {
	return time.Duration(r.ValidForMillis) * time.Millisecond
}

func (r TakeReply) retryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// LoanReport reports how many tokens of a loan were used and how many may
// still be used. A report with Left 0 closes the loan and returns its unused
// tokens. Reports of one loan may arrive in any order and more than once.
type LoanReport struct {
	Bucket BucketID `json:"bucket"`
	LoanID string   `json:"loan_id"`
	Used   int      `json:"used"`
	Left   int      `json:"left,omitempty"`
}

// ReturnRequest carries loan reports for buckets with the same home.
type ReturnRequest struct {
	Reports []LoanReport `json:"returns"`
}

// ReturnReply acknowledges a ReturnRequest.
type ReturnReply struct{}

// RecallRequest asks an entry VM to return its unused tokens of the bucket,
// because the home had too few tokens for a request.
type RecallRequest struct {
	Bucket BucketID `json:"bucket"`
}

// RecallReply acknowledges a RecallRequest.
type RecallReply struct{}

// Handover carries the state of a bucket from the home that has stopped
// lending to the next home.
type Handover struct {
	Bucket BucketID `json:"bucket"`
	// ListVersion is the version of the first member list in which the
	// receiver is the home. The receiver ignores the handover under any other
	// version, because another VM may have been the home in between.
	ListVersion uint64         `json:"list_version"`
	Level       float64        `json:"level"`
	Loans       []HandoverLoan `json:"loans,omitempty"`
	// StartsInMillis is the time until the bucket starts to refill. It is
	// above 0 while loans of a home before the sender may still be used.
	StartsInMillis int64 `json:"starts_in_ms,omitempty"`
}

// HandoverLoan is a loan of which tokens may still be used. Open is the
// number of these tokens.
type HandoverLoan struct {
	ID              string `json:"id"`
	Granted         int    `json:"granted"`
	Open            int    `json:"open"`
	RemainingMillis int64  `json:"remaining_ms"`
}

// HandoverRequest carries all buckets that are handed over to one VM.
type HandoverRequest struct {
	Buckets []Handover `json:"buckets"`
}

// HandoverReply acknowledges a HandoverRequest.
type HandoverReply struct{}

// Errors of TokenClient.Take. Test for them with errors.Is.
var (
	// ErrHomeUnreachable means that no home of the team's buckets replied.
	ErrHomeUnreachable = errors.New("quota: the team's home is unreachable")
	// ErrUnknownTeam means that the configuration at the home does not
	// contain the team.
	ErrUnknownTeam = errors.New("quota: the configuration at the home does not contain the team")
)

// RejectedError means that the team has used up its rate and burst.
// RetryAfter is the time until the bucket's next token is due.
type RejectedError struct {
	Bucket     BucketID
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string {
	return "quota: bucket " + string(e.Bucket) + " is over its rate limit, next token in " + e.RetryAfter.String()
}
