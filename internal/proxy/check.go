package proxy

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Check tells whether this proxy may begin an attempt of the request now, or else what is to be done.
func Check(s Situation) (d Decision, mayAttempt bool) {
	entry, early := Entry(s.Now, s.Local, s.Request.Service, s.Request.Path, s.Parked)
	if early != nil {
		return *early, false
	}
	d = Decision{Entry: entry, IsSafe: slices.Contains(entry.SafeMethods, s.Request.Method), Version: uint64(s.Local.View.Version)}
	mayAttempt = s.isProper(&d) && s.findsOwner(&d) && s.isOwner(&d) && s.isCurrent(&d) && s.hasLease(&d) && s.hasReservation(&d)
	return d, mayAttempt
}

// isProper tells whether the request fits its entry and has time left; otherwise the decision is set.
func (s *Situation) isProper(d *Decision) bool {
	entry := d.Entry
	switch {
	case !slices.Contains(entry.Methods, s.Request.Method):
		*d = d.refuse(newRefusal(http.StatusMethodNotAllowed, kindBadMethod,
			"entry %s%s allows %v; use one of them or change the configuration", entry.Service, entry.Path, entry.Methods))
	case entry.Keyed && s.Request.Key == "":
		*d = d.refuse(newRefusal(http.StatusBadRequest, kindNoKey, "entry %s%s is divided by key; send %s", entry.Service, entry.Path, HeaderKey))
	case s.Left <= 0:
		*d = d.refuse(newRefusalLater(kindLate, "the wait is over"))
	default:
		return true
	}
	return false
}

// findsOwner resolves the request's origin to the zone that owns it; otherwise the decision is set.
func (s *Situation) findsOwner(d *Decision) bool {
	owner, err := failover.Resolve(s.Local.View, d.Entry, s.Request.Origin)
	if err == nil {
		d.Owner = owner
		return true
	}
	var originErr *failover.OriginError
	if errors.As(err, &originErr) {
		*d = d.refuse(newRefusal(http.StatusBadRequest, kindBadOrigin, "%v", err))
		return false
	}
	*d = s.park(*d, kindNoAssignment, "%v", err)
	return false
}

// isOwner tells whether this proxy's zone owns the request; otherwise the decision is to forward it, unless that was done before.
func (s *Situation) isOwner(d *Decision) bool {
	owner := d.Owner
	if owner.Zone == s.Self.Zone {
		return true
	}
	if len(s.Request.Forwarded) > 0 {
		*d = s.park(*d, kindMoved, "number %d makes zone %s the owner; ask the directory again", owner.Number, owner.Zone)
		return false
	}
	d.Nodes = ReadyNodes(s.Local.View, owner.Zone)
	if len(d.Nodes) == 0 {
		*d = s.park(*d, kindNoProxy, "zone %s has no ready proxy; ask the directory again", owner.Zone)
		return false
	}
	d.Action = ActionForward
	return false
}

// ReadyNodes are the ready nodes of a zone in the order of their ids.
func ReadyNodes(view *store.View, zone string) []*schema.Node {
	var nodes []*schema.Node
	for _, node := range view.Nodes {
		if node.Zone == zone && node.State == schema.NodeState_NODE_READY {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b *schema.Node) int { return strings.Compare(a.Id, b.Id) })
	return nodes
}

// isCurrent tells whether this proxy knows the failover numbers by which the request came here, and its zone serves; otherwise the decision
// is set.
func (s *Situation) isCurrent(d *Decision) bool {
	if s.Request.Forwarded.IsNewer(d.Owner.Trail) {
		*d = s.park(*d, kindBehind, "this proxy has not seen number %v yet; send again", s.Request.Forwarded)
		return false
	}
	if zone := s.Local.View.Zones[s.Self.Zone]; zone == nil || zone.Emptied {
		*d = s.park(*d, kindZoneEmptied, "zone %s is emptied; ask the directory again", s.Self.Zone)
		return false
	}
	return true
}

// hasLease tells whether the former owner's leases have lapsed and this proxy has one, if the request needs that; otherwise the decision is
// set.
func (s *Situation) hasLease(d *Decision) bool {
	if d.IsSafe && !d.Entry.Keyed {
		return true
	}
	if d.Owner.Fenced {
		*d = s.waitForFence(*d)
		return false
	}
	if s.Now >= s.Local.LeaseUntil {
		*d = s.park(*d, kindNoLease, "this proxy has no lease for unsafe requests now; send again")
		return false
	}
	return true
}

// waitForFence parks a request while the former owner may still have leases, and refuses it once that takes longer.
func (s *Situation) waitForFence(d Decision) Decision {
	age := time.Duration(0)
	if at, isKnown := s.Local.Fences[d.Owner.Fence]; isKnown {
		age = s.Now - at
	}
	if age < constants.MaxPark && s.Left > 0 {
		return s.park(d, kindFenced, "number %d waits for the former group's leases to lapse; send again", d.Owner.Number)
	}
	left := constants.LeaseDuration + constants.LeaseClockMargin - age
	if d.Owner.Far {
		left += constants.ReservationWindow
	}
	refusal := newRefusalLater(kindFenced,
		"number %d waits for the former group's leases and reservations to lapse; send again then", d.Owner.Number)
	refusal.RetryAfter = max(constants.RetryAfter, left)
	return d.refuse(refusal)
}

// hasReservation tells whether the attempt id is reserved, if the request needs that; otherwise the decision is set.
func (s *Situation) hasReservation(d *Decision) bool {
	if d.IsSafe {
		return true
	}
	set := s.Local.View.ReplicaSets[d.Owner.Region]
	switch {
	case set == nil:
		*d = s.park(*d, kindNoReplicas, "region %s has no replicas for reservations yet; send again", d.Owner.Region)
	case s.isOlderThanMove(d):
		*d = d.refuse(attemptTooOld(d.Entry))
	case !s.IsReserved:
		d.Replicas = set
		d.Action = ActionReserve
	default:
		return true
	}
	return false
}

// isOlderThanMove tells that the id was first sent before the entry moved to this region, whose replicas can't know it.
func (s *Situation) isOlderThanMove(d *Decision) bool {
	return s.FirstSent > 0 && d.Owner.Moved && s.FirstSent < s.Local.Opened[store.EntityKey(d.Entry.Service, d.Entry.Path)]
}

func attemptTooOld(entry *schema.Entry) *RefusalError {
	refusal := newRefusalLater(kindAttemptOld, "the id was first sent before entry %s%s moved here, where its replicas can't know it; "+
		"ask its service whether it ran, or use a new id", entry.Service, entry.Path)
	refusal.Status = http.StatusConflict
	refusal.Result = ResultAmbiguous
	return refusal
}
