package membership

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

const (
	// suspectedFor is for how many time-outs a node is reported as suspected.
	suspectedFor = 4
	// seedShuffleOdds is how many shuffles go to active nodes and seeds together for one that goes to a seed.
	seedShuffleOdds = 4
)

// Tick probes the active view, refills it, and shuffles once in a while.
func (s *Sampler) Tick(now time.Duration) []frame.Envelope {
	envelopes := s.probe(now)
	s.forgetSuspects(now)
	s.refill(now)
	return append(envelopes, s.shuffle(now)...)
}

// Shuffle takes another node's sample and, unless that was a reply, answers with one of its own, drawn before it learns the other's.
func (s *Sampler) Shuffle(from string, shuffle *schema.Shuffle) []frame.Envelope {
	sample := s.Sample()
	s.Learn(shuffle.Nodes...)
	if shuffle.Reply {
		return nil
	}
	return []frame.Envelope{shuffleEnvelope(from, &schema.Shuffle{Nodes: sample, Reply: true})}
}

// probe suspects the active nodes that timed out and probes the others that are due.
func (s *Sampler) probe(now time.Duration) []frame.Envelope {
	timing := s.options.Timing
	var envelopes []frame.Envelope
	for _, id := range slices.Sorted(maps.Keys(s.active)) {
		active := s.active[id]
		if now-max(active.heardAt, active.activeSince) > timing.ProbeTimeout {
			s.suspects[id] = now
			delete(s.active, id)
			continue
		}
		if now-active.probedAt >= timing.ProbeInterval {
			active.probedAt = now
			envelopes = append(envelopes, s.newProbe(active.node))
		}
	}
	return envelopes
}

func (s *Sampler) newProbe(node *schema.Node) frame.Envelope {
	s.probeSerial++
	probe := &schema.Probe{Subject: node.Id, Serial: s.probeSerial}
	return frame.Envelope{To: node.Address, Frame: &schema.Frame{Body: &schema.Frame_Probe{Probe: probe}}}
}

func (s *Sampler) forgetSuspects(now time.Duration) {
	maps.DeleteFunc(s.suspects, func(_ string, since time.Duration) bool {
		return now-since > suspectedFor*s.options.Timing.ProbeTimeout
	})
}

// refill moves passive nodes into the active view while it has room.
func (s *Sampler) refill(now time.Duration) {
	for len(s.active) < constants.ActiveView {
		ids := s.candidates()
		if len(ids) == 0 {
			return
		}
		id := s.drawID(ids)
		s.active[id] = &peer{node: s.passive[id], heardAt: now, activeSince: now}
		delete(s.passive, id)
	}
}

// candidates are the passive nodes that may become active, in order of their ids. Where the own region is preferred, those of other regions
// become so only if the own one has none left, and then only constants.FarPeers together.
func (s *Sampler) candidates() []string {
	ids := slices.Sorted(maps.Keys(s.passive))
	if !s.options.PrefersHome {
		return ids
	}
	atHome := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !s.isAtHome(s.passive[id]) })
	if len(atHome) > 0 {
		return atHome
	}
	if s.activeElsewhere() >= constants.FarPeers {
		return nil
	}
	return ids
}

func (s *Sampler) activeElsewhere() int {
	count := 0
	for _, active := range s.active {
		if !s.isAtHome(active.node) {
			count++
		}
	}
	return count
}

func (s *Sampler) isAtHome(node *schema.Node) bool { return node.Region == s.self.Region }

// shuffle sends a sample to another node when that is due; it is due sooner while few nodes are known.
func (s *Sampler) shuffle(now time.Duration) []frame.Envelope {
	if now < s.shuffleAt {
		return nil
	}
	interval := s.options.Timing.ShuffleInterval
	if s.Size() < constants.ShuffleSample {
		interval = min(interval, constants.ShuffleEvery)
	}
	s.shuffleAt = now + interval
	to := s.shuffleTarget()
	if to == s.self.Address {
		return nil
	}
	return []frame.Envelope{shuffleEnvelope(to, &schema.Shuffle{Nodes: s.Sample()})}
}

// shuffleTarget draws a seed, and mostly an active node in its place. An active node of a full view then goes back to the passive one, so that
// the active view changes in time.
func (s *Sampler) shuffleTarget() string {
	seed := s.drawID(s.options.Seeds)
	if len(s.active) == 0 || s.options.Draw(seedShuffleOdds) == 0 {
		return seed
	}
	id := s.drawID(slices.Sorted(maps.Keys(s.active)))
	node := s.active[id].node
	if len(s.active) == constants.ActiveView && len(s.passive) > 0 {
		s.passive[id] = node
		delete(s.active, id)
	}
	return node.Address
}

func shuffleEnvelope(to string, shuffle *schema.Shuffle) frame.Envelope {
	return frame.Envelope{To: to, Frame: &schema.Frame{Body: &schema.Frame_Shuffle{Shuffle: shuffle}}}
}
