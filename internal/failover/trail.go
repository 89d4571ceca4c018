package failover

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxTrail is the most numbers that a trail has: an entity's, and those of two regions.
const maxTrail = 3

// Trail holds the numbers that were followed from an origin to the active group, in order: the entity's, then those of
// the region map. The first number that differs decides which of two trails is newer.
type Trail []Number

// String returns the trail as it is on the wire.
func (t Trail) String() string {
	parts := make([]string, len(t))
	for i, number := range t {
		parts[i] = strconv.FormatUint(uint64(number), 10)
	}
	return strings.Join(parts, ".")
}

// IsNewer reports whether the trail was resolved on newer rows than another.
func (t Trail) IsNewer(other Trail) bool { return slices.Compare(t, other) > 0 }

// TrailError says that a trail is not well formed.
type TrailError struct{ Text string }

func (e *TrailError) Error() string {
	return fmt.Sprintf("trail %q is not well formed; only proxies send it", e.Text)
}

// ParseTrail reads a trail. Its error is a *TrailError.
func ParseTrail(text string) (Trail, error) {
	var trail Trail
	for _, part := range strings.Split(text, ".") {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil || number == 0 || len(trail) == maxTrail {
			return nil, &TrailError{text}
		}
		trail = append(trail, Number(number))
	}
	return trail, nil
}
