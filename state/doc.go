// Package state holds sharded containers, decaying sums, heaps and the ledger of idempotency keys; each shard has a lock of its own.
package state
