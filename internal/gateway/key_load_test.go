package gateway

import (
	"fmt"
	"testing"
	"time"
)

func TestLoadsKeyLoad(t *testing.T) {
	loads := NewLoads(0, bounds)
	loads.KeyLoad("nickel", 0, 40*time.Millisecond, true)
	loads.KeyLoad("nickel", 65535, 40*time.Millisecond, true)
	loads.KeyLoad("nickel", 65535, time.Hour, true)
	keyLoads := loads.TakeKeyLoad(time.Second)
	if len(keyLoads) != 1 || fmt.Sprint(keyLoads[0].Buckets) != "[0 1023]" || keyLoads[0].SpanMs != 1000 || keyLoads[0].BusyMs[1] < 80 || keyLoads[0].BusyMs[1] > 200 {
		t.Fatalf("%v", keyLoads)
	}
	if len(loads.TakeKeyLoad(time.Second)) > 0 {
		t.Fatal("load reported twice")
	}
}
