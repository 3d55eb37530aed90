// Package platformsim is a stand-in for the platform's services: a
// transactional table, an object store and a VM list. It keeps all data in
// memory, and its faults can be changed at run time. Tests in the same process
// use a Client. Platform.Handler serves other processes over HTTP with the
// DynamoDB and S3 protocols.
//
// The table is sharded by partition, the first segment of a key, and each shard
// has its own lock. A transaction locks the shards of its rows in ascending
// order. The table does not use shard.Map, which has no operation on several
// keys.
package platformsim
