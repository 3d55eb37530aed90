// Package platformsim is a stand-in for the platform: a transactional table, an
// object store and a VM list, kept in memory, with faults that are set at run
// time. Tests use a Client in-process; Server speaks the DynamoDB and S3
// protocols over HTTP for whole processes.
//
// The rows of one partition (the first segment of a key) share a shard with
// its own lock. A transaction locks the shards that it touches in ascending
// order; shard.Map has no operation on several keys, so it cannot be used here.
package platformsim
