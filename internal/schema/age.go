package schema

import (
	"math"
	"time"
)

// AgeMs is an age in milliseconds as messages tell it: rounded up, so that nothing looks newer than it is, and bounded by the field's size.
func AgeMs(age time.Duration) uint32 {
	milliseconds := (age + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(milliseconds, 0), math.MaxUint32))
}
