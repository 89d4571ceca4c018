package main

import (
	"reflect"
	"testing"
)

func TestALeaseWithoutARangeIsWhatIsLeftOfIt(t *testing.T) {
	lease := keyLease{instance: "i-0", first: 10, last: 19, fence: 3}
	for _, c := range []struct {
		name        string
		first, last uint32
		want        []keyLease
	}{
		{"all of it", 10, 19, nil},
		{"its middle", 12, 15, []keyLease{{instance: "i-0", first: 10, last: 11, fence: 3}, {instance: "i-0", first: 16, last: 19, fence: 3}}},
		{"its begin", 0, 14, []keyLease{{instance: "i-0", first: 15, last: 19, fence: 3}}},
		{"its end", 15, 30, []keyLease{{instance: "i-0", first: 10, last: 14, fence: 3}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := lease.without(c.first, c.last); !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
