package sharding

import (
	"errors"

	"topazshed/internal/constants"
	"topazshed/internal/store"
)

// layoutError tells that a service's ranges do not cover its keys once.
type layoutError struct {
	Service string
	Key     uint32
}

func (e *layoutError) Error() string {
	return "ranges of service " + e.Service + " leave a gap or overlap; put rows that cover the keys 0 to 65535 once"
}

// errNotKeyed tells that a service has no shard ranges.
var errNotKeyed = errors.New("service has no shard ranges; mark it keyed in its policy and list a back end")

// checkLayout tells whether a service's ranges cover its keys once.
func checkLayout(service *store.Service) error {
	if len(service.ShardRanges) == 0 {
		return errNotKeyed
	}
	next := uint32(0)
	for _, keys := range service.ShardRanges {
		if keys.First != next || keys.Last < keys.First || keys.Last > constants.LastKey {
			return &layoutError{Service: service.Name, Key: next}
		}
		next = keys.Last + 1
	}
	if next != constants.LastKey+1 {
		return &layoutError{Service: service.Name, Key: next}
	}
	return nil
}
