package main

import (
	"strconv"
	"strings"
	"time"
)

type zonePlace struct{ zone, region string }

var zonePlaces = []zonePlace{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}, {"east-a", "east"}, {"east-b", "east"}}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

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

// link names are machine names; callers and the rest use their zone.
func (f *Fleet) placeOf(ip string) string {
	parts := strings.Split(ip, ".")
	zone, _ := strconv.Atoi(parts[2])
	number, _ := strconv.Atoi(parts[3])
	if parts[1] == "10" {
		for _, m := range f.machines {
			if m.zone == zone && m.number == number%50 {
				return m.name
			}
		}
	}
	return "callers-" + zonePlaces[zone%len(zonePlaces)].zone
}

func zoneOfPlace(name string) string {
	if rest, isCaller := strings.CutPrefix(name, "callers-"); isCaller {
		return rest
	}
	return name[:strings.LastIndex(name, "-")]
}
