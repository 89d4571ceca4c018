package operations

import (
	"errors"
	"fmt"
	"testing"

	"topazshed/internal/schema"
)

func TestRefusalsBecomeResponses(t *testing.T) {
	faults := []*schema.Fault{{Path: "routes", Message: "is missing"}}
	for _, c := range []struct {
		refusal *Refusal
		kind    schema.RefusalKind
		message string
	}{
		{invalid(4, faults), isInvalid, "the configuration is refused as a whole; nothing changed"},
		{conflict(4, "problem", "remedy"), isConflict, "problem; remedy"},
		{unknown(4, "problem", "remedy"), isUnknown, "problem; remedy"},
		{ambiguous(4, "problem", "remedy"), isAmbiguous, "problem; remedy"},
		{oversize(4, "problem", "remedy"), isOversize, "problem; remedy"},
		{conflict(4, "", "").causedBy(errNotLeading), isConflict, errNotLeading.Error()},
	} {
		t.Run(c.kind.String(), func(t *testing.T) {
			response := c.refusal.response()
			if response.Refusal != c.kind || response.Message != c.message || response.Version != 4 {
				t.Errorf("%v", response)
			}
			if len(response.Faults) != len(c.refusal.Faults) {
				t.Errorf("%d faults", len(response.Faults))
			}
		})
	}
	if response := noLeader("problem", "remedy").response(); response.Refusal != isNoLeader || response.Message != "problem; remedy" {
		t.Errorf("%v", response)
	}
}

func TestARefusalIsFoundInAWrappedError(t *testing.T) {
	err := fmt.Errorf("put: %w", noLeader("", "").causedBy(errNotLeading))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Kind != isNoLeader {
		t.Errorf("%v", err)
	}
	if !errors.Is(err, errNotLeading) {
		t.Error("the cause is lost")
	}
}
