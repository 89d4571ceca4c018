package sim

import "time"

const (
	// joinTime is how long a fleet runs before the load begins, settleTime how long after the script has ended.
	joinTime   = 4 * time.Second
	settleTime = 8 * time.Second
	// loadRate is the load in calls a second, for loadTime.
	loadRate = 60
	loadTime = 40 * time.Second
)

// Scenario is a named script of injected failures. The script returns an error if the fleet doesn't recover as it
// should; rules and invariants are checked besides.
type Scenario struct {
	Name        string
	Description string
	// Options shape the fleet; Seed and Fault are set by Play.
	Options Options
	Script  func(f *Fleet) error
}

// Scenarios are all scenarios in the order in which they are listed and played.
var Scenarios = []Scenario{
	{Name: "calm", Description: "load without failures", Script: playCalm},
	{
		Name:        "lossy",
		Description: "lossy, late links",
		Options:     Options{LossPercent: 3, JitterMillis: 15},
		Script:      playLossy,
	},
	{
		Name:        "leader-killed",
		Description: "the leader is killed and started again",
		Script:      playLeaderKilled,
	},
	{Name: "leader-frozen", Description: "the leader freezes and thaws", Script: playLeaderFrozen},
	{
		Name:        "proxy-frozen",
		Description: "any machine freezes and thaws under load",
		Script:      playProxyFrozen,
	},
	{
		Name:        "herd",
		Description: "several machines are killed at once and started again",
		Script:      playManyKilled,
	},
	{
		Name:        "district-lost",
		Description: "the machines of the zone that owns the payments are lost for good",
		Script:      playZoneLost,
	},
	{
		Name:        "region-lost",
		Description: "the machines and back ends of the region that owns the payments are lost for good",
		Script:      playRegionLost,
	},
	{Name: "region-cut", Description: "a region is cut off and heals", Script: playRegionCut},
	{
		Name:        "core-split",
		Description: "the disk machines are split three to three",
		Script:      playDisksSplit,
	},
	{Name: "one-way", Description: "one-way cuts around the leader and others", Script: playOneWay},
	{Name: "isolated", Description: "a single machine is isolated and heals", Script: playIsolated},
	{
		Name:        "all-killed",
		Description: "the whole fleet is killed and started again",
		Script:      playAllKilled,
	},
	{
		Name:        "wiped",
		Description: "machines with a disk come back empty, one after another",
		Script:      playWiped,
	},
	{
		Name:        "slow-disk",
		Description: "the disks of the leader and of another voter take 0.1 to 5 s for each sync",
		Script:      playSlowDisk,
	},
	{
		Name:        "failing-disk",
		Description: "disks fail to write and to sync: the log, then the snapshots; the processes end and come back, one wiped",
		Script:      playFailingDisk,
	},
	{
		Name:        "power",
		Description: "the power of the leader or of another voter goes at each step of a put's way to the disk",
		Script:      playPower,
	},
	{
		Name:        "wiped-after-yes",
		Description: "the disks of the leader and of another voter are lost right after a put was accepted",
		Script:      playWipedAfterAccept,
	},
	{
		Name:        "puts",
		Description: "configurations in bursts, racing, amid a leader's end",
		Script:      playPuts,
	},
	{
		Name:        "emptied",
		Description: "zones are emptied and restored amid a leader's end",
		Script:      playEmptied,
	},
	{Name: "backends", Description: "back ends crash, drain, come and go", Script: playBackends},
	{
		Name:        "release",
		Description: "the back ends of a service are replaced one by one; the new ones are cold and slow",
		Script:      playRelease,
	},
	{
		Name:        "all-cold",
		Description: "every back end of each service crashes and comes back cold, after 3 s, then after 1 s",
		Script:      playAllCold,
	},
	{Name: "reuse", Description: "addresses pass to back ends of other services", Script: playReuse},
	{
		Name:        "bad-outcomes",
		Description: "back ends run requests and lose, garble, swap, cut or delay the answers",
		Script:      playBadAnswers,
	},
	{
		Name:        "backend-frozen",
		Description: "back ends freeze in mid-work and thaw",
		Script:      playBackendFrozen,
	},
	{
		Name:        "hot-key",
		Description: "one key draws most of a keyed service's traffic while its back end drains",
		Script:      playHotKey,
	},
	{
		Name:        "backend-cut",
		Description: "links from proxies to back ends of the keyed service are cut in mid-attempt while their keys move",
		Script:      playBackendCut,
	},
	{
		Name:        "rolling",
		Description: "machines are stopped as planned and started, one after another",
		Script:      playRolling,
	},
	{
		Name:        "emptied-cut",
		Description: "a zone is emptied while its region is cut off, another while the disk machines are split",
		Script:      playEmptiedCut,
	},
	{
		Name:        "frozen-leg",
		Description: "a proxy freezes between the last check of an unsafe attempt and its sending; its caller repeats the id",
		Script:      playFrozenAttempt,
	},
	{
		Name:        "bad-list",
		Description: "the platform's list is empty, short, repeated, lacks pages, or is an old small one",
		Script:      playBadList,
	},
	{
		Name:        "chaos",
		Description: "all kinds of failures at random, then the loss of a region",
		Options:     Options{LossPercent: 1, JitterMillis: 5, ClockError: 0.02},
		Script:      playChaos,
	},
}

// Find gives the scenario of a name, or nil.
func Find(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}

// Play runs one scenario with one seed under load, with a fault injected unless its name is empty, and gives the fleet
// with its violations and verdicts.
func Play(scenario Scenario, seed int64, fault FaultName) (*Fleet, error) {
	options := scenario.Options
	options.Seed, options.Fault = seed, fault
	f := New(options)
	if err := f.Begin(); err != nil {
		return f, err
	}
	f.RunFor(joinTime)
	f.staleFrom = f.Now
	f.Load("load", loadRate, loadTime)
	err := scenario.Script(f)
	f.RunFor(settleTime)
	f.Verdicts = f.Check()
	return f, err
}
