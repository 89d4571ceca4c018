package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestLoadsRest(t *testing.T) {
	loads := NewLoads(0, bounds)
	now := time.Minute
	loads.Fail(now, "i-1")
	if loads.Read(now, "i-1").IsResting {
		t.Fatal("rests after one failure")
	}
	was := time.Duration(0)
	for range 12 {
		loads.Fail(now, "i-1")
		rest := time.Duration(0)
		for loads.Read(now+rest, "i-1").IsResting {
			rest += 10 * time.Millisecond
		}
		if rest < was || rest > 2*time.Second {
			t.Fatalf("rests %v after %v", rest, was)
		}
		was = rest
	}
	if ids := loads.Failing(now); fmt.Sprint(ids) != "[i-1]" {
		t.Fatal(ids)
	}
	loads.End("i-1", time.Millisecond, true)
	if loads.Read(now, "i-1").IsResting || len(loads.Failing(now)) > 0 {
		t.Fatal("rests although it served")
	}
}

func TestLoadsCountInFlightAndForget(t *testing.T) {
	loads := NewLoads(0, bounds)
	for range 3 {
		loads.Begin("i-1")
	}
	loads.End("i-1", 100*time.Millisecond, true)
	loads.Keep(func(string) bool { return false })
	if r := loads.Read(time.Minute, "i-1"); r.InFlight != 2 || r.Delay != 100*time.Millisecond {
		t.Fatalf("%+v: forgotten with requests in flight", r)
	}
	loads.End("i-1", 0, false)
	loads.End("i-1", 0, false)
	loads.Keep(func(string) bool { return false })
	if r := loads.Read(time.Minute, "i-1"); r != (Reading{}) {
		t.Fatalf("%+v", r)
	}
}
