// Package dynamo implements store.Table on a service that speaks the
// DynamoDB protocol.
//
// The table has the string partition key "p" (first segment of the platform
// key), the string sort key "s" (the rest, or "-" for a key of one segment),
// the number "v" (version) and the binary "b" (value). Names have one letter
// because Query returns them with every row. The library's own retries are
// off: each repeat is a decision of the caller.
package dynamo
