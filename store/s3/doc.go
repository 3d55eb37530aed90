// Package s3 implements store.ObjectStore on a service that speaks the S3 protocol
// with path-style addresses. The retries of the client library are off, because the
// caller decides about each retry.
package s3
