package sim

import (
	"time"
)

// Scenario is a named way to bring failures about; it judges what the steps themselves don't.
type Scenario struct {
	Name        string
	Description string
	Options     Options
	Script      func(f *Fleet) error
}

// Scenarios are all scenarios in the order in which they are listed and played.
var Scenarios = []Scenario{
	{Name: "calm", Description: "load without failures", Script: playCalm},
	{Name: "lossy", Description: "lossy, late links", Options: Options{LossPercent: 3, JitterMillis: 15}, Script: playLossy},
	{Name: "leader-killed", Description: "the leader is killed and started again", Script: playLeaderKilled},
	{Name: "leader-frozen", Description: "the leader freezes and thaws", Script: playLeaderFrozen},
	{Name: "proxy-frozen", Description: "any machine freezes and thaws under load", Script: playProxyFrozen},
	{Name: "herd", Description: "a herd of machines is killed and comes back", Script: playHerd},
	{Name: "district-lost", Description: "the machines of the district that owns the payments are lost for good", Script: playDistrictLost},
	{Name: "region-lost", Description: "the machines and back ends of the region that owns the payments are lost for good", Script: playRegionLost},
	{Name: "region-cut", Description: "a region is cut off and heals", Script: playRegionCut},
	{Name: "core-split", Description: "the disk machines are split three to three", Script: playCoreSplit},
	{Name: "one-way", Description: "one-way cuts around the leader and others", Script: playOneWay},
	{Name: "isolated", Description: "a single machine is isolated and heals", Script: playIsolated},
	{Name: "all-killed", Description: "the whole fleet is killed and started again", Script: playAllKilled},
	{Name: "wiped", Description: "core machines come back empty, one after another", Script: playWiped},
	{Name: "slow-disk", Description: "the disks of the leader and of another voter take 0.1 to 5 s for each sync", Script: playSlowDisk},
	{Name: "failing-disk", Description: "disks fail to write and to sync, their rings, then their images; the processes end and come back, one wiped", Script: playFailingDisk},
	{Name: "power", Description: "the power of the leader or of another voter goes at each step of a put's way to the disk", Script: playPower},
	{Name: "wiped-after-yes", Description: "the disks of the leader and of another voter are lost right after a put was accepted", Script: playWipedAfterYes},
	{Name: "puts", Description: "configurations in bursts, racing, amid a leader's end", Script: playPuts},
	{Name: "emptied", Description: "districts are emptied and restored amid a leader's end", Script: playEmptied},
	{Name: "backends", Description: "back ends crash, drain, come and go", Script: playBackends},
	{Name: "release", Description: "the back ends of a service are replaced one by one; the new ones are cold and slow", Script: playRelease},
	{Name: "all-cold", Description: "every back end of each service crashes and comes back cold, after 3 s, then after 1 s", Script: playAllCold},
	{Name: "reuse", Description: "addresses pass to back ends of other services", Script: playReuse},
	{Name: "bad-outcomes", Description: "back ends run requests and lose, garble, swap, cut or delay the answers", Script: playBadOutcomes},
	{Name: "backend-frozen", Description: "back ends freeze in mid-work and thaw", Script: playBackendFrozen},
	{Name: "hot-key", Description: "one key draws most of a keyed service's traffic while its back end drains", Script: playHotKey},
	{Name: "backend-cut", Description: "links from proxies to back ends of the keyed service are cut in mid-leg while their keys move", Script: playBackendCut},
	{Name: "rolling", Description: "machines are stopped as planned and started, one after another", Script: playRolling},
	{Name: "emptied-cut", Description: "a district is emptied while its region is cut off, then while the core is split", Script: playEmptiedCut},
	{Name: "frozen-leg", Description: "a proxy freezes between the last check of an unsafe leg and its writing; its caller repeats the id", Script: playFrozenLeg},
	{Name: "bad-list", Description: "the platform's list is empty, short, repeated, lacks pages, or is an old small one", Script: playBadList},
	{Name: "chaos", Description: "everything at once, then a last heavy blow", Options: Options{LossPercent: 1, JitterMillis: 5, ClockError: 0.02}, Script: playChaos},
}

// Play runs one scenario with one seed under load and gives the fleet with its breaches.
func Play(s Scenario, seed int64, violation string) (*Fleet, error) {
	shape := s.Options
	shape.Seed, shape.Fault = seed, violation
	f := New(shape)
	if err := f.Begin(); err != nil {
		return f, err
	}
	f.RunFor(4 * time.Second)
	f.staleFrom = f.Now
	f.Load("load", 60, 40*time.Second)
	err := s.Script(f)
	f.RunFor(8 * time.Second)
	f.Verdicts = f.Check()
	return f, err
}

const recoveryBound = 15 * time.Second
