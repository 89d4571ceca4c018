package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Step is one thing that a scenario does at a time.
type Step struct {
	At   time.Duration
	Line int
	Verb string
	Args []string
}

var verbs = map[string]int{"kill": 1, "reload": 1, "start": 1, "stop": 1, "restart": 1, "freeze": 1, "thaw": 1, "wipe": 1, "move": 1, "killzone": 1, "startzone": 1, "killall": 0, "startall": 0, "startdead": 0,
	"cut": 2, "heal": 2, "isolate": 1, "rejoin": 1, "cutregion": 1, "healregion": 1, "empty": 1, "restore": 1, "put": 0, "race": 0, "bad": 0, "show": 0, "release": 1, "replace": 1, "crash": 1,
	"disk": 2, "mode": 2, "list": 1, "hot": 1, "reuse": 1, "doctor": 1, "rolling": 0}

var (
	diskFaults = []string{"good", "fail", "full"}
	listFaults = []string{"good", "empty", "short", "repeat"}
	modes      = map[string]Mode{"good": modeGood, "lose": modeLose, "garbage": modeGarbage, "wrongseal": modeWrongSeal, "truncate": modeTruncate, "slow": modeSlow, "oversize": modeOversize}
)

// ReadScenario reads steps, one a line: TIME VERB ARGS; every fault is told with its line.
func ReadScenario(text string, f *Fleet) ([]Step, error) {
	var steps []Step
	var faults []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		add := func(form string, args ...any) {
			faults = append(faults, fmt.Errorf("line %d: %s", i+1, fmt.Sprintf(form, args...)))
		}
		at, err := time.ParseDuration(words[0])
		if err != nil || at < 0 {
			add("%q is no time; write 10s or 1500ms", words[0])
			continue
		}
		if len(words) < 2 {
			add("no step follows the time; use one of the verbs in docs/faults.md")
			continue
		}
		count, isKnown := verbs[words[1]]
		if !isKnown {
			add("step %q is unknown; use one of the verbs in docs/faults.md", words[1])
			continue
		}
		if len(words)-2 != count {
			add("step %q takes %d words, not %d", words[1], count, len(words)-2)
			continue
		}
		if slices.Contains([]string{"kill", "reload", "start", "stop", "restart", "freeze", "thaw", "wipe", "move", "isolate", "rejoin", "cut", "heal"}, words[1]) {
			for _, name := range words[2:] {
				if f != nil && name != "leader" && f.find(name) == nil {
					add("machine %q is unknown; names are like north-a-1", name)
				}
			}
		}
		if words[1] == "disk" {
			if m := f.find(words[2]); words[2] != "leader" && (m == nil || !m.hasDisk) {
				add("machine %q has no disk; those with one are like north-a-1, or leader", words[2])
			}
			if _, err := time.ParseDuration(words[3]); err != nil && !slices.Contains(diskFaults, words[3]) {
				add("disk fault %q is unknown; use one of %v, or a time for each sync such as 800ms", words[3], diskFaults)
			}
		}
		if words[1] == "mode" && modes[words[3]] == 0 && words[3] != "good" {
			add("mode %q is unknown; use one of %v", words[3], slices.Sorted(maps.Keys(modes)))
		}
		if words[1] == "list" && !slices.Contains(listFaults, words[2]) {
			add("list fault %q is unknown; use one of %v", words[2], listFaults)
		}
		if slices.Contains([]string{"killzone", "startzone", "empty", "restore"}, words[1]) && !slices.ContainsFunc(zonePlaces, func(p zonePlace) bool { return p.zone == words[2] }) {
			add("district %q is unknown; names are like north-a", words[2])
		}
		if n := len(steps); n > 0 && steps[n-1].At > at {
			add("time %v is before the line above; put steps in order", at)
		}
		steps = append(steps, Step{at, i + 1, words[1], words[2:]})
	}
	return steps, errors.Join(faults...)
}
