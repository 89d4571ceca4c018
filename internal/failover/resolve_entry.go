package failover

import (
	"fmt"
	"slices"

	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// maxRegions is how many regions' rows are followed: the origin's and, in one hop, another's. Two regions that point
// at each other so end a search.
const maxRegions = 2

// Owner is what an origin resolves to in a fleet of entries: the group of proxies of one zone.
type Owner struct {
	Region string
	Zone   string
	Number Number
	Trail  Trail
	// Fenced is true while unsafe requests must wait, since the former group may still have leases.
	Fenced bool
	// Fence is the key of the fenced row; the last one if there are several.
	Fence string
	// Far is true if a fenced row moved work from one region to another, so that reservations in the former one must
	// lapse as well.
	Far bool
	// Moved is true if the entity has ever moved from one region to another.
	Moved bool
}

// ResolveError says that an origin resolves to no group, so that no proxy may serve it.
type ResolveError struct{ Reason string }

func (e *ResolveError) Error() string {
	return e.Reason + "; ask the directory again after the time in Retry-After"
}

func resolveErrorf(format string, arguments ...any) *ResolveError {
	return &ResolveError{fmt.Sprintf(format, arguments...)}
}

// IsEntity reports whether an entry is bound to one region at a time: it is keyed, or has methods that must not be repeated.
func IsEntity(entry *schema.Entry) bool {
	isUnsafe := func(method string) bool { return !slices.Contains(entry.SafeMethods, method) }
	return entry.Keyed || slices.ContainsFunc(entry.Methods, isUnsafe)
}

// Resolve follows an origin to the one active group: the entity's row if the entry is an entity, then the region map,
// with one hop between regions at most. Its error is an *OriginError or a *ResolveError.
func Resolve(view *store.View, entry *schema.Entry, origin Origin) (Owner, error) {
	service := view.Services[entry.Service]
	if service == nil {
		return Owner{}, resolveErrorf("service %s is not known here", entry.Service)
	}
	var owner Owner
	region := origin.Region
	if IsEntity(entry) {
		if origin.Service != entry.Service || origin.Path != entry.Path {
			return Owner{}, &OriginError{origin.String()}
		}
		entity := service.Entities[entry.Path]
		if entity == nil {
			return Owner{}, resolveErrorf("entry %s%s has no entity row yet", entry.Service, entry.Path)
		}
		region = owner.followEntity(view, entry, entity)
	} else if region == "" {
		return Owner{}, &OriginError{origin.String()}
	}
	if err := owner.followRegions(view, service, entry, region); err != nil {
		return Owner{}, err
	}
	return owner, nil
}

// followEntity notes an entity's row and returns the region that it names.
func (o *Owner) followEntity(view *store.View, entry *schema.Entry, entity *schema.Entity) string {
	o.Moved = entity.Far
	if entity.Fenced {
		o.addFence(store.EntityKey(entry.Service, entry.Path), true)
	}
	number := Number(entity.Number)
	o.Trail = append(o.Trail, number)
	return regionOf(view, number, entryIncrement)
}

// followRegions follows the region map from a region to the active group.
func (o *Owner) followRegions(view *store.View, service *store.Service, entry *schema.Entry, region string) error {
	for range maxRegions {
		if len(entry.HomeRegions) > 0 && !slices.Contains(entry.HomeRegions, region) {
			return resolveErrorf("region %q is no home region of entry %s%s", region, entry.Service, entry.Path)
		}
		assignment := service.Assignments[entry.Path][region]
		if assignment == nil {
			return resolveErrorf("entry %s%s has no failover assignment in region %q", entry.Service, entry.Path, region)
		}
		if assignment.Fenced {
			o.addFence(store.AssignmentKey(entry.Service, entry.Path, region), assignment.Far)
		}
		number := Number(assignment.Number)
		o.Trail = append(o.Trail, number)
		if zone := zoneOf(view, number); zone != nil {
			if zone.Region != region {
				return resolveErrorf("number %d names zone %s outside region %s", number, zone.Name, region)
			}
			o.Region, o.Zone, o.Number = region, zone.Name, number
			return nil
		}
		region = regionOf(view, number, entryIncrement)
	}
	return resolveErrorf("entry %s%s has no active group", entry.Service, entry.Path)
}

func (o *Owner) addFence(rowKey string, isFar bool) {
	o.Fenced = true
	o.Far = o.Far || isFar
	o.Fence = rowKey
}
