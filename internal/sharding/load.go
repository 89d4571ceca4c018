package sharding

import (
	"sort"

	"topazshed/internal/constants"
)

// keyCount is the number of keys of a service.
const keyCount = constants.LastKey + 1

// keyLoad is a service's load by equal buckets of its keys, in requests in flight.
type keyLoad struct {
	buckets []float64
	// sums holds, at each index, the load of all buckets below it.
	sums  []float64
	total float64
}

func newKeyLoad(buckets []float64) keyLoad {
	load := keyLoad{buckets: buckets, sums: make([]float64, len(buckets)+1)}
	for i, inFlight := range buckets {
		load.sums[i+1] = load.sums[i] + inFlight
	}
	load.total = load.sums[len(buckets)]
	return load
}

// below is the load of the keys under one.
func (l keyLoad) below(key Key) float64 {
	count := uint64(len(l.buckets))
	position := uint64(key) * count
	i := position / keyCount
	if i >= count {
		return l.total
	}
	return l.sums[i] + l.buckets[i]*float64(position%keyCount)/keyCount
}

// sum is the load of a range.
func (l keyLoad) sum(keys keyRange) float64 {
	if len(l.buckets) == 0 {
		return 0
	}
	return l.below(keys.last+1) - l.below(keys.first)
}

// weight is a range's share of the load and of the keys; 1 is the whole service. With little load only the keys count.
func (l keyLoad) weight(keys keyRange) float64 {
	share := float64(keys.width()) / keyCount
	if l.total < constants.MinKeyLoad {
		return share
	}
	return (1-constants.KeyWidthPart)*l.sum(keys)/l.total + constants.KeyWidthPart*share
}

// cut returns the first key, up to a bound, with which a range from first has at least a weight.
func (l keyLoad) cut(first, bound Key, weight float64) Key {
	return first + Key(sort.Search(int(bound-first), func(i int) bool {
		return l.weight(keyRange{first, first + Key(i)}) >= weight
	}))
}

// bucketStart is the first key of a key's bucket.
func (l keyLoad) bucketStart(key Key) Key {
	count := uint64(len(l.buckets))
	i := uint64(key) * count / keyCount
	return Key((i*keyCount + count - 1) / count)
}

// bucketEnd is the last key of a key's bucket.
func (l keyLoad) bucketEnd(key Key) Key {
	count := uint64(len(l.buckets))
	i := uint64(key)*count/keyCount + 1
	return Key((i*keyCount+count-1)/count) - 1
}

// eachBucket visits the parts of a range by buckets.
func (l keyLoad) eachBucket(keys keyRange, visit func(part keyRange)) {
	for first := keys.first; first <= keys.last; {
		last := min(l.bucketEnd(first), keys.last)
		visit(keyRange{first, last})
		first = last + 1
	}
}
