package proxy

import (
	"hash/fnv"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	// hotKeyAttempts is how many attempts in flight a key may always have but one.
	hotKeyAttempts = 2
	// minHotKey is the least count of a service's attempts in flight that a key's share is taken of.
	minHotKey = 6
	// fewestFree is how many attempts in flight a back end without keys may always have from one proxy.
	fewestFree = 2
)

// chooseBackend picks the back end of a request that this proxy may send.
func (s *Situation) chooseBackend(d Decision) Decision {
	if s.isHotKey(d.Entry.Service) {
		return s.park(d, kindHotKey, "one key has too many attempts in flight; send again")
	}
	service := s.Local.View.Services[d.Entry.Service]
	if d.Entry.Keyed {
		return s.chooseOwner(d, service)
	}
	return s.chooseFree(d, service)
}

// isHotKey tells whether the request's key has more than its share of the service's attempts in flight.
func (s *Situation) isHotKey(service string) bool {
	if s.Request.Key == "" {
		return false
	}
	ofKey, ofService := s.Load.KeyInFlight(service, s.Request.Key)
	return ofKey >= hotKeyAttempts && ofKey*100 >= max(ofService, minHotKey)*constants.KeyShare
}

// chooseOwner picks the one back end that owns the key's slot.
func (s *Situation) chooseOwner(d Decision, service *store.Service) Decision {
	d.Slot = Slot(s.Request.Key)
	slot := service.Slots[d.Slot]
	if slot == nil || slot.Next != "" {
		return s.park(d, kindKeyMoving, "the key's back end is being replaced; send again")
	}
	d.SlotNumber = slot.Number
	for _, backend := range service.Backends {
		if backend.Instance != slot.Instance || !s.isFreeOwner(&d, backend) {
			continue
		}
		if !s.Load.MayBegin(s.Now, backend, s.part(&d, service), d.Entry.ColdRate) {
			return s.park(d, kindKeyCold, "the key's back end is cold and takes little yet; send again")
		}
		d.Backend = backend
		d.Action = ActionAttempt
		return d
	}
	return s.park(d, kindKeyBusy, "the key's back end is busy or gone; send again")
}

func (s *Situation) isFreeOwner(d *Decision, backend *schema.Backend) bool {
	return isUsable(s.Local.View, backend, d.Owner.Region) && s.Load.InFlight(backend.Instance) < int(d.Entry.ColdRate) &&
		!s.Tried[backend.Instance]
}

// chooseFree picks a back end of this zone, or else one of another zone of the region.
func (s *Situation) chooseFree(d Decision, service *store.Service) Decision {
	part := s.part(&d, service)
	isAnyTried := false
	for _, isNear := range []bool{true, false} {
		options, isTried := s.freeBackends(&d, service, isNear)
		isAnyTried = isAnyTried || isTried
		if backend := s.drawBackend(options, part, d.Entry.ColdRate); backend != nil {
			d.Backend = backend
			d.Action = ActionAttempt
			return d
		}
	}
	if isAnyTried {
		return d.refuse(newRefusalLater(kindNoBackEnd, "no other back end of %s is free; send again", d.Entry.Service))
	}
	return s.park(d, kindNoBackEnd, "no back end of %s in region %s is free; send again", d.Entry.Service, d.Owner.Region)
}

// freeBackends are the usable back ends in this zone, or in the others, that can take an attempt of this proxy. It also tells whether one
// was left out because it was tried before.
func (s *Situation) freeBackends(d *Decision, service *store.Service, isNear bool) (options []*schema.Backend, isTried bool) {
	mostInFlight := max(fewestFree, int(d.Entry.ColdRate)/2)
	for _, backend := range service.Backends {
		if !isUsable(s.Local.View, backend, d.Owner.Region) || (backend.Zone == s.Self.Zone) != isNear {
			continue
		}
		if s.Tried[backend.Instance] {
			isTried = true
			continue
		}
		if s.Load.IsBad(backend.Instance) || s.Load.InFlight(backend.Instance) >= mostInFlight {
			continue
		}
		options = append(options, backend)
	}
	return options, isTried
}

// drawBackend draws two back ends and takes the one with fewer attempts in flight, until one may begin an attempt.
func (s *Situation) drawBackend(options []*schema.Backend, part func() Part, coldRate uint32) *schema.Backend {
	for len(options) > 0 {
		i := int(s.Draw(int64(len(options))))
		j := int(s.Draw(int64(len(options))))
		if s.Load.InFlight(options[j].Instance) < s.Load.InFlight(options[i].Instance) {
			i = j
		}
		if s.Load.MayBegin(s.Now, options[i], part, coldRate) {
			return options[i]
		}
		options = slices.Delete(options, i, i+1)
	}
	return nil
}

func (s *Situation) part(d *Decision, service *store.Service) func() Part {
	return readyPart(s.Local.View, service, s.Self.Id, d.Owner.Region)
}

// isUsable tells whether a back end serves requests that belong to a region.
func isUsable(view *store.View, backend *schema.Backend, region string) bool {
	zone := view.Zones[backend.Zone]
	return zone != nil && zone.Region == region && !zone.Emptied && backend.State == schema.BackendState_BACKEND_READY && !backend.Failing
}

// Slot is the shard slot of a key.
func Slot(key string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(key))
	return sum.Sum32() % constants.KeySlots
}
