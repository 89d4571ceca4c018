package routes

import (
	"bytes"
	"slices"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Memory is what is remembered of a configuration that is put.
type Memory int

// The memories of a configuration.
const (
	// NeverAccepted means that it certainly was not accepted.
	NeverAccepted Memory = iota
	// Accepted means that it was accepted.
	Accepted
	// Forgotten means that it is too old to know.
	Forgotten
)

// Recall says whether exactly this configuration was accepted before.
func Recall(table *store.Table, config *schema.RouteConfig, digest []byte) Memory {
	isSame := func(known *schema.AcceptedConfig) bool {
		return known.GetVersion() == config.GetVersion() && bytes.Equal(known.GetDigest(), digest)
	}
	head := store.DecodeRow[schema.CatalogHead](table.Get(store.CatalogHeadKey))
	known := store.DecodeRow[schema.AcceptedConfig](table.Get(store.AcceptedKey(config.GetVersion())))
	if isSame(known) || slices.ContainsFunc(head.GetRecent(), isSame) {
		return Accepted
	}
	count, oldest := countAccepted(table)
	isOlder := store.AcceptedKey(config.GetVersion()) < oldest
	if count >= constants.AcceptedConfigs && isOlder && config.GetBase() != head.GetVersion() {
		return Forgotten
	}
	return NeverAccepted
}

// countAccepted counts the remembered configurations and returns the oldest one's key.
func countAccepted(table *store.Table) (count int, oldest string) {
	table.Each(store.AcceptedPrefix, func(row *schema.Row) {
		if count == 0 {
			oldest = row.Key
		}
		count++
	})
	return count, oldest
}

// remember adds the row of the accepted configuration, and removes the oldest one if there are too many.
// Configurations that an earlier version of the program remembered in the head alone get their rows.
func (p *planner) remember(head *schema.CatalogHead, accepted *schema.AcceptedConfig) {
	for _, known := range append([]*schema.AcceptedConfig{accepted}, head.GetRecent()...) {
		if key := store.AcceptedKey(known.Version); p.table.Get(key) == nil {
			p.record.Rows = append(p.record.Rows, store.EncodeRow(key, known))
		}
	}
	if count, oldest := countAccepted(p.table); count >= constants.AcceptedConfigs {
		p.record.Rows = append(p.record.Rows, store.Tombstone(oldest))
	}
}
