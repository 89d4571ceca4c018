package core

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/schema"
)

func TestALeaderOfARoutedFleetTakesTheDistrictsOfTheSizeToDesignFor(t *testing.T) {
	self := &schema.Node{Id: "a", Address: "a", Proxy: "a", Door: "a", District: "d000", Region: "r00", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}
	core := New(time.Hour, Options{Self: self, Seeds: []string{"a"}, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Routed: &Routed{HoldMost: 10 * time.Second, ColdBearable: func(*schema.ServicePolicy) int { return 1 }}})
	for now := time.Hour; now < time.Hour+6*time.Second; now += 20 * time.Millisecond {
		core.Tick(now)
		if core.IsLeading() {
			for i := range 182 {
				name := fmt.Sprintf("n%03d", i)
				core.noteBeat(&schema.Beat{Node: &schema.Node{Id: name, Address: name, Proxy: name, Door: name, District: fmt.Sprintf("d%03d", i), Region: fmt.Sprintf("r%02d", i%46), Incarnation: 1, State: schema.NodeState_NODE_READY}})
			}
		}
		for range 8 {
			effects := core.Take()
			if !effects.IsWork {
				break
			}
			core.Synced(now, effects)
		}
	}
	if len(core.view.Districts) != 182 || len(core.view.Regions) != 46 || len(core.view.Groups) < 46 || len(core.view.Defaults) != 46 {
		t.Errorf("%d districts, %d regions, %d groups, %d standings, want 182, 46, 46 or more and 46", len(core.view.Districts), len(core.view.Regions), len(core.view.Groups), len(core.view.Defaults))
	}
}
