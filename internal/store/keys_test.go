package store

import "testing"

// Keys are on disks and on the wire: a node of another version must find the same rows.
func TestKeysKeepTheirSpelling(t *testing.T) {
	for _, c := range []struct{ name, key, want string }{
		{"accepted configuration", AcceptedKey(7), "accepted/00000000000000000007"},
		{"assignment of an entry", AssignmentKey("ledger", "/a/b", "north"), "s/ledger/standing/north//a/b"},
		{"assignment of a region", DefaultAssignmentKey("north"), "standing/north"},
		{"back end", BackendKey("ledger", "i1"), "s/ledger/backend/i1"},
		{"catalog document", CatalogDocumentKey, "catalog/document"},
		{"catalog head", CatalogHeadKey, "catalog/head"},
		{"entity", EntityKey("ledger", "/a"), "s/ledger/entity//a"},
		{"entry", EntryKey("ledger", "/a"), "s/ledger/entry//a"},
		{"fleet version", FleetVersionKey, "catalog/head/version"},
		{"group", GroupKey("g"), "group/g"},
		{"limits", LimitsKey, "limits"},
		{"node", NodeKey("n"), "node/n"},
		{"region", RegionKey("north"), "region/north"},
		{"replica set", ReplicaSetKey("north"), "keepers/north"},
		{"route", RouteKey("host.example", "/a/"), "route/host.example/a/"},
		{"service policy", ServicePolicyKey("ledger"), "s/ledger/policy"},
		{"shard range", ShardRangeKey("ledger", 42), "s/ledger/span/00042"},
		{"shard slot", ShardSlotKey("ledger", 3), "s/ledger/slot/003"},
		{"system", SystemKey, "system"},
		{"zone", ZoneKey("z"), "district/z"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.key != c.want {
				t.Errorf("%q, want %q", c.key, c.want)
			}
		})
	}
}
