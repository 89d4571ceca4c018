package replication

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/frame"
	"topazshed/internal/schema"
)

// subscribe asks the source for what has changed, and compares digests with it when that is due.
func (s *Subscription) subscribe(now time.Duration) []frame.Envelope {
	if !s.fleet.HasSystem() {
		return nil
	}
	if s.source.address == "" && !s.chooseSource(now) {
		return nil
	}
	s.renewedAt = now
	envelopes := []frame.Envelope{s.newRequest(now, s.source.address)}
	if now-s.comparedAt < s.options.DigestEvery {
		return envelopes
	}
	s.comparedAt = now
	if digests := s.digests(); len(digests.Ranges) > 0 {
		envelopes = append(envelopes, digestRequestEnvelope(s.source.address, digests))
	}
	return envelopes
}

// renew asks the source to go on. What it has sent is not asked for again while it is on its way.
func (s *Subscription) renew(now time.Duration) []frame.Envelope {
	envelopes := s.subscribe(now)
	for _, envelope := range envelopes {
		if request := envelope.Frame.GetSubscribe(); request != nil {
			request.Renews = len(request.Wanted) == 0 || s.source.isAwaited(now)
		}
	}
	return envelopes
}

// try probes the member that was chosen. It is not asked for rows yet, since each member that is asked goes on sending them for a while, and together
// they may be more than the reader's link carries.
func (s *Subscription) try(now time.Duration) []frame.Envelope {
	if !s.fleet.HasSystem() {
		return nil
	}
	probe := s.newRequest(now, s.source.address)
	probe.Frame.GetSubscribe().Probe = true
	return []frame.Envelope{probe}
}

func (s *Subscription) newRequest(now time.Duration, to string) frame.Envelope {
	request := &schema.Subscribe{Version: uint64(s.table.Version()), Serial: s.requests.Next()}
	s.requests.Sent(now, to)
	for _, prefix := range s.prefixes() {
		if s.held[prefix] {
			request.Prefixes = append(request.Prefixes, prefix)
		} else {
			request.Wanted = append(request.Wanted, prefix)
		}
	}
	return subscribeEnvelope(to, request)
}

func (s *Subscription) digests() *schema.DigestRequest {
	request := &schema.DigestRequest{Version: uint64(s.table.Version())}
	for _, prefix := range s.prefixes() {
		if s.held[prefix] {
			request.Ranges = append(request.Ranges, s.table.Digest(prefix))
		}
	}
	return request
}

// prefixes are those that this reader holds or shall hold.
func (s *Subscription) prefixes() []string {
	if s.options.BaseOnly {
		return s.options.Base
	}
	return slices.Concat(s.options.Base, slices.Sorted(maps.Keys(s.wanted)))
}

func (s *Subscription) setHeld(prefix string, isHeld bool) {
	if s.held[prefix] == isHeld {
		return
	}
	s.held = maps.Clone(s.held)
	if isHeld {
		s.held[prefix] = true
	} else {
		delete(s.held, prefix)
	}
}
