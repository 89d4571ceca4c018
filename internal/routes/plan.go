package routes

import (
	"bytes"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Plan returns the one record that replaces the newest configuration, guarded against any other put. It holds only what changes.
func Plan(table *store.Table, config *schema.RouteConfig, digest []byte) *schema.Record {
	headRow := table.Get(store.CatalogHeadKey)
	head := store.DecodeRow[schema.CatalogHead](headRow)
	p := &planner{table: table, isKept: map[string]bool{}, record: &schema.Record{
		Kind:   schema.RecordKind_RECORD_ROWS,
		Reason: fmt.Sprintf("configuration %d", config.Version),
		Guards: []*schema.Guard{{Key: store.CatalogHeadKey, Index: headRow.GetIndex()}},
	}}
	p.putRows(config)
	p.removeOthers()
	accepted := &schema.AcceptedConfig{Version: config.Version, Digest: digest}
	p.remember(head, accepted)
	p.putHead(head, accepted, config.Document)
	return p.record
}

// planner collects the rows of the record of one configuration.
type planner struct {
	table  *store.Table
	record *schema.Record
	// isKept holds the keys of the rows that the configuration has.
	isKept map[string]bool
}

// putRows writes the rows of routes, policies and limits that differ from the present ones.
func (p *planner) putRows(config *schema.RouteConfig) {
	for _, route := range config.Routes {
		p.putIfChanged(store.RouteKey(strings.ToLower(route.Host), route.Prefix), route)
	}
	for _, service := range config.Services {
		p.putIfChanged(store.ServicePolicyKey(service.Service), service)
	}
	limits := config.Limits
	if limits == nil {
		limits = &schema.Limits{}
	}
	p.putIfChanged(store.LimitsKey, limits)
}

func (p *planner) putIfChanged(key string, message proto.Message) {
	p.isKept[key] = true
	fresh := store.EncodeRow(key, message)
	if old := p.table.Get(key); old == nil || !bytes.Equal(old.Value, fresh.Value) {
		p.record.Rows = append(p.record.Rows, fresh)
	}
}

// removeOthers removes the routes and policies that the configuration does not have. Back ends and shard ranges stay.
func (p *planner) removeOthers() {
	remove := func(row *schema.Row) {
		if !p.isKept[row.Key] {
			p.record.Rows = append(p.record.Rows, store.Tombstone(row.Key))
		}
	}
	p.table.Each("route/", remove)
	p.table.Each("s/", func(row *schema.Row) {
		if strings.HasSuffix(row.Key, "/policy") && strings.Count(row.Key, "/") == 2 {
			remove(row)
		}
	})
}

// putHead writes the head, which every node has with the latest accepted configurations, and the document.
func (p *planner) putHead(former *schema.CatalogHead, accepted *schema.AcceptedConfig, document []byte) {
	recent := append([]*schema.AcceptedConfig{accepted}, former.GetRecent()...)
	recent = recent[:min(len(recent), constants.RecentConfigs)]
	p.record.Rows = append(p.record.Rows,
		store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: accepted.Version, Recent: recent}),
		store.EncodeRow(store.CatalogDocumentKey, &schema.CatalogDocument{Version: accepted.Version, Document: document}))
}
