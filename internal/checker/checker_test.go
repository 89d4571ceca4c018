package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func good() *History {
	h := NewHistory(nil, func(zone string) string { region, _, _ := strings.Cut(zone, "-"); return region })
	h.Zones = map[string]string{"ledger-1": "north-a", "ledger-2": "north-b", "ledger-3": "east-a", "pay-1": "north-a", "pay-2": "north-b"}
	entries := []EntrySeen{{"ledger", "/b", []string{"GET"}, []string{"GET"}, []string{"north"}}, {"pay", "/p", []string{"POST"}, nil, nil}}
	h.Operators = []OperatorEvent{{At: time.Second, End: time.Second, What: "put", Version: 1, Status: 200, Entries: entries}}
	for i := range 200 {
		at := 20*time.Second + time.Duration(i)*50*time.Millisecond
		attempt := fmt.Sprintf("a-%03d", i)
		a := &Arrival{At: at, End: at + 10*time.Millisecond, Service: "ledger", Instance: "ledger-1", Path: "/b/1", Method: "GET", Attempt: attempt, Send: attempt + "/1", IsRun: true, Digest: "d" + attempt}
		if i%4 == 0 {
			a.Service, a.Instance, a.Path, a.Method, a.IsUnsafe, a.Key = "pay", "pay-1", "/p", "POST", true, "k"
		}
		h.Arrivals = append(h.Arrivals, a)
		h.Replies = append(h.Replies, &Reply{At: at, End: a.End, Service: a.Service, Path: a.Path, Attempt: attempt, Send: a.Send, Result: "sealed", Status: 200, Digest: a.Digest, IsUnsafe: a.IsUnsafe, Zone: "north-a", Proxy: "p1"})
		h.Calls = append(h.Calls, &Call{At: at, End: a.End, Attempt: attempt, IsUnsafe: a.IsUnsafe, Result: "sealed"})
		h.Matches = append(h.Matches, MatchSeen{At: at, Admin: "n1", Version: 1, Status: 200})
	}
	h.Operators = append(h.Operators, OperatorEvent{At: 40 * time.Second, End: 40 * time.Second, What: "show", Version: 1, Status: 200})
	return h
}

func TestEveryRuleCatchesItsViolation(t *testing.T) {
	for _, c := range []struct {
		rule      string
		name      string
		violation func(h *History)
	}{
		{"", "nothing wrong", func(*History) {}},
		{"", "many requests at a back end that only later comes back cold", func(h *History) {
			h.ColdStarts["ledger-1"] = []time.Duration{50 * time.Second}
			for i := range 40 {
				again := *h.Arrivals[1]
				again.Send = fmt.Sprintf("flood/%d", i)
				h.Arrivals = append(h.Arrivals, &again)
			}
		}},
		{"once", "an unsafe attempt runs twice", func(h *History) {
			again := *h.Arrivals[0]
			again.Send, again.At = again.Attempt+"/2", again.At+time.Second
			again.End = again.At
			h.Arrivals = append(h.Arrivals, &again)
		}},
		{"once", "it runs although the caller was refused", func(h *History) { h.Calls[0].Result = "declined" }},
		{"sealed", "another attempt's answer", func(h *History) { h.Replies[5].Digest = h.Replies[6].Digest }},
		{"sealed", "half an answer", func(h *History) { h.Replies[5].Digest = "half" }},
		{"allowed", "a path without an entry", func(h *History) { h.Arrivals[5].Path = "/secret" }},
		{"allowed", "a reused address", func(h *History) {
			h.Arrivals[5].Instance, h.Zones["gates-1"] = "gates-1", "north-a"
		}},
		{"gone", "a request 2.6 s after the list showed the drain", func(h *History) {
			h.Platform = append(h.Platform, PlatformEvent{h.Arrivals[100].At - 2600*time.Millisecond, "ledger-1", "draining"}, PlatformEvent{h.Arrivals[100].At - 2600*time.Millisecond, "pay-1", "ready"})
			for _, a := range h.Arrivals[101:] {
				if a.Service == "ledger" {
					a.Instance = "ledger-2"
				}
			}
			h.Arrivals[100].Service, h.Arrivals[100].Instance, h.Arrivals[100].Path, h.Arrivals[100].Method = "ledger", "ledger-1", "/b/1", "GET"
			h.Arrivals[100].IsUnsafe, h.Arrivals[100].Key = false, ""
		}},
		{"effect", "a directory still tells the old version after 2.6 s", func(h *History) {
			put := h.Operators[0]
			put.Version, put.At, put.End = 2, h.Matches[100].At-2600*time.Millisecond, h.Matches[100].At-2600*time.Millisecond
			h.Operators = append(h.Operators, put)
			for i := 101; i < len(h.Matches); i++ {
				h.Matches[i].Version = 2
			}
			h.Operators[1].Version = 2
		}},
		{"effect", "a directory goes back", func(h *History) { h.Matches[50].Version = 2 }},
		{"read-back", "an older configuration is read back", func(h *History) {
			put := h.Operators[0]
			put.Version, put.At, put.End = 2, 39*time.Second, 39*time.Second
			h.Operators = append(h.Operators, put)
		}},
		{"read-back", "both racing puts are accepted", func(h *History) { h.Operators = append(h.Operators, h.Operators[0]) }},
		{"read-back", "an invalid configuration is accepted", func(h *History) {
			h.Operators = append(h.Operators, OperatorEvent{What: "bad-put", Status: 200, Version: 2})
		}},
		{"dropped", "a sending breaks in a planned stop", func(h *History) {
			h.Fleet = append(h.Fleet, FleetEvent{At: 19 * time.Second, End: 29 * time.Second, What: "stop", Node: "n1", Proxy: "p1"})
			h.Replies[7].Broken, h.Replies[7].Result = "lost", ""
		}},
		{"repeats", "every safe query is sent twice", func(h *History) {
			for _, a := range h.Arrivals[:200] {
				if !a.IsUnsafe {
					again := *a
					h.Arrivals = append(h.Arrivals, &again)
				}
			}
		}},
		{"cold", "a flood at a cold back end", func(h *History) {
			h.ColdStarts["ledger-1"] = []time.Duration{20 * time.Second, 50 * time.Second}
			for i := range 40 {
				again := *h.Arrivals[1]
				again.Send = fmt.Sprintf("flood/%d", i)
				h.Arrivals = append(h.Arrivals, &again)
			}
		}},
		{"home", "home-bound traffic in another region", func(h *History) { h.Arrivals[5].Instance = "ledger-3" }},
		{"emptied", "a request 5.1 s after the emptying", func(h *History) {
			at := h.Arrivals[len(h.Arrivals)-1].At - 5100*time.Millisecond
			h.Operators = append(h.Operators, OperatorEvent{At: at, End: at, What: "empty", Zone: "north-a", Status: 200})
		}},
		{"keys", "one key at two back ends at once", func(h *History) {
			other := *h.Arrivals[0]
			other.Attempt, other.Send, other.Instance, other.At = "b-1", "b-1/1", "pay-2", other.At+5*time.Millisecond
			h.Arrivals = append(h.Arrivals, &other)
		}},
	} {
		t.Run(c.rule+" "+c.name, func(t *testing.T) {
			h := good()
			c.violation(h)
			var broken []string
			for _, v := range Check(h) {
				if len(v.Violations) > 0 {
					broken = append(broken, v.Rule)
				}
			}
			if got := strings.Join(broken, " "); got != c.rule {
				t.Fatalf("broken rules %q, want %q", got, c.rule)
			}
		})
	}
}
