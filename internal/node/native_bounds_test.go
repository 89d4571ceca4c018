package node

import (
	"testing"

	"topazshed/internal/settings"
)

// Guards against a 404 for an acknowledged route (CONFIG): a fleet of routes with settings of our own had no bound on the age of the rows that a 404
// rests on.
func TestANativeFleetBoundsTheAgeOfRowsBehindA404(t *testing.T) {
	if within := nativeBounds(settings.DefaultRoutes()).ApplyWithin; within <= 0 {
		t.Errorf("a configuration must be in force within %v", within)
	}
}
