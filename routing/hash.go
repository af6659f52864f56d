package routing

import "time"

// hash64 is the 64-bit finalizer of splitmix64. It has no seed, so all replicas hash alike.
func hash64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform returns a pseudo-random number in (0, 1) that depends only on the seed and the id.
func uniform(seed, id uint64) float64 {
	return (float64(hash64(seed^hash64(id))>>11) + 0.5) / (1 << 53)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func boolToFloat(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
