// Package s3 implements store.ObjectStore on a service that speaks the S3
// protocol with path-style addresses. The library's own retries are off.
package s3
