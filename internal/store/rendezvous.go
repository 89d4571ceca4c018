package store

import "hash/fnv"

// RendezvousWeight returns the weight of a combination of names for rendezvous hashing. It is the same on every node, and
// every combination's weight is as if drawn at random.
func RendezvousWeight(parts ...string) uint64 {
	sum := fnv.New64a()
	for _, part := range parts {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return mixBits(sum.Sum64())
}

// mixBits spreads the differences of similar hashes over all bits, by a step of MurmurHash3's finalizer.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}
