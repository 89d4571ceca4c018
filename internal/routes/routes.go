// Package routes checks whole configurations of routed fleets and makes the record that puts one in force.
package routes

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Check gives every fault of a configuration that would follow the newest version.
func Check(config *schema.RouteConfig, newest uint64, view *store.View) []*schema.Fault {
	var faults []*schema.Fault
	add := func(path, form string, args ...any) {
		faults = append(faults, &schema.Fault{Path: path, Message: fmt.Sprintf(form, args...)})
	}
	if config.GetVersion() <= newest {
		add("version", "%d is not above the newest, %d; raise it", config.GetVersion(), newest)
	}
	services := map[string]bool{}
	for i, service := range config.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		switch {
		case service.Service == "" || strings.Contains(service.Service, "/"):
			add(path, "%q is no service name; give one without slashes", service.Service)
		case services[service.Service]:
			add(path, "service %q is told twice; keep one", service.Service)
		}
		if service.ColdRate < 0 {
			add(path, "a cold rate of %g can't be kept; give 0 or more", service.ColdRate)
		}
		services[service.Service] = true
	}
	places := map[string]int{}
	for i, route := range config.GetRoutes() {
		at := func(field string) string { return fmt.Sprintf("routes[%d].%s", i, field) }
		if route.Host == "" || strings.ContainsAny(route.Host, "/ ") {
			add(at("host"), "%q is no host name; give the name that callers use", route.Host)
		}
		if !strings.HasPrefix(route.Prefix, "/") {
			add(at("prefix"), "%q does not start with a slash; begin with one", route.Prefix)
		}
		place := route.Host + " " + route.Prefix
		if first, isTwice := places[place]; isTwice {
			add(at("prefix"), "repeats the host and prefix of routes[%d]; keep one of the two", first)
		}
		places[place] = i
		timeout, target := time.Duration(route.TimeoutMs)*time.Millisecond, time.Duration(route.TargetMs)*time.Millisecond
		if timeout <= 0 || timeout > constants.RouteTimeoutMost {
			add(at("timeout_ms"), "%v is not above 0 and within %v; mend it", timeout, constants.RouteTimeoutMost)
		}
		if target >= timeout+constants.RouteTargetOver {
			add(at("target_ms"), "%v is %v or more above the time-out; lower it", target, constants.RouteTargetOver)
		}
		total := uint64(0)
		for j, weighted := range route.Targets {
			total += uint64(weighted.Weight)
			if known := view.Services[weighted.Service]; !services[weighted.Service] && (known == nil || len(known.Backends) == 0) {
				add(fmt.Sprintf("routes[%d].targets[%d].service", i, j), "service %q is not known; tell it under services or mend the name", weighted.Service)
			}
		}
		if total == 0 {
			add(at("targets"), "have no weight; give one service a weight above 0")
		}
	}
	return faults
}

// Plan makes the one record that replaces the newest configuration: it holds what changes, guarded against any other put.
func Plan(table *store.Table, config *schema.RouteConfig, digest []byte) *schema.Record {
	row := table.Get(store.CatalogHeadKey)
	head := store.DecodeRow[schema.CatalogHead](row)
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Reason: fmt.Sprintf("configuration %d", config.Version),
		Guards: []*schema.Guard{{Key: store.CatalogHeadKey, Index: row.GetIndex()}}}
	kept := map[string]bool{}
	put := func(key string, message proto.Message) {
		kept[key] = true
		fresh := store.EncodeRow(key, message)
		if old := table.Get(key); old == nil || string(old.Value) != string(fresh.Value) {
			record.Rows = append(record.Rows, fresh)
		}
	}
	for _, route := range config.Routes {
		put(store.RouteKey(strings.ToLower(route.Host), route.Prefix), route)
	}
	for _, service := range config.Services {
		put(store.ServicePolicyKey(service.Service), service)
	}
	limits := config.Limits
	if limits == nil {
		limits = &schema.Limits{}
	}
	put(store.LimitsKey, limits)
	drop := func(row *schema.Row) {
		if !kept[row.Key] {
			record.Rows = append(record.Rows, store.Tombstone(row.Key))
		}
	}
	table.Each("route/", drop)
	table.Each("s/", func(row *schema.Row) {
		if strings.HasSuffix(row.Key, "/policy") && strings.Count(row.Key, "/") == 2 {
			drop(row)
		}
	})
	remember(table, record, head, &schema.AcceptedConfig{Version: config.Version, Digest: digest})
	recent := append([]*schema.AcceptedConfig{{Version: config.Version, Digest: digest}}, head.GetRecent()...)
	record.Rows = append(record.Rows, store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: config.Version, Recent: recent[:min(len(recent), constants.RecentConfigs)]}),
		store.EncodeRow(store.CatalogDocumentKey, &schema.CatalogDocument{Version: config.Version, Document: config.Document}))
	return record
}

// Memory is what is remembered of a configuration that is put.
type Memory int

// What may be remembered of a configuration: it was accepted, it surely was not, or it is too old to tell.
const (
	NeverAccepted Memory = iota
	Accepted
	Forgotten
)

// Recall tells whether exactly this configuration was accepted before.
func Recall(table *store.Table, config *schema.RouteConfig, digest []byte) Memory {
	isSame := func(known *schema.AcceptedConfig) bool {
		return known.GetVersion() == config.GetVersion() && bytes.Equal(known.GetDigest(), digest)
	}
	head := store.DecodeRow[schema.CatalogHead](table.Get(store.CatalogHeadKey))
	known := store.DecodeRow[schema.AcceptedConfig](table.Get(store.AcceptedKey(config.GetVersion())))
	if isSame(known) || slices.ContainsFunc(head.GetRecent(), isSame) {
		return Accepted
	}
	count, oldest := accepted(table)
	if count >= constants.AcceptedConfigs && store.AcceptedKey(config.GetVersion()) < oldest && config.GetBase() != head.GetVersion() {
		return Forgotten
	}
	return NeverAccepted
}

// accepted counts the remembered configurations and gives the oldest one's key.
func accepted(table *store.Table) (count int, oldest string) {
	table.Each(store.AcceptedPrefix, func(row *schema.Row) {
		if count == 0 {
			oldest = row.Key
		}
		count++
	})
	return count, oldest
}

// remember adds to a record the row of the configuration that it puts in force, and takes the oldest one out when there are too many.
// Those that a program which kept no rows has accepted are taken over.
func remember(table *store.Table, record *schema.Record, head *schema.CatalogHead, config *schema.AcceptedConfig) {
	for _, known := range append([]*schema.AcceptedConfig{config}, head.GetRecent()...) {
		if key := store.AcceptedKey(known.Version); table.Get(key) == nil {
			record.Rows = append(record.Rows, store.EncodeRow(key, known))
		}
	}
	if count, oldest := accepted(table); count >= constants.AcceptedConfigs {
		record.Rows = append(record.Rows, store.Tombstone(oldest))
	}
}
