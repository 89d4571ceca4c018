// Package stripe spreads named entries over a fixed number of lock stripes, so that requests to different back ends seldom wait for the
// same mutex. It owns no lock and no data: the tables of packages gateway and proxy, and the pool of package connpool, hold one mutex and
// one map a stripe and look up theirs here. Its functions may be called from any goroutine.
package stripe

// Count is the number of stripes of a table.
const Count = 16

// The parameters of the 32-bit FNV-1a hash.
const (
	offsetBasis uint32 = 2166136261
	prime       uint32 = 16777619
)

// Of is the stripe of a name, from 0 to Count-1.
func Of(name string) int {
	hash := offsetBasis
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * prime
	}
	return int(hash % Count)
}
