package sim

import (
	"time"
)

// Scenario is a named way to bring failures about; it judges what the steps themselves don't.
type Scenario struct {
	Name   string
	About  string
	Shape  Options
	Script func(f *Fleet) error
}

// Scenarios are all scenarios in the order in which they are listed and played.
var Scenarios = []Scenario{
	{Name: "calm", About: "load without failures", Script: playCalm},
	{Name: "lossy", About: "lossy, late links", Shape: Options{LossPercent: 3, JitterMillis: 15}, Script: playLossy},
	{Name: "leader-killed", About: "the leader is killed and started again", Script: playLeaderKilled},
	{Name: "leader-frozen", About: "the leader freezes and thaws", Script: playLeaderFrozen},
	{Name: "proxy-frozen", About: "any machine freezes and thaws under load", Script: playProxyFrozen},
	{Name: "herd", About: "a herd of machines is killed and comes back", Script: playHerd},
	{Name: "district-lost", About: "the machines of the district that owns the payments are lost for good", Script: playDistrictLost},
	{Name: "region-lost", About: "the machines and back ends of the region that owns the payments are lost for good", Script: playRegionLost},
	{Name: "region-cut", About: "a region is cut off and heals", Script: playRegionCut},
	{Name: "core-split", About: "the disk machines are split three to three", Script: playCoreSplit},
	{Name: "one-way", About: "one-way cuts around the leader and others", Script: playOneWay},
	{Name: "isolated", About: "a single machine is isolated and heals", Script: playIsolated},
	{Name: "all-killed", About: "the whole fleet is killed and started again", Script: playAllKilled},
	{Name: "wiped", About: "core machines come back empty, one after another", Script: playWiped},
	{Name: "slow-disk", About: "the disks of the leader and of another voter take 0.1 to 5 s for each sync", Script: playSlowDisk},
	{Name: "failing-disk", About: "disks fail to write and to sync, their rings, then their images; the processes end and come back, one wiped", Script: playFailingDisk},
	{Name: "power", About: "the power of the leader or of another voter goes at each step of a put's way to the disk", Script: playPower},
	{Name: "wiped-after-yes", About: "the disks of the leader and of another voter are lost right after a put was accepted", Script: playWipedAfterYes},
	{Name: "puts", About: "configurations in bursts, racing, amid a leader's end", Script: playPuts},
	{Name: "emptied", About: "districts are emptied and restored amid a leader's end", Script: playEmptied},
	{Name: "backends", About: "back ends crash, drain, come and go", Script: playBackends},
	{Name: "release", About: "the back ends of a service are replaced one by one; the new ones are cold and slow", Script: playRelease},
	{Name: "all-cold", About: "every back end of each service crashes and comes back cold, after 3 s, then after 1 s", Script: playAllCold},
	{Name: "reuse", About: "addresses pass to back ends of other services", Script: playReuse},
	{Name: "bad-outcomes", About: "back ends run requests and lose, garble, swap, cut or delay the answers", Script: playBadOutcomes},
	{Name: "backend-frozen", About: "back ends freeze in mid-work and thaw", Script: playBackendFrozen},
	{Name: "hot-key", About: "one key draws most of a keyed service's traffic while its back end drains", Script: playHotKey},
	{Name: "backend-cut", About: "links from proxies to back ends of the keyed service are cut in mid-leg while their keys move", Script: playBackendCut},
	{Name: "rolling", About: "machines are stopped as planned and started, one after another", Script: playRolling},
	{Name: "emptied-cut", About: "a district is emptied while its region is cut off, then while the core is split", Script: playEmptiedCut},
	{Name: "frozen-leg", About: "a proxy freezes between the last check of an unsafe leg and its writing; its caller repeats the id", Script: playFrozenLeg},
	{Name: "bad-list", About: "the platform's list is empty, short, repeated, lacks pages, or is an old small one", Script: playBadList},
	{Name: "chaos", About: "everything at once, then a last heavy blow", Shape: Options{LossPercent: 1, JitterMillis: 5, ClockError: 0.02}, Script: playChaos},
}

// Play runs one scenario with one seed under load and gives the fleet with its breaches.
func Play(s Scenario, seed int64, violation string) (*Fleet, error) {
	shape := s.Shape
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
	f.Verdicts = f.Judge()
	return f, err
}

const finalLoss = 15 * time.Second
