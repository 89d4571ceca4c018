package node

import (
	"errors"
	"strings"
	"testing"
)

func TestCleanupRunsBackwardsOnceAndJoinsErrors(t *testing.T) {
	var stack cleanupStack
	var order []string
	stuck := errors.New("stuck")
	for _, name := range []string{"a", "b", "c"} {
		stack.push(name, func() error {
			order = append(order, name)
			if name == "b" {
				return stuck
			}
			return nil
		})
	}
	if err := stack.close(); !errors.Is(err, stuck) || !strings.Contains(err.Error(), "clean up b") {
		t.Fatalf("got %v", err)
	}
	if err := stack.close(); err != nil || strings.Join(order, "") != "cba" {
		t.Fatalf("second close %v, order %v", err, order)
	}
}
