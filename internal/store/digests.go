package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"topazshed/internal/schema"
)

// digestBytes is the length of a range's digest.
const digestBytes = 16

// Digest returns a digest of the keys, values and indexes of the rows below a prefix.
func (t *Table) Digest(prefix string) *schema.RangeDigest {
	sum := sha256.New()
	count := uint64(0)
	t.Each(prefix, func(row *schema.Row) {
		var header [16]byte
		binary.BigEndian.PutUint64(header[:], uint64(len(row.Key)))
		binary.BigEndian.PutUint64(header[8:], row.Index)
		sum.Write(header[:])
		sum.Write([]byte(row.Key))
		sum.Write(row.Value)
		count++
	})
	return &schema.RangeDigest{Prefix: prefix, Digest: sum.Sum(nil)[:digestBytes], Rows: count}
}

// Differing returns the prefixes of the ranges whose digests differ from another node's at the same version.
func (t *Table) Differing(ranges []*schema.RangeDigest) []string {
	var prefixes []string
	for _, other := range ranges {
		if own := t.Digest(other.Prefix); !bytes.Equal(own.Digest, other.Digest) {
			prefixes = append(prefixes, other.Prefix)
		}
	}
	return prefixes
}
