package platformsim

import (
	"encoding/json"
	"hash/crc32"
	"net/http"
	"strconv"
	"strings"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// The table's schema, which package platform/dynamo uses: partition key, sort
// key, version and value.
const (
	partitionAttribute = "p"
	sortAttribute      = "s"
	versionAttribute   = "v"
	valueAttribute     = "b"
	// soleSortKey is the sort key of a row whose key is one segment.
	soleSortKey = "-"
)

// queryPageItems is the page size of Query. It is far below DynamoDB's 1 MB,
// so that clients meet several pages in tests.
const queryPageItems = 50

// attribute is a DynamoDB attribute value of the types that the table uses.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

type attributes map[string]attribute

func (a attributes) key() (string, error) {
	p, s := a[partitionAttribute].S, a[sortAttribute].S
	if p == nil || s == nil || *p == "" || *s == "" {
		return "", errors.Wrap(errInvalid, "the key needs the string attributes p and s")
	}
	if *s == soleSortKey {
		return *p, nil
	}
	return *p + "/" + *s, nil
}

func attributesOf(item store.Item) attributes {
	partition, sort, found := strings.Cut(item.Key, "/")
	if !found {
		sort = soleSortKey
	}
	version := strconv.FormatUint(item.Version, 10)
	return attributes{
		partitionAttribute: {S: &partition}, sortAttribute: {S: &sort},
		versionAttribute: {N: &version}, valueAttribute: {B: item.Value},
	}
}

// dynamoError is the body of a DynamoDB error response.
type dynamoError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

const dynamoErrorPrefix = "com.amazonaws.dynamodb.v20120810#"

func (p *Platform) serveDynamo(w http.ResponseWriter, r *http.Request) {
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	var result any
	var err error
	var body json.RawMessage
	if !decode(w, r, &body) {
		return
	}
	client := p.Client(clientOf(r))
	switch operation {
	case "GetItem":
		result, err = client.getItem(callContext(r), body)
	case "Query":
		result, err = client.queryItems(callContext(r), body)
	case "TransactWriteItems":
		result, err = client.transactItems(callContext(r), body)
	default:
		err = errors.Wrapf(errInvalid, "operation %q is not supported", operation)
	}
	if dropIfLost(w, err) {
		return
	}
	if err != nil {
		status, failure := dynamoFailure(err)
		writeDynamo(w, status, failure)
		return
	}
	writeDynamo(w, http.StatusOK, result)
}

// canceledError carries which conditions of a transaction failed.
type canceledError struct {
	error
	failed []bool
}

func (e canceledError) Unwrap() error { return e.error }

func dynamoFailure(err error) (status int, failure dynamoError) {
	status, failure = http.StatusBadRequest, dynamoError{Message: err.Error()}
	var canceled canceledError
	switch {
	case errors.As(err, &canceled):
		failure.Type = "TransactionCanceledException"
		for _, failed := range canceled.failed {
			reason := cancellationReason{Code: "None"}
			if failed {
				reason = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			}
			failure.Reasons = append(failure.Reasons, reason)
		}
	case errors.Is(err, errThrottled):
		failure.Type = "ProvisionedThroughputExceededException"
	case errors.Is(err, errInvalid):
		failure.Type = "ValidationException"
	default:
		status, failure.Type = http.StatusInternalServerError, "InternalServerError"
	}
	failure.Type = dynamoErrorPrefix + failure.Type
	return status, failure
}

func writeDynamo(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.Header().Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
