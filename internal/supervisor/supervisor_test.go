package supervisor

import (
	"errors"
	"strings"
	"testing"
)

func TestSupervisor(t *testing.T) {
	k := New()
	if err := k.Register("clock", 7); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		try  func() error
		want string
	}{
		{"a service by name and type", func() error { _, err := Find[int](k, "clock"); return err }, ""},
		{"an unknown one", func() error { _, err := Find[int](k, "door"); return err }, "not registered"},
		{"one of another type", func() error { _, err := Find[string](k, "clock"); return err }, "another type"},
		{"a name twice", func() error { return k.Register("clock", 8) }, "already"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.try()
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestStackRunsBackwardsOnceAndJoinsFaults(t *testing.T) {
	var s Stack
	var order []string
	fault := errors.New("stuck")
	for _, name := range []string{"a", "b", "c"} {
		s.Push(name, func() error {
			order = append(order, name)
			if name == "b" {
				return fault
			}
			return nil
		})
	}
	if err := s.Close(); !errors.Is(err, fault) || !strings.Contains(err.Error(), "clean up b") {
		t.Fatalf("got %v", err)
	}
	if err := s.Close(); err != nil || strings.Join(order, "") != "cba" {
		t.Fatalf("second close %v, order %v", err, order)
	}
}
