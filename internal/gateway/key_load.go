package gateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// KeyLoad notes how long a back end worked on a key. What is far above the usual was spent in a queue, and a refused request says nothing
// of the work, so that both are bounded by the usual.
func (l *Loads) KeyLoad(service string, key uint32, busy time.Duration, isServed bool) {
	s := l.lockStripe(service)
	defer s.lock.Unlock()
	usual := s.usual[service]
	switch {
	case !isServed && usual > 0:
		busy = usual
	case usual == 0:
		usual = busy
	case busy > usual:
		usual += usual / constants.UsualStep
	default:
		usual -= usual / constants.UsualStep
	}
	s.usual[service] = usual
	busy = min(busy, constants.LoadCap*usual)
	buckets := s.keyLoad[service]
	if buckets == nil {
		buckets = map[uint32]uint32{}
		s.keyLoad[service] = buckets
	}
	buckets[bucketOf(key)] += uint32(busy.Milliseconds())
}

func bucketOf(key uint32) uint32 {
	return key / (constants.Keys / constants.LoadBuckets) % constants.LoadBuckets
}

// TakeKeyLoad gives what was noted since the last call, which was span ago, in the order of the services.
func (l *Loads) TakeKeyLoad(span time.Duration) []*schema.ShardLoad {
	var loads []*schema.ShardLoad
	for n := range l.stripes {
		loads = append(loads, l.stripes[n].takeKeyLoad(span)...)
	}
	slices.SortFunc(loads, func(a, b *schema.ShardLoad) int { return strings.Compare(a.Service, b.Service) })
	return loads
}

func (s *loadStripe) takeKeyLoad(span time.Duration) []*schema.ShardLoad {
	s.lock.Lock()
	defer s.lock.Unlock()
	var loads []*schema.ShardLoad
	for service, buckets := range s.keyLoad {
		load := &schema.ShardLoad{Service: service, SpanMs: uint32(span.Milliseconds())}
		for _, bucket := range slices.Sorted(maps.Keys(buckets)) {
			load.Buckets = append(load.Buckets, bucket)
			load.BusyMs = append(load.BusyMs, buckets[bucket])
		}
		loads = append(loads, load)
	}
	s.keyLoad = map[string]map[uint32]uint32{}
	return loads
}
