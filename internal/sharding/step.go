package sharding

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type row struct {
	*schema.ShardRange
	key   string
	index uint64
}

func (r row) identity() identity { return identity{r.First, r.Last, r.Instance, r.Fence} }
func (r row) width() uint32      { return r.Last - r.First + 1 }

// step is one look at one service.
type step struct {
	g        *LeaseManager
	m        *memory
	f        Facts
	service  *store.Service
	effects  *Effects
	rows     []row
	eligible []string
	keyLoad  keyLoad
	loads    map[string]float64
	doubted  map[string]bool
}

func (s *step) run() {
	s.f.Table.Each(store.ServicePrefix(s.service.Name)+"span/", func(r *schema.Row) {
		if span := store.DecodeRow[schema.ShardRange](r); span != nil {
			s.rows = append(s.rows, row{span, r.Key, r.Index})
		}
	})
	s.keyLoad = newKeyLoad(s.f.Load[s.service.Name])
	s.tidy()
	s.eligible = s.listEligible()
	if len(s.rows) == 0 {
		s.layOut()
		return
	}
	s.loads = map[string]float64{}
	for _, r := range s.rows {
		s.loads[s.replacement(r)] += s.keyLoad.weight(r.First, r.Last)
	}
	for _, r := range s.rows {
		backend := s.service.Backend(r.Instance)
		isLost := backend == nil || s.f.Dead(r.Instance)
		switch {
		case (isLost || r.Releasing || s.isWithdrawn(r)) && s.hasLapsed(r):
			s.assign(r)
		case isLost:
		case r.Releasing:
			s.release(r, backend)
		default:
			s.grantLease(r, backend)
		}
	}
	s.leave()
	s.balance()
	s.merge()
}

// tidy drops what is remembered of spans and instances that are no more.
func (s *step) tidy() {
	keys, firsts, live := map[string]uint64{}, map[uint32]bool{}, map[identity]bool{}
	for _, r := range s.rows {
		keys[r.key] = r.index
		firsts[r.First] = r.Releasing
		live[r.identity()] = true
	}
	maps.DeleteFunc(s.m.proposed, func(key string, p proposal) bool { return keys[key] != p.index })
	prefix := store.ServicePrefix(s.service.Name)
	maps.DeleteFunc(s.g.withdrawn, func(key string, index uint64) bool { return strings.HasPrefix(key, prefix) && keys[key] != index })
	isOld := func(id identity, p *progress) bool { return !live[id] && !p.isWaiting }
	maps.DeleteFunc(s.m.leases, isOld)
	maps.DeleteFunc(s.m.releases, isOld)
	maps.DeleteFunc(s.m.excluded, func(_ string, until time.Duration) bool { return until <= s.f.Now })
	maps.DeleteFunc(s.m.failedAt, func(instance string, _ time.Duration) bool { return s.service.Backend(instance) == nil })
	maps.DeleteFunc(s.m.downAt, func(instance string, _ time.Duration) bool {
		return s.service.Backend(instance) == nil && !slices.ContainsFunc(s.rows, func(r row) bool { return r.Instance == instance })
	})
	maps.DeleteFunc(s.m.unresponsive, func(instance string, _ *unresponsiveOwner) bool { return s.service.Backend(instance) == nil })
	for first := range s.m.targets {
		if isReleasing, isThere := firsts[first]; isThere && !isReleasing && len(s.m.proposed) == 0 {
			delete(s.m.targets, first)
		}
	}
	for instance, at := range s.m.failedAt {
		if s.f.Now-at >= constants.KeyUnreachableAfter {
			s.m.excluded[instance] = s.f.Now + constants.KeyUnreachableKept
			delete(s.m.failedAt, instance)
		}
	}
}

// isShared tells that another back end is listed at the same address, so that one of both is of the past.
func (s *step) isShared(backend *schema.Backend) bool {
	return slices.ContainsFunc(s.g.listedAt(s.f.View, backend.Address), func(other string) bool {
		return other != backend.Instance && !s.f.Dead(other)
	})
}

// listedAt gives the back ends that are listed at an address.
func (g *LeaseManager) listedAt(view *store.View, address string) []string {
	if g.listed == nil || g.listedIn != view {
		g.listedIn, g.listed = view, map[string][]string{}
		for _, service := range view.Services {
			for _, backend := range service.Backends {
				g.listed[backend.Address] = append(g.listed[backend.Address], backend.Instance)
			}
		}
	}
	return g.listed[address]
}

// isVoid tells that what a call gave is surely held by nobody: its owner has ended, and no other process at its address took the call.
func (s *step) isVoid(e *outstandingCall) bool {
	if !s.f.Dead(e.instance) {
		return false
	}
	if e.address == "" || e.sent < s.m.downAt[e.instance] {
		return true
	}
	return !s.isShared(&schema.Backend{Instance: e.instance, Address: e.address})
}

func (s *step) listEligible() []string {
	var warm, cold, all []string
	isColdOne := map[string]bool{}
	for _, backend := range s.service.Backends {
		if backend.State != schema.BackendState_BACKEND_READY || backend.Failing || s.f.Dead(backend.Instance) || s.isEmptied(backend) || s.isShared(backend) {
			continue
		}
		if _, isExcluded := s.m.excluded[backend.Instance]; isExcluded {
			continue
		}
		all = append(all, backend.Instance)
		isColdOne[backend.Instance] = backend.Cold || s.f.View.Zones[backend.Zone].GetSettling()
	}
	for _, instance := range s.atHome(all) {
		if isColdOne[instance] {
			cold = append(cold, instance)
		} else {
			warm = append(warm, instance)
		}
	}
	if len(warm) == 0 {
		warm = cold
	}
	slices.Sort(warm)
	return warm
}

func (s *step) isEmptied(backend *schema.Backend) bool {
	zone := s.f.View.Zones[backend.Zone]
	return zone != nil && zone.Emptied
}

func (s *step) layOut() {
	if len(s.eligible) == 0 {
		s.m.hasEligible = false
		return
	}
	if !s.m.hasEligible || s.m.eligible != len(s.eligible) {
		s.m.hasEligible, s.m.eligibleAt, s.m.eligible = true, s.f.Now, len(s.eligible)
	}
	key := store.ShardRangeKey(s.service.Name, 0)
	if p, isThere := s.m.proposed[key]; s.f.Now-s.m.eligibleAt < constants.KeyLayoutSettle || isThere && s.f.Now-p.at < constants.KeyProposalPause {
		return
	}
	stripes := 1
	if len(s.eligible) > 1 {
		stripes = max(1, min(constants.KeyStripes, s.spansMost()*(constants.KeyGatherParts-1)/constants.KeyGatherParts/len(s.eligible)))
	}
	count := uint32(len(s.eligible) * stripes)
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Guards: []*schema.Guard{{Key: key}}, Reason: "lay out keys"}
	for i := range count {
		first, last := i*(constants.LastKey+1)/count, (i+1)*(constants.LastKey+1)/count-1
		record.Rows = append(record.Rows, store.EncodeRow(store.ShardRangeKey(s.service.Name, first),
			&schema.ShardRange{Service: s.service.Name, First: first, Last: last, Instance: s.eligible[int(i)%len(s.eligible)], Fence: 1}))
	}
	s.m.proposed[key] = proposal{at: s.f.Now}
	s.effects.Records = append(s.effects.Records, record)
}

// replacement is the instance that a span's load counts for.
func (s *step) replacement(r row) string {
	if target, isThere := s.m.targets[r.First]; r.Releasing && isThere {
		return target
	}
	return r.Instance
}

func (s *step) isBusy(r row) bool {
	p, isThere := s.m.proposed[r.key]
	return isThere && p.index == r.index && s.f.Now-p.at < constants.KeyProposalPause
}

func (s *step) isWithdrawn(r row) bool {
	index, isThere := s.g.withdrawn[r.key]
	return isThere && index == r.index
}

// hasLapsed tells that nobody can hold any of a span's keys.
func (s *step) hasLapsed(r row) bool {
	for _, e := range s.g.outstandingCalls {
		if e.service != s.service.Name || !e.isOpen && e.until <= s.f.Now || s.isVoid(e) {
			continue
		}
		for _, keys := range e.ranges {
			if keys[0] <= r.Last && keys[1] >= r.First {
				return false
			}
		}
	}
	return true
}

// propose replaces spans by others in one record.
func (s *step) propose(reason string, width uint32, old []row, fresh []*schema.ShardRange) {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: reason}
	had, has := map[string]bool{}, map[string]bool{}
	for _, r := range old {
		had[r.key] = true
		record.Guards = append(record.Guards, &schema.Guard{Key: r.key, Index: r.index})
		s.m.proposed[r.key] = proposal{index: r.index, at: s.f.Now, width: width}
		width = 0
	}
	for _, span := range fresh {
		key := store.ShardRangeKey(s.service.Name, span.First)
		has[key] = true
		if !had[key] {
			record.Guards = append(record.Guards, &schema.Guard{Key: key})
		}
		record.Rows = append(record.Rows, store.EncodeRow(key, span))
	}
	for _, r := range old {
		if !has[r.key] {
			record.Rows = append(record.Rows, store.Tombstone(r.key))
		}
	}
	s.effects.Records = append(s.effects.Records, record)
}

// lightest is the eligible instance with the least load, but for one.
func (s *step) lightest(except string) string {
	best := ""
	for _, instance := range s.eligible {
		if instance != except && (best == "" || s.loads[instance] < s.loads[best]) {
			best = instance
		}
	}
	return best
}

// assign gives a span that nobody holds to others.
func (s *step) assign(r row) {
	if len(s.eligible) == 0 || s.isBusy(r) {
		return
	}
	fence, handover := r.Fence, ""
	if !r.Releasing {
		fence++
	}
	weight := s.keyLoad.weight(r.First, r.Last)
	s.loads[s.replacement(r)] -= weight
	count := 1
	if progress := s.m.releases[r.identity()]; progress != nil && progress.isFreed && r.Releasing {
		handover = progress.handover
	} else {
		count = min(1+int(weight*float64(len(s.eligible))*constants.KeyLeaveParts), len(s.eligible), constants.KeyPiecesMost, int(r.width()))
	}
	var spans []*schema.ShardRange
	for first, i := r.First, count; i > 0; i-- {
		last := r.Last
		if i > 1 {
			last = s.keyLoad.cut(first, r.Last-uint32(i-1), s.keyLoad.weight(first, r.Last)/float64(i))
		}
		target := s.m.targets[r.First]
		if count > 1 || !slices.Contains(s.eligible, target) {
			target = s.lightest("")
		}
		s.loads[target] += s.keyLoad.weight(first, last)
		spans = append(spans, &schema.ShardRange{Service: s.service.Name, First: first, Last: last, Instance: target, Fence: fence, Handover: handover})
		first = last + 1
	}
	s.g.withdrawn[r.key] = r.index
	s.propose("assign keys", 0, []row{r}, spans)
}

func (s *step) send(call Call, e *outstandingCall) {
	s.g.last++
	call.ID, call.Service = s.g.last, s.service.Name
	s.g.pending[call.ID] = &pending{call: call, sent: s.f.Now, outstandingCall: e}
	s.effects.Calls = append(s.effects.Calls, call)
}

func (s *step) hasLease() bool { return s.f.Now-s.f.LeaseAt < constants.KeyLeaseTime }

func (s *step) grantLease(r row, backend *schema.Backend) {
	id := r.identity()
	p := s.m.leases[id]
	if p == nil {
		p = &progress{}
		s.m.leases[id] = p
	}
	if p.isBarred && !p.isWaiting && !s.isBusy(r) && !s.isWithdrawn(r) {
		span := &schema.ShardRange{Service: s.service.Name, First: r.First, Last: r.Last, Instance: r.Instance, Fence: r.Fence + p.refusals, Handover: r.Handover}
		s.propose("raise the fence", 0, []row{r}, []*schema.ShardRange{span})
		return
	}
	if p.isWaiting || s.f.Now < p.next || !s.hasLease() || s.isWithdrawn(r) || s.isShared(backend) {
		return
	}
	if quiet := s.m.unresponsive[r.Instance]; quiet != nil {
		if quiet.isWaiting || s.f.Now < quiet.next {
			return
		}
		quiet.isWaiting = true
		s.send(Call{Kind: Probe, Instance: r.Instance, Address: backend.Address, First: r.First, Last: r.Last, Fence: r.Fence, Wait: constants.KeyProbeWait}, nil)
		return
	}
	if p.isDone && s.isDoubted(r.Instance) {
		return
	}
	p.isWaiting = true
	e := &outstandingCall{service: s.service.Name, instance: r.Instance, address: backend.Address, fence: r.Fence, ranges: [][2]uint32{{r.First, r.Last}}, sent: s.f.Now, isOpen: true}
	s.g.outstandingCalls = append(s.g.outstandingCalls, e)
	s.send(Call{Kind: GrantLease, Instance: r.Instance, Address: backend.Address, First: r.First, Last: r.Last, Fence: r.Fence, Hold: s.g.hold, Handover: r.Handover, Wait: constants.KeyLeaseWait}, e)
}

// isDoubted tells that an instance has left a lease unanswered for so long that its other spans had better wait for that answer.
func (s *step) isDoubted(instance string) bool {
	if s.doubted == nil {
		s.doubted = map[string]bool{}
		for _, p := range s.g.pending {
			if p.call.Kind == GrantLease && p.call.Service == s.service.Name && s.f.Now-p.sent >= constants.KeyDoubt {
				s.doubted[p.call.Instance] = true
			}
		}
	}
	return s.doubted[instance]
}

func (s *step) release(r row, backend *schema.Backend) {
	id := r.identity()
	p := s.m.releases[id]
	if p == nil {
		p = &progress{}
		s.m.releases[id] = p
	}
	if p.isWaiting || p.isFreed || s.f.Now < p.next || !s.hasLease() || s.isShared(backend) {
		return
	}
	p.isWaiting = true
	s.send(Call{Kind: ReleaseLease, Instance: r.Instance, Address: backend.Address, First: r.First, Last: r.Last, Fence: r.Fence, Wait: constants.KeyReleaseWait}, nil)
}

// free proposes to take a part of a span off its owner.
func (s *step) free(r row, first, last uint32, target, reason string) {
	var plan []piece
	if first > r.First {
		plan = append(plan, piece{r.First, first - 1, ""})
	}
	plan = append(plan, piece{first, last, target})
	if last < r.Last {
		plan = append(plan, piece{last + 1, r.Last, ""})
	}
	s.freeParts(r, plan, reason)
}

// freeParts proposes to take those parts of a span off its owner that have a target.
func (s *step) freeParts(r row, plan []piece, reason string) {
	handover := r.Handover
	if p := s.m.leases[r.identity()]; p != nil && p.isDone {
		handover = ""
	}
	var spans []*schema.ShardRange
	width := uint32(0)
	for _, p := range plan {
		span := &schema.ShardRange{Service: s.service.Name, First: p.first, Last: p.last, Instance: r.Instance, Fence: r.Fence, Handover: handover}
		if p.target != "" {
			span.Releasing, span.Fence, span.Handover = true, r.Fence+1, ""
			weight := s.keyLoad.weight(p.first, p.last)
			s.loads[r.Instance] -= weight
			s.loads[p.target] += weight
			s.m.targets[p.first] = p.target
			width += p.last - p.first + 1
		}
		spans = append(spans, span)
	}
	s.propose(reason, width, []row{r}, spans)
}

// mustLeave tells whether an owner is to lose all its keys, and whether a part at a time.
func (s *step) mustLeave(backend *schema.Backend) (bool, bool) {
	_, isExcluded := s.m.excluded[backend.Instance]
	return isExcluded || backend.Failing || backend.State == schema.BackendState_BACKEND_DRAINING || s.isEmptied(backend) || s.isAbroad(backend), !isExcluded
}

func (s *step) leave() {
	leaving := map[string]bool{}
	for _, backend := range s.service.Backends {
		mustLeave, isGentle := s.mustLeave(backend)
		if !mustLeave || s.lightest(backend.Instance) == "" || s.f.Dead(backend.Instance) {
			continue
		}
		left, moved := uint32(0), uint32(0)
		for _, r := range s.rows {
			if r.Instance == backend.Instance && !r.Releasing {
				left += r.width()
				if s.isBusy(r) {
					moved += s.m.proposed[r.key].width
				}
			}
		}
		if left == 0 {
			continue
		}
		leaving[backend.Instance] = true
		start, isKnown := s.m.leaving[backend.Instance]
		if !isKnown || left > start.width {
			start = departure{s.f.Now, left}
			s.m.leaving[backend.Instance] = start
		}
		due := start.width
		if steps := uint32((s.f.Now-start.at)/constants.KeyLeaveStep) + 1; isGentle && steps < constants.KeyLeaveParts {
			due = (start.width*steps + constants.KeyLeaveParts - 1) / constants.KeyLeaveParts
		}
		moved += start.width - left
		for _, r := range s.rows {
			if due <= moved {
				break
			}
			if r.Instance != backend.Instance || r.Releasing || s.isBusy(r) || s.isWithdrawn(r) {
				continue
			}
			width := min(due-moved, r.width())
			s.free(r, r.First, r.First+width-1, s.lightest(backend.Instance), "take keys off a leaving back end")
			moved += width
		}
	}
	maps.DeleteFunc(s.m.leaving, func(instance string, _ departure) bool { return !leaving[instance] })
}

func (s *step) isSettled(r row) bool {
	p := s.m.leases[r.identity()]
	return !r.Releasing && p != nil && p.isDone && !p.isBarred && !s.isBusy(r) && !s.isWithdrawn(r)
}

func (s *step) spansMost() int {
	return max(constants.KeySpansMost, constants.KeySpansParts*len(s.eligible))
}

// piece is a part of a span that stays, or that goes to a target.
type piece struct {
	first, last uint32
	target      string
}

// balance moves the hottest small ranges from the most to the least loaded back ends, several at a time.
func (s *step) balance() {
	moves := 0
	loads := map[string]float64{}
	for _, r := range s.rows {
		loads[s.replacement(r)] += s.keyLoad.sum(r.First, r.Last)
		if r.Releasing || s.isBusy(r) {
			moves++
		}
	}
	if s.keyLoad.total < constants.KeyLoadLeast || len(s.eligible) < 2 {
		s.m.isUneven = false
		return
	}
	mean := s.keyLoad.total / float64(len(s.eligible))
	isCrowded := len(s.rows) > s.spansMost()
	byLoad := func(a, b string) int { return cmp.Or(cmp.Compare(loads[a], loads[b]), cmp.Compare(a, b)) }
	ends := func() (string, string, bool) {
		least, most := slices.MinFunc(s.eligible, byLoad), slices.MaxFunc(s.eligible, byLoad)
		if isCrowded {
			return least, most, loads[most] > constants.KeyFarShare*mean && loads[most]-mean >= constants.KeyLoadUneven
		}
		isHot := loads[most] > constants.KeyHotShare*mean && loads[most]-mean >= constants.KeyLoadUneven
		isIdle := loads[least] < constants.KeyIdleShare*mean && mean-loads[least] >= constants.KeyLoadUneven
		return least, most, isHot || isIdle
	}
	_, _, isUneven := ends()
	if !isUneven && !s.m.isUneven {
		s.gather(loads, mean, moves)
		return
	}
	if !isUneven || !s.m.isUneven {
		s.m.isUneven, s.m.unevenAt = isUneven, s.f.Now
		return
	}
	if s.f.Now-s.m.unevenAt < constants.KeyUnevenFor {
		return
	}
	plans := map[uint32][]piece{}
	for ; moves < max(constants.KeyMovesMost, len(s.eligible)); moves++ {
		least, most, isStill := ends()
		if !isStill {
			break
		}
		amount := min((loads[most]-loads[least])/2, max(mean-loads[least], mean*constants.KeyMovePart))
		moved, isFound := s.carve(plans, most, least, amount, mean)
		if !isFound {
			break
		}
		loads[most] -= moved
		loads[least] += moved
	}
	for _, r := range s.rows {
		if plan := plans[r.First]; slices.ContainsFunc(plan, func(p piece) bool { return p.target != "" }) {
			s.freeParts(r, plan, "move hot keys")
			s.m.unevenAt = s.f.Now
		}
	}
}

// carve finds the densest range of an instance that carries no more than an amount of heat, and plans it for a target.
func (s *step) carve(plans map[uint32][]piece, instance, target string, amount, mean float64) (float64, bool) {
	type seed struct {
		r           row
		at          int
		first, last uint32
		density     float64
	}
	var seeds []seed
	for _, r := range s.rows {
		if r.Instance != instance || !s.isSettled(r) {
			continue
		}
		plan, isPlanned := plans[r.First]
		if !isPlanned {
			plan = []piece{{r.First, r.Last, ""}}
			plans[r.First] = plan
		}
		for at, p := range plan {
			if p.target != "" {
				continue
			}
			s.keyLoad.each(p.first, p.last, func(first, last uint32) {
				seeds = append(seeds, seed{r, at, first, last, s.keyLoad.sum(first, last) / float64(last-first+1)})
			})
		}
	}
	slices.SortStableFunc(seeds, func(a, b seed) int { return cmp.Compare(b.density, a.density) })
	for _, hot := range seeds {
		first, last := hot.first, hot.last
		for s.keyLoad.sum(first, last) > amount && last > first {
			last = first + (last-first)/2
		}
		if s.keyLoad.sum(first, last) > amount {
			continue
		}
		whole := plans[hot.r.First][hot.at]
		isFitting := func(a, b uint32) bool {
			part := s.keyLoad.sum(a, b)
			return part >= constants.KeyMoveDensity*hot.density*float64(b-a+1) && s.keyLoad.sum(first, last)+part <= amount
		}
		if last == hot.last {
			for hasGrown := true; hasGrown; {
				hasGrown = false
				if first > whole.first {
					if next := max(s.keyLoad.start(first-1), whole.first); isFitting(next, first-1) {
						first, hasGrown = next, true
					}
				}
				if last < whole.last {
					if next := min(s.keyLoad.end(last+1), whole.last); isFitting(last+1, next) {
						last, hasGrown = next, true
					}
				}
			}
		}
		moved := s.keyLoad.sum(first, last)
		if moved < constants.KeyMovePart*mean {
			continue
		}
		var parts []piece
		if first > whole.first {
			parts = append(parts, piece{whole.first, first - 1, ""})
		}
		parts = append(parts, piece{first, last, target})
		if last < whole.last {
			parts = append(parts, piece{last + 1, whole.last, ""})
		}
		plans[hot.r.First] = slices.Replace(plans[hot.r.First], hot.at, hot.at+1, parts...)
		return moved, true
	}
	return 0, false
}

// gather gives a small lukewarm span to a peer's owner, one after the other in the calm, so that hot ranges may be cut out again.
func (s *step) gather(loads map[string]float64, mean float64, moves int) {
	if len(s.rows)*constants.KeyGatherParts <= s.spansMost()*(constants.KeyGatherParts-1) || moves > 0 || s.f.Now-s.m.unevenAt < constants.KeyGatherPause {
		return
	}
	best, target := -1, ""
	for i, r := range s.rows {
		warmth := s.keyLoad.sum(r.First, r.Last)
		if !s.isSettled(r) || warmth > constants.KeyGatherWarmth*mean || best >= 0 && r.width() >= s.rows[best].width() {
			continue
		}
		for _, side := range []int{i - 1, i + 1} {
			if side < 0 || side >= len(s.rows) || !s.isSettled(s.rows[side]) || s.rows[side].Instance == r.Instance || !slices.Contains(s.eligible, s.rows[side].Instance) {
				continue
			}
			from, to := loads[r.Instance], loads[s.rows[side].Instance]
			if to+warmth <= max(from, constants.KeyGatherShare*mean) && from-warmth >= min(to, mean/constants.KeyGatherShare) {
				best, target = i, s.rows[side].Instance
			}
		}
	}
	if best >= 0 {
		s.free(s.rows[best], s.rows[best].First, s.rows[best].Last, target, "gather spans")
		s.m.unevenAt = s.f.Now
	}
}

// merge joins peers of one owner, also of differing fences: the greatest is above all that it has seen on any of them.
func (s *step) merge() {
	for i := 0; i < len(s.rows); {
		a := s.rows[i]
		_, isLeaving := s.m.leaving[a.Instance]
		end, fence := i+1, a.Fence
		for ; !isLeaving && s.isSettled(a) && end < len(s.rows) && s.rows[end].Instance == a.Instance && s.isSettled(s.rows[end]); end++ {
			fence = max(fence, s.rows[end].Fence)
		}
		if end-i > 1 {
			s.propose("merge spans", 0, s.rows[i:end], []*schema.ShardRange{{Service: s.service.Name, First: a.First, Last: s.rows[end-1].Last, Instance: a.Instance, Fence: fence}})
		}
		i = end
	}
}
