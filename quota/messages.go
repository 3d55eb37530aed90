package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Methods of the control messages. All of them are safe to repeat.
const (
	MethodTake     = "quota.take"
	MethodReturn   = "quota.return"
	MethodRecall   = "quota.recall"
	MethodHandover = "quota.handover"
)

const (
	// LoanValidity is the time in which a holder may use a loan, counted on its
	// monotonic clock from the moment it sent the take.
	LoanValidity = 2 * time.Second
	// reclaimAfter is the time after which the home knows that a loan is no
	// longer used: the validity, 10% for clock drift and a margin.
	reclaimAfter = LoanValidity + LoanValidity/10 + 100*time.Millisecond
)

// Status is the home's answer to a take.
type Status string

// The answers to a take.
const (
	StatusGranted     Status = "granted"
	StatusRefused     Status = "refused"
	StatusNotHome     Status = "not-home"
	StatusUnknownTeam Status = "unknown-team"
)

// TakeRequest asks a team's home for tokens.
type TakeRequest struct {
	// RequestID names the loan. A repeated take has the same ID.
	RequestID   string   `json:"request_id"`
	Bucket      BucketID `json:"bucket"`
	ListVersion uint64   `json:"list_version"`
	// Needed is the number of requests that wait for a token now.
	Needed int `json:"needed"`
	// Wanted is Needed plus the tokens that the demand will use soon.
	Wanted int `json:"wanted"`
}

// TakeReply is the answer to a TakeRequest. A reply that grants less than was
// needed also says when the next token is due.
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

// LoanReport reports how much of a loan was used. A loan with nothing left is
// closed, and its tokens that were not used go back. Reports of one loan may
// arrive in any order and more than once.
type LoanReport struct {
	Bucket BucketID `json:"bucket"`
	LoanID string   `json:"loan_id"`
	Used   int      `json:"used"`
	Left   int      `json:"left,omitempty"`
}

// ReturnRequest carries the reports for teams with the same home.
type ReturnRequest struct {
	Reports []LoanReport `json:"returns"`
}

// ReturnReply acknowledges a ReturnRequest.
type ReturnReply struct{}

// RecallRequest asks an entry VM to return a team's unused tokens, because the
// home had to refuse a request while they lie idle.
type RecallRequest struct {
	Bucket BucketID `json:"bucket"`
}

// RecallReply acknowledges a RecallRequest.
type RecallReply struct{}

// Handover carries a bucket from a home that has stopped acting to the next.
type Handover struct {
	Bucket BucketID `json:"bucket"`
	// ListVersion is the version of the first member list in which the
	// receiver holds the role. The receiver ignores the handover under any
	// other version, since another VM may have been the home in between.
	ListVersion uint64         `json:"list_version"`
	Level       float64        `json:"level"`
	Loans       []HandoverLoan `json:"loans,omitempty"`
	// StartsInMillis is above 0 if the bucket does not refill yet, because loans
	// of a home before the giver may still be used.
	StartsInMillis int64 `json:"starts_in_ms,omitempty"`
}

// HandoverLoan is a loan that may still be used.
type HandoverLoan struct {
	ID              string `json:"id"`
	Granted         int    `json:"granted"`
	Open            int    `json:"open"`
	RemainingMillis int64  `json:"remaining_ms"`
}

// HandoverRequest carries all buckets that go to one VM.
type HandoverRequest struct {
	Buckets []Handover `json:"buckets"`
}

// HandoverReply acknowledges a HandoverRequest.
type HandoverReply struct{}

// Errors of Tokens.Take. Test with errors.Is.
var (
	// ErrHomeUnreachable says that no home of the team answered.
	ErrHomeUnreachable = errors.New("quota: the team's home cannot be reached")
	// ErrUnknownTeam says that the home's configuration lacks the team.
	ErrUnknownTeam = errors.New("quota: the team's home does not know the team")
)

// RejectedError says that the team has used up its rate and burst.
type RejectedError struct {
	Bucket     BucketID
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string {
	return "quota: team " + string(e.Bucket) + " is over its rate, next token in " + e.RetryAfter.String()
}
