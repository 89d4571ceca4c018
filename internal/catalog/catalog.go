// Package catalog reads and checks whole configurations.
package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

var (
	compileServiceForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z][a-z0-9-]{0,40}$`) })
	compilePathForm    = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,120}$`) })
	methods            = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	fields             = map[string]string{"service": "string", "path": "string", "methods": "list", "repeat_safe": "list", "home_regions": "list",
		"keyed": "bool", "body_limit": "number", "outcome_limit": "number", "bearable": "number"}
)

// Read checks a document against what the system knows and gives its entries or every fault.
func Read(text []byte, view *store.View) ([]*schema.Entry, []*schema.Fault) {
	var faults []*schema.Fault
	add := func(path, form string, args ...any) {
		faults = append(faults, &schema.Fault{Path: path, Message: fmt.Sprintf(form, args...)})
	}
	if len(text) > constants.DocumentLimit {
		add("", "the document has %d bytes; keep it within %d", len(text), constants.DocumentLimit)
		return nil, faults
	}
	if faults = shape(text); len(faults) > 0 {
		return nil, faults
	}
	document := &Document{}
	if err := document.UnmarshalJSON(text); err != nil {
		add("", "%v; mend the value", err)
		return nil, faults
	}
	if len(document.Entries) == 0 {
		add("entries", "is empty; a configuration needs an entry, and to stop traffic empty the districts")
	}
	if len(document.Entries) > constants.EntriesLimit {
		add("entries", "has %d entries; keep it within %d", len(document.Entries), constants.EntriesLimit)
		return nil, faults
	}
	seen := map[string]int{}
	var entries []*schema.Entry
	for i, given := range document.Entries {
		at := func(field string) string { return fmt.Sprintf("entries[%d].%s", i, field) }
		if !compileServiceForm().MatchString(given.Service) {
			add(at("service"), "%q is no service name; use up to 41 small letters, digits and hyphens, a letter first", given.Service)
		} else if service := view.Services[given.Service]; service == nil || len(service.Backends) == 0 {
			add(at("service"), "service %q has no back end in the platform's list; start one first or mend the name", given.Service)
		}
		if !compilePathForm().MatchString(given.Path) || strings.Contains(given.Path, "//") || strings.Contains(given.Path, "/.") {
			add(at("path"), "%q is no path; begin with / and use letters, digits and . _ ~ - /, no part empty or starting with a dot", given.Path)
		}
		name := given.Service + given.Path
		if first, isTwice := seen[name]; isTwice {
			add(at("path"), "repeats entries[%d]; keep one of the two", first)
		}
		seen[name] = i
		if len(given.Methods) == 0 {
			add(at("methods"), "is empty; name the methods that callers may use")
		}
		for j, method := range given.Methods {
			if !slices.Contains(methods, method) {
				add(fmt.Sprintf("entries[%d].methods[%d]", i, j), "%q is unknown; use one of %s", method, strings.Join(methods, ", "))
			} else if slices.Index(given.Methods, method) != j {
				add(fmt.Sprintf("entries[%d].methods[%d]", i, j), "%q is named twice; keep one", method)
			}
		}
		for j, method := range given.RepeatSafe {
			if !slices.Contains(given.Methods, method) {
				add(fmt.Sprintf("entries[%d].repeat_safe[%d]", i, j), "%q is not among the methods; add it there or take it out", method)
			}
		}
		isMet := len(given.HomeRegions) == 0
		for j, region := range given.HomeRegions {
			path := fmt.Sprintf("entries[%d].home_regions[%d]", i, j)
			if view.Regions[region] == nil {
				add(path, "region %q is not known; name one of %s", region, strings.Join(regions(view), ", "))
				isMet = true
			} else if slices.Index(given.HomeRegions, region) != j {
				add(path, "%q is named twice; keep one", region)
			}
			isMet = isMet || hasBackend(view, given.Service, region)
		}
		if !isMet {
			add(at("home_regions"), "can't be met: service %q has no back end in them; add a region that has one", given.Service)
		}
		if given.BodyLimit > constants.BodyLimitMost {
			add(at("body_limit"), "%d is too much; keep it within %d", given.BodyLimit, constants.BodyLimitMost)
		}
		if given.ResponseLimit > constants.BodyLimitMost {
			add(at("outcome_limit"), "%d is too much; keep it within %d", given.ResponseLimit, constants.BodyLimitMost)
		}
		if given.ColdRate > 1000 {
			add(at("bearable"), "%d is too much; keep it within 1000", given.ColdRate)
		}
		entries = append(entries, &schema.Entry{Service: given.Service, Path: given.Path, Methods: given.Methods, SafeMethods: given.RepeatSafe,
			HomeRegions: given.HomeRegions, Keyed: given.Keyed, BodyLimit: or(given.BodyLimit, constants.BodyLimit),
			ResponseLimit: or(given.ResponseLimit, constants.ResponseLimit), ColdRate: uint32(or(uint64(given.ColdRate), constants.ColdRate))})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return entries, nil
}

func or(value, otherwise uint64) uint64 {
	if value == 0 {
		return otherwise
	}
	return value
}

func regions(view *store.View) []string {
	var names []string
	for name := range view.Regions {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func hasBackend(view *store.View, service, region string) bool {
	known := view.Services[service]
	if known == nil {
		return true
	}
	return slices.ContainsFunc(known.Backends, func(b *schema.Backend) bool {
		zone := view.Zones[b.Zone]
		return zone != nil && zone.Region == region
	})
}

func shape(text []byte) []*schema.Fault {
	var faults []*schema.Fault
	add := func(path, form string, args ...any) {
		faults = append(faults, &schema.Fault{Path: path, Message: fmt.Sprintf(form, args...)})
	}
	var whole map[string]any
	reader := json.NewDecoder(bytes.NewReader(text))
	if err := reader.Decode(&whole); err != nil {
		add("", "is no JSON object (%v); mend it at byte %d", err, reader.InputOffset())
		return faults
	}
	if reader.More() {
		add("", "has text behind the object; send one object only")
	}
	for _, name := range sorted(whole) {
		if name != "entries" {
			add(name, "is unknown; a configuration has only \"entries\"")
		}
	}
	list, isList := whole["entries"].([]any)
	if !isList {
		add("entries", "is missing or no list; give the list of entries")
		return faults
	}
	for i, it := range list {
		object, isObject := it.(map[string]any)
		if !isObject {
			add(fmt.Sprintf("entries[%d]", i), "is no object; give service, path, methods and repeat_safe")
			continue
		}
		for _, name := range sorted(object) {
			path := fmt.Sprintf("entries[%d].%s", i, name)
			kind, isKnown := fields[name]
			if !isKnown {
				add(path, "is unknown; take it out or mend its name")
				continue
			}
			isFit := false
			switch value := object[name].(type) {
			case string:
				isFit = kind == "string"
			case bool:
				isFit = kind == "bool"
			case float64:
				isFit = kind == "number" && value >= 0 && value == float64(uint64(value))
			case []any:
				isFit = kind == "list" && !slices.ContainsFunc(value, func(v any) bool { _, isText := v.(string); return !isText })
			}
			if !isFit {
				add(path, "is of the wrong kind; give a %s", kind)
			}
		}
	}
	return faults
}

func sorted(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ConflictError says that another configuration was accepted first.
type ConflictError struct{ Newest uint64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the newest configuration is version %d; read it, merge, and put again with that base", e.Newest)
}

// Plan makes the one record that replaces the whole configuration, guarded against any other put.
func Plan(table *store.Table, entries []*schema.Entry, document []byte, base uint64, key string) (*schema.Record, uint64, error) {
	row := table.Get(store.HeadKey)
	head := store.DecodeRow[schema.CatalogHead](row)
	if base != head.GetVersion() {
		return nil, 0, &ConflictError{head.GetVersion()}
	}
	version := base + 1
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: fmt.Sprintf("configuration %d", version)}
	guard := &schema.Guard{Key: store.HeadKey}
	if row != nil {
		guard.Index = row.Index
	}
	record.Guards = append(record.Guards, guard)
	kept := map[string]bool{}
	for _, entry := range entries {
		entry.Version = version
		key := store.EntryKey(entry.Service, entry.Path)
		kept[key] = true
		record.Rows = append(record.Rows, store.EncodeRow(key, entry))
	}
	table.Each("s/", func(row *schema.Row) {
		if strings.Contains(row.Key, "/entry/") && !kept[row.Key] {
			record.Rows = append(record.Rows, store.Tombstone(row.Key))
		}
	})
	record.Rows = append(record.Rows, store.EncodeRow(store.HeadKey, &schema.CatalogHead{Version: version, OperatorKey: key}),
		store.EncodeRow(store.DocumentKey, &schema.CatalogDocument{Version: version, Document: document}))
	return record, version, nil
}

// Assignments makes the first failover assignment rows of entries, so that a configuration and its failover assignment take effect together.
func Assignments(view *store.View, table *store.Table, record *schema.Record) {
	scratch := store.NewTable()
	scratch.Restore(table.Whole())
	changed, err := scratch.Apply(table.Version()+1, record, nil)
	if err != nil {
		return
	}
	for _, extra := range failover.PlanEntries(view.With(scratch, changed), scratch, func(uint64) (bool, uint64) { return false, 0 }) {
		for i, guard := range extra.Guards {
			if row := table.Get(guard.Key); row == nil && guard.Index == 0 {
				record.Guards = append(record.Guards, extra.Guards[i])
				for _, fresh := range extra.Rows {
					if fresh.Key == guard.Key {
						record.Rows = append(record.Rows, fresh)
					}
				}
			}
		}
	}
}
