package shedding

import "github.com/cespare/xxhash/v2"

// HashFraction hashes an id to a number in [0, 1), uniformly distributed over ids.
func HashFraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
