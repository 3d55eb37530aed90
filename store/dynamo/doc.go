// Package dynamo implements store.Table on a service that speaks the
// DynamoDB protocol.
//
// The rows of the table have four attributes:
//   - "p", a string, the partition key: the part of the row's key before the first '/'
//   - "s", a string, the sort key: the rest of the row's key, or "-" for a key
//     without '/'
//   - "v", a number: the version
//   - "b", binary data: the value
//
// The names have one letter because a query returns them with every row. The
// retries of the client library are off, because the caller decides about each
// retry.
package dynamo
