package main

import (
	"strings"
	"testing"
)

func TestScenarioFaults(t *testing.T) {
	f := &Fleet{machines: []*Machine{{name: "north-a-1", hasDisk: true}}}
	for _, c := range []struct{ text, want string }{
		{"1s kill north-a-1\n2s empty north-a # fine\n", ""},
		{"soon kill north-a-1", `line 1: "soon" is no time`},
		{"\n1s", "line 2: no step"},
		{"1s explode", `line 1: step "explode" is unknown`},
		{"1s kill", `line 1: step "kill" takes 1 words, not 0`},
		{"1s kill moon-1", `line 1: machine "moon-1" is unknown`},
		{"1s empty moon", `line 1: zone "moon" is unknown`},
		{"1s disk north-a-1 800ms\n2s disk north-a-1 full", ""},
		{"1s disk north-a-1 wet", `line 1: disk fault "wet" is unknown; use one of [good fail full]`},
		{"1s disk moon-1 full", `line 1: machine "moon-1" has no disk`},
		{"1s mode gates angry", `line 1: mode "angry" is unknown; use one of [garbage good lose`},
		{"1s list torn", `line 1: list fault "torn" is unknown; use one of [good empty short repeat]`},
		{"5s put\n2s put", "line 2: time 2s is before"},
		{"1s explode\n1s kill\nx put", "line 3:"},
	} {
		_, err := ReadScenario(c.text, f)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
	for _, text := range []string{"x", "5-2", "1-", ""} {
		if _, err := readSeeds(text); err == nil {
			t.Errorf("seeds %q were taken", text)
		}
	}
}
