// Package shard holds mutable state in a fixed number of shards, each under
// its own lock, so that goroutines that work on different keys seldom wait for
// one another.
//
// The functions passed to a Map run while a shard is locked. They must be
// short, must not do I/O and must not call the same Map again: a second key
// may live in the same shard, and the lock is not reentrant.
package shard
