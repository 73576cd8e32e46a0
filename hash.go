package bergamotgrade

// MixHash mixes the bits of a hash, so that similar hashes get unrelated ranks in
// rendezvous hashing.
func MixHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
