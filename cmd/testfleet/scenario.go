package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// leaderName stands for the machine that leads, wherever a machine is named.
const leaderName = "leader"

// goodState ends a fault of a disk or of the list.
const goodState = "good"

// Step is one thing that a scenario does at a time.
type Step struct {
	// At is counted from the start of the load.
	At   time.Duration
	Line int
	Verb string
	Args []string
}

var (
	// diskFaults are the faults of a disk beside a time for each sync.
	diskFaults = []string{goodState, "fail", "full"}
	// listFaults are the faults of the list in a scenario's words.
	listFaults = []string{goodState, string(listEmpty), string(listShort), string(listRepeat)}
	// modes are the modes of back ends in a scenario's words.
	modes = map[string]Mode{
		"good":      modeGood,
		"lose":      modeLose,
		"garbage":   modeGarbage,
		"wrongseal": modeWrongSeal,
		"truncate":  modeTruncate,
		"slow":      modeSlow,
		"oversize":  modeOversize,
	}
)

// argument checks one word behind a verb and says what is wrong with it, or nothing.
type argument func(word string, f *Fleet) string

// ReadScenario reads steps, one a line: TIME VERB ARGS; # begins a comment. The error joins every fault, each with its
// line.
func ReadScenario(text string, f *Fleet) ([]Step, error) {
	var steps []Step
	var errs []error
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		step, faults := readStep(words, f)
		if n := len(steps); n > 0 && steps[n-1].At > step.At && step.Verb != "" {
			faults = append(faults, fmt.Sprintf("time %v is before the line above; put steps in order", step.At))
		}
		for _, fault := range faults {
			errs = append(errs, fmt.Errorf("line %d: %s", i+1, fault))
		}
		if step.Verb != "" {
			step.Line = i + 1
			steps = append(steps, step)
		}
	}
	return steps, errors.Join(errs...)
}

// readStep reads the words of one line and gives what is wrong with them. The step has no verb if it can't be read.
func readStep(words []string, f *Fleet) (Step, []string) {
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Step{}, []string{fmt.Sprintf("%q is no time; write 10s or 1500ms", words[0])}
	}
	if len(words) < 2 {
		return Step{}, []string{"no step follows the time; use one of the verbs in docs/faults.md"}
	}
	name, args := words[1], words[2:]
	v, isKnown := verbs[name]
	if !isKnown {
		return Step{}, []string{fmt.Sprintf("step %q is unknown; use one of the verbs in docs/faults.md", name)}
	}
	if len(args) != len(v.arguments) {
		return Step{}, []string{fmt.Sprintf("step %q takes %d words, not %d", name, len(v.arguments), len(args))}
	}
	var faults []string
	for i, check := range v.arguments {
		if fault := check(args[i], f); fault != "" {
			faults = append(faults, fault)
		}
	}
	return Step{At: at, Verb: name, Args: args}, faults
}

// anyWord takes every word: the names of services and regions, and numbers.
func anyWord(string, *Fleet) string { return "" }

func machineName(word string, f *Fleet) string {
	if word == leaderName || f.find(word) != nil {
		return ""
	}
	return fmt.Sprintf("machine %q is unknown; names are like north-a-1", word)
}

func diskMachineName(word string, f *Fleet) string {
	if m := f.find(word); word == leaderName || m != nil && m.hasDisk {
		return ""
	}
	return fmt.Sprintf("machine %q has no disk; those with one are like north-a-1, or leader", word)
}

func diskFaultName(word string, _ *Fleet) string {
	if _, err := time.ParseDuration(word); err == nil || slices.Contains(diskFaults, word) {
		return ""
	}
	return fmt.Sprintf("disk fault %q is unknown; use one of %v, or a time for each sync such as 800ms", word, diskFaults)
}

func modeName(word string, _ *Fleet) string {
	if _, isKnown := modes[word]; isKnown {
		return ""
	}
	return fmt.Sprintf("mode %q is unknown; use one of %v", word, slices.Sorted(maps.Keys(modes)))
}

func listFaultName(word string, _ *Fleet) string {
	if slices.Contains(listFaults, word) {
		return ""
	}
	return fmt.Sprintf("list fault %q is unknown; use one of %v", word, listFaults)
}

func zoneName(word string, _ *Fleet) string {
	if slices.ContainsFunc(zonePlaces, func(p zonePlace) bool { return p.zone == word }) {
		return ""
	}
	return fmt.Sprintf("zone %q is unknown; names are like north-a", word)
}
