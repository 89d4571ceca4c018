package main

import (
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

func TestRoutedRefusesFaultyArguments(t *testing.T) {
	program := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(program, nil, 0o700); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"-program", "/nowhere"}, {"-program", program, "-seconds", "3"}, {"-program", program, "-rate", "0"}, {"-program", program, "more"}} {
		command := &routedCommand{}
		flags := flag.NewFlagSet("routed", flag.ContinueOnError)
		command.SetFlags(flags)
		if err := flags.Parse(args); err != nil {
			t.Fatal(err)
		}
		if got := command.Execute(context.Background(), flags); got != subcommands.ExitUsageError {
			t.Errorf("%v: exit code %d", args, got)
		}
	}
}

func TestRoutedBackEndsCheckLeasesOfKeys(t *testing.T) {
	type step struct {
		instance    int
		path        string
		first, last uint32
		number      uint64
		hold        int
		status      int
	}
	for _, c := range []struct {
		name   string
		steps  []step
		held   map[int][]uint32
		broken int
	}{
		{"granted and renewed", []step{{0, "/keys/grant", 0, 9, 1, 4000, 200}, {0, "/keys/grant", 0, 9, 1, 4000, 200}}, map[int][]uint32{0: {0, 9}}, 0},
		{"a lower number is declined", []step{{0, "/keys/grant", 0, 9, 5, 4000, 200}, {0, "/keys/grant", 0, 9, 4, 4000, 409}}, map[int][]uint32{0: {0, 9}}, 0},
		{"released in part, then another's", []step{{0, "/keys/grant", 0, 9, 1, 4000, 200}, {0, "/keys/release", 5, 9, 1, 0, 200}, {1, "/keys/grant", 5, 9, 2, 4000, 200}}, map[int][]uint32{0: {0, 4}, 1: {5, 9}}, 0},
		{"two owners of one key are a violation", []step{{0, "/keys/grant", 0, 9, 1, 4000, 200}, {1, "/keys/grant", 9, 12, 2, 4000, 200}}, nil, 1},
		{"another's hold that has lapsed is none", []step{{0, "/keys/grant", 0, 9, 1, -1, 200}, {1, "/keys/grant", 0, 9, 2, 4000, 200}}, map[int][]uint32{1: {0, 9}}, 0},
		{"a span that ends before it begins", []step{{0, "/keys/grant", 9, 0, 1, 4000, 400}}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newRoutedPlatform(1)
			for i := range 2 {
				w.backends = append(w.backends, &routedBackend{platform: w, instance: fmt.Sprintf("i-%d", i), isKeyed: true, workers: make(chan struct{}, 1)})
			}
			for i, s := range c.steps {
				body := fmt.Sprintf(`{"service":"s","first":%d,"last":%d,"number":%d,"hold_ms":%d}`, s.first, s.last, s.number, s.hold)
				request := httptest.NewRequest("POST", s.path, strings.NewReader(body))
				request.Header.Set("Topazshed-Instance", fmt.Sprintf("i-%d", s.instance))
				answer := httptest.NewRecorder()
				w.backends[s.instance].ServeHTTP(answer, request)
				if answer.Code != s.status {
					t.Errorf("step %d: %d, want %d", i, answer.Code, s.status)
				}
			}
			for instance, keys := range c.held {
				for _, key := range keys {
					for other := range 2 {
						if got := w.isLeased(fmt.Sprintf("i-%d", other), key); got != (other == instance) {
							t.Errorf("key %d held by i-%d: %v", key, other, got)
						}
					}
				}
			}
			if len(w.violations) != c.broken {
				t.Errorf("%q, want %d", w.violations, c.broken)
			}
		})
	}
}

func TestRoutedBackEndRunsOnlyWhatIsItsOwn(t *testing.T) {
	for _, c := range []struct {
		name, instance, key string
		once                bool
		times               int
		status, broken      int
	}{
		{"its own", "i-0", "7", false, 1, 200, 0},
		{"another's", "i-1", "7", false, 1, 421, 0},
		{"a key that it does not own", "i-0", "70", false, 1, 421, 0},
		{"no key", "i-0", "", false, 1, 421, 0},
		{"a repeat that is allowed", "i-0", "7", false, 2, 200, 0},
		{"a repeat that is a violation", "i-0", "7", true, 2, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newRoutedPlatform(1)
			b := &routedBackend{platform: w, instance: "i-0", isKeyed: true, workers: make(chan struct{}, 1)}
			lease := httptest.NewRequest("POST", "/keys/grant", strings.NewReader(`{"first":0,"last":9,"number":1,"hold_ms":60000}`))
			lease.Header.Set("Topazshed-Instance", "i-0")
			b.ServeHTTP(httptest.NewRecorder(), lease)
			w.notRepeatable["a-1"] = c.once
			for range c.times {
				request := httptest.NewRequest("GET", "/x", nil)
				request.Header.Set("Topazshed-Instance", c.instance)
				request.Header.Set("Topazshed-Attempt", "a-1")
				request.Header.Set("Topazshed-Key", c.key)
				answer := httptest.NewRecorder()
				b.ServeHTTP(answer, request)
				if answer.Code != c.status || (answer.Header().Get("Topazshed-Not-Run") != "") != (c.status != 200) {
					t.Errorf("%d %v, want %d", answer.Code, answer.Header(), c.status)
				}
			}
			if len(w.violations) != c.broken {
				t.Errorf("%q, want %d", w.violations, c.broken)
			}
		})
	}
}
