package proxy

import (
	"errors"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Turn is what the executor must do next.
type Turn int

// The turns of a request.
const (
	TurnRefuse Turn = iota
	TurnPark
	TurnForward
	TurnReserve
	TurnAttempt
)

// Decision is the decider's answer.
type Decision struct {
	Turn     Turn
	Refusal  *RefusalError
	Wanted   string
	Entry    *schema.Entry
	Owner    failover.Owner
	Nodes    []*schema.Node
	Replicas *schema.ReplicaSet
	Backend  *schema.Backend
	Slot     uint32
	SlotNo   uint64
	IsSafe   bool
	Version  uint64
}

// Load is what this proxy itself knows of back ends.
type Load interface {
	InFlight(instance string) int
	IsBad(instance string) bool
	MayBegin(now time.Duration, backend *schema.Backend, part func() Part, coldRate uint32) bool
	KeyInFlight(service, key string) (ofKey, ofAll int)
}

// Situation is all that a decision rests on.
type Situation struct {
	Now        time.Duration
	Local      *controlplane.Local
	Self       *schema.Node
	Request    *Request
	Load       Load
	Tried      map[string]bool
	IsReserved bool
	Parked     time.Duration
	Left       time.Duration
	FirstSent  time.Duration
	Draw       func(int64) int64
}

// IsFit tells whether a node's state is fresh enough to serve on.
func IsFit(now time.Duration, local *controlplane.Local) bool {
	if local == nil || now-local.TickAt > time.Second || local.ThawedAt > 0 && local.FreshAt <= local.ThawedAt {
		return false
	}
	if local.View.Version == 0 || local.BehindAt > 0 && now-local.BehindAt > constants.BehindMost {
		return false
	}
	return now-local.FreshAt < constants.IsolatedAfter || now-local.PeersAt < constants.IsolatedAfter
}

// Entry finds the entry of a path, or says what the executor must do instead.
func Entry(now time.Duration, local *controlplane.Local, service, path string, parked time.Duration) (*schema.Entry, *Decision) {
	park := func(kind, message, wanted string) *Decision {
		if parked >= constants.ParkMost {
			return &Decision{Turn: TurnRefuse, Refusal: newRefusalLater(kind, "%s", message)}
		}
		return &Decision{Turn: TurnPark, Wanted: wanted}
	}
	if !IsFit(now, local) {
		if local.View.Version > 0 && now-local.TickAt < time.Second && local.ThawedAt < local.FreshAt {
			return nil, &Decision{Turn: TurnRefuse, Refusal: newRefusalLater("isolated", "this proxy is cut off; ask the directory for another")}
		}
		return nil, park("unready", "this proxy has no fresh state; ask the directory for another", "")
	}
	if !local.IsFull && !local.HeldPrefixes[store.ServicePrefix(service)] {
		return nil, park("unready", "the service's state is not here yet; send again", service)
	}
	known := local.View.Services[service]
	if known == nil {
		return nil, &Decision{Turn: TurnRefuse, Refusal: newRefusal(http.StatusNotFound, "unknown-entry", "no entry for service %q; mend the path or put a configuration", service)}
	}
	entry := known.Entry(path)
	if entry == nil {
		return nil, &Decision{Turn: TurnRefuse, Refusal: newRefusal(http.StatusNotFound, "unknown-entry", "no entry of service %q covers path %q; mend the path or put a configuration", service, path)}
	}
	return entry, nil
}

// Decide is asked at each turn of a request.
func Decide(s Situation) Decision {
	d, isOwn := Check(s)
	if !isOwn {
		return d
	}
	return match(s, d)
}

// Check tells whether this proxy may begin an attempt of the request now, or else what is to be done.
func Check(s Situation) (Decision, bool) {
	q := s.Request
	entry, early := Entry(s.Now, s.Local, q.Service, q.Path, s.Parked)
	if early != nil {
		return *early, false
	}
	d := Decision{Entry: entry, IsSafe: slices.Contains(entry.SafeMethods, q.Method), Version: uint64(s.Local.View.Version)}
	refuse := func(e *RefusalError) (Decision, bool) {
		d.Turn, d.Refusal = TurnRefuse, e
		return d, false
	}
	park := func(kind, form string, args ...any) (Decision, bool) { return s.park(d, kind, form, args...), false }
	if !slices.Contains(entry.Methods, q.Method) {
		return refuse(newRefusal(http.StatusMethodNotAllowed, "bad-method", "entry %s%s allows %v; use one of them or change the configuration", entry.Service, entry.Path, entry.Methods))
	}
	if entry.Keyed && q.Key == "" {
		return refuse(newRefusal(http.StatusBadRequest, "no-key", "entry %s%s is divided by key; send %s", entry.Service, entry.Path, HeaderKey))
	}
	if s.Left <= 0 {
		return refuse(newRefusalLater("late", "the wait is over"))
	}
	view := s.Local.View
	owner, err := failover.Resolve(view, entry, q.Origin)
	if err != nil {
		var misfit *failover.OriginError
		if errors.As(err, &misfit) {
			return refuse(newRefusal(http.StatusBadRequest, "bad-origin", "%v", err))
		}
		return park("no-standing", "%v", err)
	}
	d.Owner = owner
	if owner.Zone != s.Self.Zone {
		if len(q.Forwarded) > 0 {
			return park("moved", "number %d makes district %s the owner; ask the directory again", owner.Number, owner.Zone)
		}
		for _, node := range view.Nodes {
			if node.Zone == owner.Zone && node.State == schema.NodeState_NODE_READY {
				d.Nodes = append(d.Nodes, node)
			}
		}
		if len(d.Nodes) == 0 {
			return park("no-proxy", "district %s has no ready proxy; ask the directory again", owner.Zone)
		}
		slices.SortFunc(d.Nodes, func(a, b *schema.Node) int { return compare(a.Id, b.Id) })
		d.Turn = TurnForward
		return d, false
	}
	if q.Forwarded.IsNewer(owner.Trail) {
		return park("behind", "this proxy has not seen number %v yet; send again", q.Forwarded)
	}
	if zone := view.Zones[s.Self.Zone]; zone == nil || zone.Emptied {
		return park("emptied", "district %s is emptied; ask the directory again", s.Self.Zone)
	}
	needsLease := !d.IsSafe || entry.Keyed
	if needsLease {
		if owner.Fenced {
			return s.fenced(d), false
		}
		if s.Now >= s.Local.LeaseUntil {
			return park("no-grant", "this proxy holds no grant for unsafe queries now; send again")
		}
	}
	if !d.IsSafe {
		if set := view.ReplicaSets[owner.Region]; set == nil {
			return park("no-keepers", "region %s has no keepers yet; send again", owner.Region)
		} else if s.FirstSent > 0 && owner.Moved && s.FirstSent < s.Local.Opened[store.EntityKey(entry.Service, entry.Path)] {
			e := newRefusalLater("attempt-old", "the id was first sent before entry %s%s moved here, where its keepers can't know it; ask its service whether it ran, or use a new id", entry.Service, entry.Path)
			e.Status, e.Result = http.StatusConflict, ResultAmbiguous
			return refuse(e)
		} else if !s.IsReserved {
			d.Replicas, d.Turn = set, TurnReserve
			return d, false
		}
	}
	return d, true
}

func (s Situation) park(d Decision, kind, form string, args ...any) Decision {
	limit := constants.ParkMost
	if kind == "no-grant" {
		limit = constants.ParkShort
	}
	if s.Parked >= limit || s.Left <= 0 {
		d.Turn, d.Refusal = TurnRefuse, newRefusalLater(kind, form, args...)
		return d
	}
	d.Turn = TurnPark
	return d
}

func (s Situation) fenced(d Decision) Decision {
	age := time.Duration(0)
	if at, isNoted := s.Local.Fences[d.Owner.Fence]; isNoted {
		age = s.Now - at
	}
	if age < constants.ParkMost && s.Left > 0 {
		return s.park(d, "fenced", "number %d waits for the former group's grants to lapse; send again", d.Owner.Number)
	}
	left := constants.LeaseDuration + constants.LeaseClockMargin - age
	if d.Owner.Far {
		left += constants.ReservationWindow
	}
	d.Turn, d.Refusal = TurnRefuse, newRefusalLater("fenced", "number %d waits for the former group's grants and claims to lapse; send again then", d.Owner.Number)
	d.Refusal.RetryAfter = max(constants.RetryAfter, left)
	return d
}

func match(s Situation, d Decision) Decision {
	q, entry, owner, view := s.Request, d.Entry, d.Owner, s.Local.View
	park := func(kind, form string, args ...any) Decision { return s.park(d, kind, form, args...) }
	service := view.Services[entry.Service]
	if q.Key != "" {
		if ofKey, ofAll := s.Load.KeyInFlight(entry.Service, q.Key); ofKey >= 2 && ofKey*100 >= max(ofAll, 6)*constants.KeyShare {
			return park("hot-key", "one key holds too many legs in flight; send again")
		}
	}
	if entry.Keyed {
		d.Slot = Slot(q.Key)
		slot := service.Slots[d.Slot]
		if slot == nil || slot.Next != "" {
			return park("key-moving", "the key's back end is being replaced; send again")
		}
		d.SlotNo = slot.Number
		for _, backend := range service.Backends {
			if backend.Instance == slot.Instance && usable(view, backend, owner.Region) && s.Load.InFlight(backend.Instance) < int(entry.ColdRate) && !s.Tried[backend.Instance] {
				if !s.Load.MayBegin(s.Now, backend, s.part(service, owner.Region), entry.ColdRate) {
					return park("key-cold", "the key's back end is cold and takes little yet; send again")
				}
				d.Backend, d.Turn = backend, TurnAttempt
				return d
			}
		}
		return park("key-busy", "the key's back end is busy or gone; send again")
	}
	part := s.part(service, owner.Region)
	isTried := false
	choose := func(isNear bool) *schema.Backend {
		var options []*schema.Backend
		for _, backend := range service.Backends {
			if !usable(view, backend, owner.Region) || (backend.Zone == s.Self.Zone) != isNear {
				continue
			}
			if s.Tried[backend.Instance] {
				isTried = true
				continue
			}
			if s.Load.IsBad(backend.Instance) || s.Load.InFlight(backend.Instance) >= max(2, int(entry.ColdRate)/2) {
				continue
			}
			options = append(options, backend)
		}
		for len(options) > 0 {
			i := int(s.Draw(int64(len(options))))
			j := int(s.Draw(int64(len(options))))
			if s.Load.InFlight(options[j].Instance) < s.Load.InFlight(options[i].Instance) {
				i = j
			}
			if s.Load.MayBegin(s.Now, options[i], part, entry.ColdRate) {
				return options[i]
			}
			options = slices.Delete(options, i, i+1)
		}
		return nil
	}
	for _, isNear := range []bool{true, false} {
		if backend := choose(isNear); backend != nil {
			d.Backend, d.Turn = backend, TurnAttempt
			return d
		}
	}
	if isTried {
		d.Turn, d.Refusal = TurnRefuse, newRefusalLater("no-backend", "no other back end of %s is free; send again", entry.Service)
		return d
	}
	return park("no-backend", "no back end of %s in region %s is free; send again", entry.Service, owner.Region)
}

// Part is a proxy's place among those that may reach a back end, and their count.
type Part struct{ Rank, Of int }

func partOf(view *store.View, service *store.Service, self string, isIn func(region string) bool, isAble func(*schema.Node) bool) Part {
	groups := map[uint64]bool{}
	if service != nil {
		for _, rows := range service.Assignments {
			for region, row := range rows {
				if isIn(region) {
					groups[row.Number%constants.Increment] = true
				}
			}
		}
	}
	part := Part{}
	for id, node := range view.Nodes {
		if zone := view.Zones[node.Zone]; zone == nil || !groups[uint64(zone.Residue)] || !isAble(node) {
			continue
		}
		part.Of++
		if id < self {
			part.Rank++
		}
	}
	return part
}

func (s Situation) part(service *store.Service, owner string) func() Part {
	return func() Part {
		return partOf(s.Local.View, service, s.Self.Id, func(region string) bool { return region == owner },
			func(node *schema.Node) bool { return node.State == schema.NodeState_NODE_READY })
	}
}

func usable(view *store.View, backend *schema.Backend, region string) bool {
	zone := view.Zones[backend.Zone]
	return zone != nil && zone.Region == region && !zone.Emptied && backend.State == schema.BackendState_BACKEND_READY && !backend.Failing
}

// Slot is the slot of a key.
func Slot(key string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(key))
	return sum.Sum32() % constants.KeySlots
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
