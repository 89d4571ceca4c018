package sharding

import (
	"sort"

	"topazshed/internal/constants"
)

// heat is a service's load by equal buckets of its keys.
type keyLoad struct {
	buckets []float64
	sums    []float64
	total   float64
}

func newKeyLoad(buckets []float64) keyLoad {
	h := keyLoad{buckets: buckets, sums: make([]float64, len(buckets)+1)}
	for i, rate := range buckets {
		h.sums[i+1] = h.sums[i] + rate
	}
	h.total = h.sums[len(buckets)]
	return h
}

// below is the heat of the keys under one.
func (h keyLoad) below(key uint32) float64 {
	count := uint64(len(h.buckets))
	place := uint64(key) * count
	i := place / (constants.LastKey + 1)
	if i >= count {
		return h.total
	}
	return h.sums[i] + h.buckets[i]*float64(place%(constants.LastKey+1))/(constants.LastKey+1)
}

func (h keyLoad) sum(first, last uint32) float64 {
	if len(h.buckets) == 0 {
		return 0
	}
	return h.below(last+1) - h.below(first)
}

// weight is a range's share of heat and keys.
func (h keyLoad) weight(first, last uint32) float64 {
	share := float64(last-first+1) / (constants.LastKey + 1)
	if h.total < constants.KeyLoadLeast {
		return share
	}
	return (1-constants.KeyWidthPart)*h.sum(first, last)/h.total + constants.KeyWidthPart*share
}

// cut is the last key of the range from first that weighs about as much as told.
func (h keyLoad) cut(first, most uint32, weight float64) uint32 {
	return first + uint32(sort.Search(int(most-first), func(i int) bool { return h.weight(first, first+uint32(i)) >= weight }))
}

// start is the first key of a key's bucket.
func (h keyLoad) start(key uint32) uint32 {
	count := uint64(len(h.buckets))
	i := uint64(key) * count / (constants.LastKey + 1)
	return uint32((i*(constants.LastKey+1) + count - 1) / count)
}

// end is the last key of a key's bucket.
func (h keyLoad) end(key uint32) uint32 {
	count := uint64(len(h.buckets))
	i := uint64(key)*count/(constants.LastKey+1) + 1
	return uint32((i*(constants.LastKey+1)+count-1)/count) - 1
}

// each visits the parts of a range by buckets.
func (h keyLoad) each(first, last uint32, visit func(first, last uint32)) {
	for first <= last {
		end := min(h.end(first), last)
		visit(first, end)
		first = end + 1
	}
}
