package main

import (
	"strconv"
	"strings"
	"time"
)

const (
	// machineNet and callerNet are the second bytes of the loopback addresses of machines and callers; publicNet is that
	// of the relays in front of machines.
	machineNet = 10
	publicNet  = 20
	callerNet  = 30
	// movedBy is how much a machine's number in its address grows each time that it moves.
	movedBy = 50
	// callerPrefix begins the names of links that don't belong to a machine.
	callerPrefix = "callers-"
)

// zonePlace is a zone and its region.
type zonePlace struct{ zone, region string }

// zonePlaces are the zones of a fleet; addresses name them by index.
var zonePlaces = []zonePlace{
	{"north-a", "north"},
	{"north-b", "north"},
	{"south-a", "south"},
	{"south-b", "south"},
	{"east-a", "east"},
	{"east-b", "east"},
}

// regionOf gives the region of a zone: its name up to the dash.
func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

// delayBetween gives the one-way delay between two zones.
func delayBetween(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return time.Millisecond
	}
	switch regionOf(a) + regionOf(b) {
	case "northsouth", "southnorth":
		return 20 * time.Millisecond
	case "northeast", "eastnorth":
		return 27 * time.Millisecond
	}
	return 35 * time.Millisecond
}

// linkName names an end of a link by its IP address: a machine by its name, callers and all others by their zone.
func (f *Fleet) linkName(ip string) string {
	parts := strings.Split(ip, ".")
	zone, _ := strconv.Atoi(parts[2])
	number, _ := strconv.Atoi(parts[3])
	if parts[1] == strconv.Itoa(machineNet) {
		for _, m := range f.machines {
			if m.zone == zone && m.number == number%movedBy {
				return m.name
			}
		}
	}
	return callerPrefix + zonePlaces[zone%len(zonePlaces)].zone
}

// zoneOfLink gives the zone of a link's end.
func zoneOfLink(name string) string {
	if zone, isCaller := strings.CutPrefix(name, callerPrefix); isCaller {
		return zone
	}
	return name[:strings.LastIndex(name, "-")]
}
