// Package state holds in-memory data structures: sharded maps with a lock per shard, decaying sums, heaps, the records
// of claimed idempotency keys, and a clock that includes suspensions of the VM.
package state
