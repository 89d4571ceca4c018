package responses

import (
	"fmt"

	"topazshed/internal/constants"
)

// Bound names what a head may have at most.
type Bound string

// The bounds of a head.
const (
	BoundBytes    Bound = "head_bytes"
	BoundFields   Bound = "head_fields"
	BoundInterims Bound = "interim_responses"
)

// BoundError says that a response's head exceeded a bound. Its connection was reset; the request may have run.
type BoundError struct {
	Bound Bound
	Limit int
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("the response exceeds the bound %s of %d; the connection is reset, check what runs at that address", e.Bound, e.Limit)
}

// Default are the bounds of every response.
func Default() Bounds {
	return Bounds{Bytes: constants.ResponseHead, Fields: constants.ResponseFields, Interims: constants.InterimResponses}
}
