package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"sync"

	"topazshed/internal/constants"
	"topazshed/internal/faultlist"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// maxColdRate is the highest cold rate that an entry may have, in requests a second.
const maxColdRate = 1000

// The forms of names. They are compiled when first needed, since most nodes never check a configuration.
var (
	serviceForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z][a-z0-9-]{0,40}$`) })
	pathForm    = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,120}$`) })
)

// knownMethods are the methods that an entry may have.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// Read checks a document against what the system knows, and returns its entries or every fault.
func Read(text []byte, view *store.View) ([]*schema.Entry, []*schema.Fault) {
	if len(text) > constants.DocumentLimit {
		return nil, faultlist.Of("", "the document has %d bytes; keep it within %d", len(text), constants.DocumentLimit)
	}
	if faults := checkShape(text); len(faults) > 0 {
		return nil, faults
	}
	var document Document
	if err := document.UnmarshalJSON(text); err != nil {
		return nil, faultlist.Of("", "%v; mend the value", err)
	}
	c := &checker{view: view, indexes: map[string]int{}}
	if len(document.Entries) == 0 {
		c.faults.Add("entries", "is empty; a configuration needs an entry, and to stop traffic empty the zones")
	}
	if len(document.Entries) > constants.EntriesLimit {
		c.faults.Add("entries", "has %d entries; keep it within %d", len(document.Entries), constants.EntriesLimit)
		return nil, c.faults
	}
	var entries []*schema.Entry
	for i, given := range document.Entries {
		c.checkEntry(i, given)
		entries = append(entries, given.encode())
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return entries, nil
}

// encode returns the entry as it is replicated, with the defaults filled in.
func (e Entry) encode() *schema.Entry {
	return &schema.Entry{
		Service:       e.Service,
		Path:          e.Path,
		Methods:       e.Methods,
		SafeMethods:   e.RepeatSafe,
		HomeRegions:   e.HomeRegions,
		Keyed:         e.Keyed,
		BodyLimit:     cmp.Or(e.BodyLimit, constants.BodyLimit),
		ResponseLimit: cmp.Or(e.ResponseLimit, constants.ResponseLimit),
		ColdRate:      cmp.Or(e.ColdRate, constants.ColdRate),
	}
}

// checker collects the faults of a document's entries.
type checker struct {
	view   *store.View
	faults faultlist.List
	// indexes holds the index of the latest entry of each service and path.
	indexes map[string]int
}

// entryPath names a field of an entry, for faults.
func entryPath(index int, field string) string {
	return fmt.Sprintf("entries[%d].%s", index, field)
}

// itemPath names an item of a list in an entry, for faults.
func itemPath(index int, field string, item int) string {
	return fmt.Sprintf("entries[%d].%s[%d]", index, field, item)
}

func (c *checker) checkEntry(index int, entry Entry) {
	c.checkName(index, entry)
	c.checkMethods(index, entry)
	c.checkHomeRegions(index, entry)
	c.checkLimit(entryPath(index, "body_limit"), entry.BodyLimit, constants.MaxBodyLimit)
	c.checkLimit(entryPath(index, "outcome_limit"), entry.ResponseLimit, constants.MaxBodyLimit)
	c.checkLimit(entryPath(index, "bearable"), uint64(entry.ColdRate), maxColdRate)
}

func (c *checker) checkLimit(path string, value, limit uint64) {
	if value > limit {
		c.faults.Add(path, "%d is too much; keep it within %d", value, limit)
	}
}

// checkName checks the service and the path, which name the entry.
func (c *checker) checkName(index int, entry Entry) {
	service := c.view.Services[entry.Service]
	if !serviceForm().MatchString(entry.Service) {
		const form = "%q is no service name; use up to 41 small letters, digits and hyphens, a letter first"
		c.faults.Add(entryPath(index, "service"), form, entry.Service)
	} else if service == nil || len(service.Backends) == 0 {
		const form = "service %q has no back end in the platform's list; start one first or mend the name"
		c.faults.Add(entryPath(index, "service"), form, entry.Service)
	}
	path := entryPath(index, "path")
	if !pathForm().MatchString(entry.Path) || strings.Contains(entry.Path, "//") || strings.Contains(entry.Path, "/.") {
		const form = "%q is no path; begin with / and use letters, digits and . _ ~ - /, no part empty or starting with a dot"
		c.faults.Add(path, form, entry.Path)
	}
	name := entry.Service + entry.Path
	if first, isRepeated := c.indexes[name]; isRepeated {
		c.faults.Add(path, "repeats entries[%d]; keep one of the two", first)
	}
	c.indexes[name] = index
}

func (c *checker) checkMethods(index int, entry Entry) {
	if len(entry.Methods) == 0 {
		c.faults.Add(entryPath(index, "methods"), "is empty; name the methods that callers may use")
	}
	for i, method := range entry.Methods {
		if !slices.Contains(knownMethods, method) {
			c.faults.Add(itemPath(index, "methods", i), "%q is unknown; use one of %s", method, strings.Join(knownMethods, ", "))
		} else if slices.Index(entry.Methods, method) != i {
			c.faults.Add(itemPath(index, "methods", i), "%q is named twice; keep one", method)
		}
	}
	for i, method := range entry.RepeatSafe {
		if !slices.Contains(entry.Methods, method) {
			c.faults.Add(itemPath(index, "repeat_safe", i), "%q is not among the methods; add it there or take it out", method)
		}
	}
}

// checkHomeRegions checks that the home regions are known and that the service has a back end in one of them.
func (c *checker) checkHomeRegions(index int, entry Entry) {
	canBeMet := len(entry.HomeRegions) == 0
	for i, region := range entry.HomeRegions {
		path := itemPath(index, "home_regions", i)
		if c.view.Regions[region] == nil {
			regions := slices.Sorted(maps.Keys(c.view.Regions))
			c.faults.Add(path, "region %q is not known; name one of %s", region, strings.Join(regions, ", "))
			canBeMet = true
		} else if slices.Index(entry.HomeRegions, region) != i {
			c.faults.Add(path, "%q is named twice; keep one", region)
		}
		canBeMet = canBeMet || c.hasBackend(entry.Service, region)
	}
	if !canBeMet {
		const form = "can't be met: service %q has no back end in them; add a region that has one"
		c.faults.Add(entryPath(index, "home_regions"), form, entry.Service)
	}
}

// hasBackend reports whether a service has a back end in a region. It is true for an unknown service, which is a fault
// of its own.
func (c *checker) hasBackend(service, region string) bool {
	known := c.view.Services[service]
	if known == nil {
		return true
	}
	return slices.ContainsFunc(known.Backends, func(backend *schema.Backend) bool {
		zone := c.view.Zones[backend.Zone]
		return zone != nil && zone.Region == region
	})
}
