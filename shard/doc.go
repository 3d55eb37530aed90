// Package shard provides a map that is split into a fixed number of shards, each
// under its own lock, so that goroutines that work on different keys rarely wait
// for each other.
//
// The functions passed to a Map run while a shard is locked. They must be
// short, must not do I/O and must not call the same Map again: another key can
// be in the same shard, and the lock is not reentrant.
package shard
