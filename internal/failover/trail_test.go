package failover

import (
	"errors"
	"testing"
)

func TestParseTrail(t *testing.T) {
	for _, c := range []struct {
		name, text, want string
	}{
		{"one number", "102", "102"},
		{"two numbers", "103.104", "103.104"},
		{"an entity and two regions", "101.103.204", "101.103.204"},
		{"nothing", "", ""},
		{"no number", "a", ""},
		{"zero", "0", ""},
		{"a dot at the end", "102.", ""},
		{"more than can be followed", "1.2.3.4", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			trail, err := ParseTrail(c.text)
			var malformed *TrailError
			if isRefused := errors.As(err, &malformed); isRefused != (c.want == "") {
				t.Fatalf("got %v", err)
			}
			if got := trail.String(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestTheFirstNumberThatDiffersIsNewer(t *testing.T) {
	for _, c := range []struct {
		name     string
		a, b     Trail
		isANewer bool
		isBNewer bool
	}{
		{"equal", Trail{102}, Trail{102}, false, false},
		{"a higher number", Trail{202}, Trail{104}, true, false},
		{"the first of two decides", Trail{103, 900}, Trail{203, 104}, false, true},
		{"a longer one of the same beginning", Trail{103, 104}, Trail{103}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.a.IsNewer(c.b) != c.isANewer || c.b.IsNewer(c.a) != c.isBNewer {
				t.Errorf("%v and %v: %v, %v", c.a, c.b, c.a.IsNewer(c.b), c.b.IsNewer(c.a))
			}
		})
	}
}
