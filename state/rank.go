package state

import "github.com/cespare/xxhash/v2"

// RendezvousScore returns the score of a candidate for a key in rendezvous hashing, from the hashes of both; the highest score wins.
func RendezvousScore(key, candidate uint64) uint64 { return Mix(key ^ candidate) }

// Mix spreads the bits of a hash, so that inputs that differ in a few bits give unrelated results.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Hash returns the hash of a name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }
