package replication

import (
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

// remoteSourceOdds is how many choices of a source a reader that does not prefer its own region makes for one in another region.
const remoteSourceOdds = 4

// mayTake tells whether rows are taken from a node: from the source always; from another node that was asked only if its rows are confirmed,
// and the source's are not or the source is farther away.
func (s *Subscription) mayTake(now time.Duration, from string, isConfirmed bool) bool {
	switch {
	case from == s.source.address:
		return true
	case !isConfirmed:
		return false
	case !s.source.isConfirmed(now):
		return true
	}
	return s.options.PrefersHome && s.isAtHome(from) && !s.isAtHome(s.source.address)
}

func (s *Subscription) isAtHome(address string) bool {
	isMatch := func(node *schema.Node) bool {
		return node.Address == address && node.Region == s.options.Region
	}
	return len(s.fleet.Addresses(isMatch)) > 0
}

// chooseSource takes another member of the log as the source; it tells false if there is no other.
func (s *Subscription) chooseSource(now time.Duration) bool {
	candidates := s.candidates(now)
	if len(candidates) == 0 {
		return false
	}
	s.source.choose(now, s.drawOne(s.source.leastAsked(candidates)))
	return true
}

// candidates are the members to choose a source from: those of the own region unless one elsewhere is due, or a seed if none is known.
func (s *Subscription) candidates(now time.Duration) []string {
	hasSource := s.source.address != ""
	candidates := s.fleet.Addresses(func(node *schema.Node) bool {
		return s.source.isCandidate(now, node) && node.Region == s.options.Region
	})
	if s.isRemoteDue(now) || !hasSource && len(candidates) == 0 {
		remote := s.fleet.Addresses(func(node *schema.Node) bool {
			return s.source.isCandidate(now, node) && node.Region != s.options.Region
		})
		if s.options.PrefersHome {
			candidates = append(candidates, remote...)
		} else if len(remote) > 0 {
			candidates = remote
		}
	}
	if len(candidates) == 0 && (!hasSource || !s.fleet.HasState()) {
		candidates = s.options.Seeds
	}
	return candidates
}

// isRemoteDue tells whether the next source shall be in another region.
func (s *Subscription) isRemoteDue(now time.Duration) bool {
	if !s.options.PrefersHome {
		return s.options.Draw(remoteSourceOdds) == 0
	}
	return s.source.isSeeking() && now-s.source.seekingSince > s.options.RemoteAfter
}

// askAtHome asks a member of the own region for rows while the source is elsewhere, since bytes between regions are dear. That member becomes
// the source once it sends confirmed rows.
func (s *Subscription) askAtHome(now time.Duration) []frame.Envelope {
	if !s.options.PrefersHome || now-s.homeAskedAt < constants.HomeSourceEvery || s.source.isSeeking() {
		return nil
	}
	members := s.fleet.Addresses(func(node *schema.Node) bool {
		return node.Disk && node.Region == s.options.Region
	})
	if len(members) == 0 || slices.Contains(members, s.source.address) {
		return nil
	}
	s.homeAskedAt = now
	return []frame.Envelope{s.newRequest(now, s.drawOne(members))}
}

func (s *Subscription) drawOne(addresses []string) string {
	return addresses[s.options.Draw(int64(len(addresses)))]
}
