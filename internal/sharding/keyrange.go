package sharding

// Key is a key of a keyed service, from 0 to constants.LastKey.
type Key uint32

// keyRange is a range of keys, both ends inclusive.
type keyRange struct{ first, last Key }

// width is the number of keys in the range.
func (r keyRange) width() uint32 { return uint32(r.last - r.first + 1) }

func (r keyRange) overlaps(other keyRange) bool {
	return r.first <= other.last && r.last >= other.first
}

// without returns the parts of the range that lie outside another one, in order.
func (r keyRange) without(other keyRange) []keyRange {
	if !r.overlaps(other) {
		return []keyRange{r}
	}
	var rest []keyRange
	if r.first < other.first {
		rest = append(rest, keyRange{r.first, other.first - 1})
	}
	if r.last > other.last {
		rest = append(rest, keyRange{other.last + 1, r.last})
	}
	return rest
}

// piece is a part of a shard range that is to be divided. It stays with its owner, or moves to the target if there is one.
type piece struct {
	keyRange
	target string
}

// split cuts out one part of a range for a target; what lies on its sides stays.
func split(whole, part keyRange, target string) []piece {
	var pieces []piece
	if part.first > whole.first {
		pieces = append(pieces, piece{keyRange: keyRange{whole.first, part.first - 1}})
	}
	pieces = append(pieces, piece{part, target})
	if part.last < whole.last {
		pieces = append(pieces, piece{keyRange: keyRange{part.last + 1, whole.last}})
	}
	return pieces
}
