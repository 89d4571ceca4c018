package main

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/adminapi"
)

const (
	// maxClockRate is the error of a clock's rate that leases allow.
	maxClockRate = 0.05
	// clockGrain covers that a status tells its clock in whole milliseconds, twice.
	clockGrain = 2 * time.Millisecond
)

// clockReading is another machine's clock, read between two readings of this machine's.
type clockReading struct {
	// own is this machine's clock in the middle of the call, other the other machine's.
	own, other time.Duration
	// uncertainty is half the time that the call took.
	uncertainty time.Duration
}

// examineClocks compares the rates of the machines' clocks with this machine's over a span; 0 leaves it out.
func examineClocks(admin string, first *adminapi.Status, span time.Duration) findings {
	if span <= 0 {
		return nil
	}
	admins := map[string]string{first.Node: admin}
	for _, node := range first.Nodes {
		if node.State == stateReady && node.ID != first.Node {
			admins[node.ID] = node.Admin
		}
	}
	origin := time.Now()
	before := readClocks(admins, origin)
	time.Sleep(span)
	return compareClocks(before, readClocks(admins, origin))
}

// readClocks asks each machine, by its identity, for its clock.
func readClocks(admins map[string]string, origin time.Time) map[string]clockReading {
	readings := map[string]clockReading{}
	for id, admin := range admins {
		begun := time.Since(origin)
		s, err := statusOf(admin)
		if err != nil || s.Node != id {
			continue
		}
		uncertainty := (time.Since(origin) - begun) / 2
		readings[id] = clockReading{
			own:         begun + uncertainty,
			other:       time.Duration(s.ClockMs) * time.Millisecond,
			uncertainty: uncertainty,
		}
	}
	return readings
}

func compareClocks(before, after map[string]clockReading) findings {
	var found findings
	for _, id := range slices.Sorted(maps.Keys(after)) {
		earlier, isThere := before[id]
		if !isThere {
			continue
		}
		later := after[id]
		own, other := later.own-earlier.own, later.other-earlier.other
		slack := time.Duration(float64(own)*maxClockRate) + earlier.uncertainty + later.uncertainty + clockGrain
		if other > own+slack || other < own-slack {
			found.add("clock-rate", "check that machine's clock, and that it is not overloaded or just restarted; leases allow 5 per cent",
				"%s counted %v while this machine counted %v", id, other, own.Round(time.Millisecond))
		}
	}
	return found
}
