package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestScenarioFaults(t *testing.T) {
	f := &Fleet{machines: []*Machine{{name: "north-a-1", hasDisk: true}}}
	for _, c := range []struct{ name, text, want string }{
		{"good steps with a comment", "1s kill north-a-1\n2s empty north-a # fine\n", ""},
		{"no time", "soon kill north-a-1", `line 1: "soon" is no time`},
		{"no step", "\n1s", "line 2: no step"},
		{"an unknown step", "1s explode", `line 1: step "explode" is unknown`},
		{"too few words", "1s kill", `line 1: step "kill" takes 1 words, not 0`},
		{"an unknown machine", "1s kill moon-1", `line 1: machine "moon-1" is unknown`},
		{"an unknown second machine", "1s cut leader moon-1", `line 1: machine "moon-1" is unknown`},
		{"an unknown zone", "1s empty moon", `line 1: zone "moon" is unknown`},
		{"good disk faults", "1s disk north-a-1 800ms\n2s disk north-a-1 full", ""},
		{"an unknown disk fault", "1s disk north-a-1 wet", `line 1: disk fault "wet" is unknown; use one of [good fail full]`},
		{"a machine without a disk", "1s disk moon-1 full", `line 1: machine "moon-1" has no disk`},
		{"an unknown mode", "1s mode gates angry", `line 1: mode "angry" is unknown; use one of [garbage good lose`},
		{"an unknown list fault", "1s list torn", `line 1: list fault "torn" is unknown; use one of [good empty short repeat]`},
		{"steps out of order", "5s put\n2s put", "line 2: time 2s is before"},
		{"every fault is named", "1s explode\n1s kill\nx put", "line 3:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ReadScenario(c.text, f)
			if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("%q: got %v, want %q", c.text, err, c.want)
			}
		})
	}
}

func TestScenarioFilesAreRead(t *testing.T) {
	f := &Fleet{}
	for zone, place := range zonePlaces {
		for number := 1; number <= 3-zone%2; number++ {
			f.addMachine(place, zone, number)
		}
	}
	files, err := filepath.Glob("../../scenarios/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			steps, err := ReadScenario(string(text), f)
			if err != nil || len(steps) == 0 {
				t.Errorf("%d steps, %v", len(steps), err)
			}
		})
	}
}
