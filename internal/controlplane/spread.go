package controlplane

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// The spread of rows: a machine that keeps the log is a source, one that does not subscribes to one source at a time.

func (c *Machine) hold(prefix string, isHeld bool) {
	if c.held[prefix] == isHeld {
		return
	}
	c.held = maps.Clone(c.held)
	if isHeld {
		c.held[prefix] = true
	} else {
		delete(c.held, prefix)
	}
}

func (c *Machine) prefixes() []string {
	if c.routed != nil {
		return store.Routed
	}
	return slices.Concat(store.Common, slices.Sorted(maps.Keys(c.wanted)))
}

// farDraws is how many choices of a source a node of a fleet of entries makes for one in another region.
const farDraws = 4

// source is where a machine that keeps no log takes its rows from.
type source struct {
	address  string
	chosenAt time.Duration
	// heardAt is when it last sent rows that a majority had confirmed shortly before.
	heardAt time.Duration
	// staleAt is when a machine was last found silent, or with rows that no majority had confirmed lately.
	staleAt map[string]time.Duration
	// tries are the machines chosen since seekingAt, when the last good source was lost; triedAt is when the last one was.
	tries     int
	triedAt   time.Duration
	seekingAt time.Duration
	// homeAt is when a machine of the own region was last asked while the source is elsewhere.
	homeAt time.Duration
}

// isAlive tells whether the source may still be relied on.
func (s *source) isAlive(now time.Duration) bool {
	return s.address != "" && now-max(s.chosenAt, s.heardAt) <= constants.SourceTimeout
}

// found notes that a machine sends rows that a majority has confirmed.
func (s *source) found(now time.Duration, address string) {
	s.address, s.heardAt = address, now
	s.tries, s.seekingAt = 0, 0
	delete(s.staleAt, address)
}

// lost notes that a machine is silent or sends old rows; if it is the source, another one is needed.
func (s *source) lost(now time.Duration, address string) {
	s.staleAt[address] = now
	if s.seekingAt == 0 {
		s.seekingAt = now
	}
	if address == s.address {
		s.chosenAt, s.heardAt = 0, 0
	}
}

// isTryDue bounds how often machines are tried in turn while all are silent or have old rows.
func (s *source) isTryDue(now time.Duration) bool {
	return now-s.triedAt >= min(time.Duration(s.tries)*constants.SourceTryPause, constants.SourceTryPauseMost)
}

// keepSource renews the subscription, or turns to another source if this one is silent or sends old rows.
func (c *Machine) keepSource() {
	if !c.source.isAlive(c.now) {
		if c.source.address != "" && c.source.chosenAt > 0 {
			c.source.lost(c.now, c.source.address)
		}
		if c.source.isTryDue(c.now) && c.chooseSource() {
			c.subscribe()
			return
		}
	}
	if c.now-c.subAt >= c.timing.SubscribeInterval {
		c.subscribe()
		c.askAtHome()
	}
}

// chooseSource takes another machine as the source, one of the own region as long as there is hope of one; it tells whether there was another.
func (c *Machine) chooseSource() bool {
	s := &c.source
	isFit := func(node *schema.Node) bool {
		staleAt, isNoted := s.staleAt[node.Address]
		return node.Disk && node.Address != s.address && (!isNoted || c.now-staleAt > constants.SourceTimeout)
	}
	isHome := func(node *schema.Node) bool { return isFit(node) && node.Region == c.self.Region }
	isAway := func(node *schema.Node) bool { return isFit(node) && node.Region != c.self.Region }
	options := c.known(isHome)
	if c.isFarDue() || s.address == "" && len(options) == 0 {
		if away := c.known(isAway); len(away) > 0 {
			options = away
		}
	}
	if len(options) == 0 && (s.address == "" || c.view.System == "") {
		options = c.options.Seeds
	}
	if len(options) == 0 {
		return false
	}
	s.address = options[c.options.Draw(int64(len(options)))]
	s.chosenAt, s.triedAt, s.heardAt = c.now, c.now, 0
	s.tries++
	return true
}

// isFarDue tells whether no source of the own region has been found for so long that one elsewhere must do.
func (c *Machine) isFarDue() bool {
	if c.routed == nil {
		return c.options.Draw(farDraws) == 0
	}
	return c.source.seekingAt > 0 && c.now-c.source.seekingAt > c.timing.RemoteSourceAfter
}

// askAtHome asks a machine of the own region for rows while the source is elsewhere: bytes between regions are dear. It becomes the source once
// it has sent rows that a majority has confirmed lately.
func (c *Machine) askAtHome() {
	s := &c.source
	if c.routed == nil || c.now-s.homeAt < constants.HomeSourceEvery || s.seekingAt > 0 {
		return
	}
	isHome := func(node *schema.Node) bool { return node.Disk && node.Region == c.self.Region }
	options := c.known(isHome)
	if len(options) == 0 || slices.Contains(options, s.address) {
		return
	}
	s.homeAt = c.now
	c.sendSubscribe(options[c.options.Draw(int64(len(options)))])
}

// subscribe asks the source for what changes.
func (c *Machine) subscribe() {
	if c.system == "" || c.source.address == "" && !c.chooseSource() {
		return
	}
	c.subAt = c.now
	c.sendSubscribe(c.source.address)
	if c.now-c.digestAt < c.timing.DigestInterval {
		return
	}
	c.digestAt = c.now
	digest := &schema.DigestRequest{Version: uint64(c.table.Version())}
	for _, prefix := range c.prefixes() {
		if c.held[prefix] {
			digest.Ranges = append(digest.Ranges, c.table.Digest(prefix))
		}
	}
	if len(digest.Ranges) > 0 {
		c.send(c.source.address, &schema.Frame{Body: &schema.Frame_DigestRequest{DigestRequest: digest}})
	}
}

func (c *Machine) sendSubscribe(to string) {
	c.subSerial++
	c.subs[c.subSerial] = asked{c.now, to}
	delete(c.subs, c.subSerial-questionsKept)
	s := &schema.Subscribe{Version: uint64(c.table.Version()), Serial: c.subSerial}
	for _, prefix := range c.prefixes() {
		if c.held[prefix] {
			s.Prefixes = append(s.Prefixes, prefix)
		} else {
			s.Wanted = append(s.Wanted, prefix)
		}
	}
	c.send(to, &schema.Frame{Body: &schema.Frame_Subscribe{Subscribe: s}})
}

func (c *Machine) takeSubscribe(from string, s *schema.Subscribe) {
	if !c.isFull() || c.table.Version() == 0 {
		return
	}
	sub := c.subscriber[from]
	if sub == nil {
		sub = &subscriber{}
		c.subscriber[from] = sub
	}
	sub.prefixes, sub.wanted, sub.serial, sub.renewed = s.Prefixes, s.Wanted, s.Serial, c.now
	sub.sent = raft.Index(s.Version)
	c.push(from, sub)
}

func (c *Machine) fullAge() time.Duration {
	if c.quorum.Role() == raft.Leader {
		return c.now - c.quorum.Contact()
	}
	return c.now - c.freshAt
}

func (c *Machine) push(to string, sub *subscriber) {
	if sub.sent > c.table.Version() {
		return
	}
	age := c.fullAge()
	if age > time.Minute {
		age = time.Minute
	}
	d := &schema.Delta{From: uint64(sub.sent), To: uint64(c.table.Version()), Serial: sub.serial, AgeMs: uint32(age.Milliseconds())}
	if c.routed != nil {
		d.Leader = c.leader
	}
	rows, isRemembered := c.table.Changes(sub.sent, sub.prefixes)
	if isRemembered {
		d.Whole = sub.wanted
		d.Rows = append(rows, c.table.Rows(sub.wanted)...)
	} else {
		d.All = true
		d.Whole = slices.Concat(sub.prefixes, sub.wanted)
		d.Rows = c.table.Rows(d.Whole)
	}
	sub.prefixes = slices.Concat(sub.prefixes, sub.wanted)
	sub.wanted = nil
	sub.sent, sub.sentAt = c.table.Version(), c.now
	c.send(to, &schema.Frame{Body: &schema.Frame_Delta{Delta: d}})
}

func (c *Machine) spread() {
	for _, to := range slices.Sorted(maps.Keys(c.subscriber)) {
		sub := c.subscriber[to]
		if c.now-sub.renewed > constants.SubscriptionTTL || !c.isFull() {
			delete(c.subscriber, to)
			continue
		}
		if sub.sent < c.table.Version() || c.now-sub.sentAt >= c.timing.DeltaInterval {
			c.push(to, sub)
		}
	}
}

func (c *Machine) takeDelta(from string, d *schema.Delta) {
	question, isKnown := c.subs[d.Serial]
	if !isKnown || question.to != from {
		c.staleResponses++
		return
	}
	age := time.Duration(d.AgeMs) * time.Millisecond
	isFresh := age < constants.SourceTimeout
	if c.quorum != nil || !c.mayTake(from, isFresh) {
		return
	}
	changed, isTaken := c.table.Merge(d)
	if !isTaken {
		if raft.Index(d.From) > c.table.Version() {
			c.subscribe()
		}
		return
	}
	if isFresh {
		c.source.found(c.now, from)
	} else {
		c.source.lost(c.now, from)
	}
	for _, prefix := range d.Whole {
		c.hold(prefix, true)
	}
	if d.Leader != "" && age < constants.NodeLostAfter {
		c.leader, c.leaderAt = d.Leader, c.now-age
	}
	c.freshAt = max(c.freshAt, question.at-age)
	c.publish(changed)
}

// mayTake tells whether rows from a machine are taken: from the source, and from another one that was asked if the source has none that are
// confirmed, or is farther away.
func (c *Machine) mayTake(from string, isFresh bool) bool {
	if from == c.source.address {
		return true
	}
	if !isFresh {
		return false
	}
	isHome := func(address string) bool {
		return len(c.known(func(node *schema.Node) bool { return node.Address == address && node.Region == c.self.Region })) > 0
	}
	return c.now-c.source.heardAt > constants.SourceTimeout || c.routed != nil && isHome(from) && !isHome(c.source.address)
}

// seek asks around for disk machines while this node has no source of rows.
func (c *Machine) seekSystem() {
	if c.routed == nil || c.quorum != nil || c.source.isAlive(c.now) && c.view.System != "" || c.now-c.whoAt < constants.WhoEvery {
		return
	}
	c.whoAt = c.now
	to := c.options.Seeds[c.options.Draw(int64(len(c.options.Seeds)))]
	if known := c.peerSampler.Known(); len(known) > 0 && c.options.Draw(2) == 0 {
		to = known[c.options.Draw(int64(len(known)))].Address
	}
	c.send(to, &schema.Frame{Body: &schema.Frame_DiscoverRequest{DiscoverRequest: &schema.DiscoverRequest{Node: c.peerSampler.Self()}}})
}
