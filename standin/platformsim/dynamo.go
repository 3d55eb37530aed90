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

// Attribute names of the table: partition key, sort key, version and value.
// They match the schema that package store/dynamo uses.
const (
	partitionAttribute = "p"
	sortAttribute      = "s"
	versionAttribute   = "v"
	valueAttribute     = "b"
	// singleSegmentSortKey is the sort key of a row whose key has no '/'. DynamoDB
	// allows no empty sort key.
	singleSegmentSortKey = "-"
)

// queryPageItems is the maximum number of items in a Query response. DynamoDB's
// own limit is 1 MB per page; a small page makes clients in tests read several.
const queryPageItems = 50

// attribute is a DynamoDB attribute value: a string, a number or binary data.
// The table uses no other types.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B []byte  `json:"B,omitempty"`
}

// attributes is a DynamoDB item or key, by attribute name.
type attributes map[string]attribute

// key returns the store key of a DynamoDB key: "partition/sort", or "partition"
// for singleSegmentSortKey. It returns errInvalid if an attribute is missing.
func (a attributes) key() (string, error) {
	p, s := a[partitionAttribute].S, a[sortAttribute].S
	if p == nil || s == nil || *p == "" || *s == "" {
		return "", errors.Wrap(errInvalid, "the key needs the string attributes p and s")
	}
	if *s == singleSegmentSortKey {
		return *p, nil
	}
	return *p + "/" + *s, nil
}

// attributesOf converts a row to a DynamoDB item. It splits the key at the
// first '/' into partition key and sort key.
func attributesOf(item store.Item) attributes {
	partition, sort, found := strings.Cut(item.Key, "/")
	if !found {
		sort = singleSegmentSortKey
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

// cancellationReason says whether the condition of one transaction item failed.
type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

const dynamoErrorPrefix = "com.amazonaws.dynamodb.v20120810#"

// serveDynamo handles the DynamoDB operations GetItem, Query and
// TransactWriteItems, which the header X-Amz-Target names.
func (p *Platform) serveDynamo(w http.ResponseWriter, r *http.Request) {
	_, operation, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	var result any
	var err error
	var body json.RawMessage
	if !decodeJSON(w, r, &body) {
		return
	}
	client := p.Client(clientIDOf(r))
	switch operation {
	case "GetItem":
		result, err = client.getItem(detachedContext(r), body)
	case "Query":
		result, err = client.queryItems(detachedContext(r), body)
	case "TransactWriteItems":
		result, err = client.transactItems(detachedContext(r), body)
	default:
		err = errors.Wrapf(errInvalid, "operation %q is not supported", operation)
	}
	if closeIfResponseLost(w, err) {
		return
	}
	if err != nil {
		status, failure := dynamoErrorFor(err)
		writeDynamo(w, status, failure)
		return
	}
	writeDynamo(w, http.StatusOK, result)
}

// canceledError is the error of a transaction with a failed condition. failed
// has one entry per write, true if the write's condition failed.
type canceledError struct {
	error
	failed []bool
}

func (e canceledError) Unwrap() error { return e.error }

// dynamoErrorFor converts an error to the HTTP status and body that DynamoDB
// would send for it.
func dynamoErrorFor(err error) (status int, failure dynamoError) {
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

// writeDynamo sends value as JSON with its CRC-32, which AWS clients verify.
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
