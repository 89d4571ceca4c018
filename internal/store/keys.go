package store

import "fmt"

// The kinds of rows: the first part of a key. They are on every node's disk and on the wire, and never change.
//
//	key                               message                     made by
//	accepted/NUMBER                   schema.AcceptedConfig       AcceptedKey
//	catalog/document                  schema.CatalogDocument      CatalogDocumentKey
//	catalog/head                      schema.CatalogHead          CatalogHeadKey
//	catalog/head/version              schema.FleetVersion         FleetVersionKey
//	district/ZONE                     schema.Zone                 ZoneKey
//	group/GROUP                       schema.Group                GroupKey
//	keepers/REGION                    schema.ReplicaSet           ReplicaSetKey
//	limits                            schema.Limits               LimitsKey
//	node/ID                           schema.Node                 NodeKey
//	region/REGION                     schema.Region               RegionKey
//	route/HOST/PREFIX                 schema.Route                RouteKey
//	s/SERVICE/backend/INSTANCE        schema.Backend              BackendKey
//	s/SERVICE/entity/PATH             schema.Entity               EntityKey
//	s/SERVICE/entry/PATH              schema.Entry                EntryKey
//	s/SERVICE/policy                  schema.ServicePolicy        ServicePolicyKey
//	s/SERVICE/slot/NUMBER             schema.ShardSlot            ShardSlotKey
//	s/SERVICE/span/FIRST              schema.ShardRange           ShardRangeKey
//	s/SERVICE/standing/REGION/PATH    schema.FailoverAssignment   AssignmentKey
//	standing/REGION                   schema.FailoverAssignment   DefaultAssignmentKey
//	system                            (the system's id)           SystemKey
const (
	kindAccepted          = "accepted"
	kindCatalog           = "catalog"
	kindDefaultAssignment = "standing"
	kindGroup             = "group"
	kindLimits            = "limits"
	kindNode              = "node"
	kindRegion            = "region"
	kindReplicaSet        = "keepers"
	kindRoute             = "route"
	kindService           = "s"
	kindSystem            = "system"
	kindZone              = "district"
)

// The kinds of rows of one service: the part of a key after its ServicePrefix.
const (
	kindAssignment    = "standing"
	kindBackend       = "backend"
	kindEntity        = "entity"
	kindEntry         = "entry"
	kindServicePolicy = "policy"
	kindShardRange    = "span"
	kindShardSlot     = "slot"
)

// Rows of which there is one.
const (
	// CatalogHeadKey is the row of the accepted configuration's version.
	CatalogHeadKey = kindCatalog + "/head"
	// CatalogDocumentKey is the row of the accepted configuration's text.
	CatalogDocumentKey = kindCatalog + "/document"
	// FleetVersionKey is the row of the protocol version that the fleet uses. It lies below CatalogHeadKey, which
	// every node subscribes to and where version 1 passes over it.
	FleetVersionKey = CatalogHeadKey + "/version"
	// SystemKey is the row of the system's id.
	SystemKey = kindSystem
	// LimitsKey is the row of the limits that hold for all routes.
	LimitsKey = kindLimits
)

// AcceptedPrefix is the prefix of the accepted configurations, the oldest first. Only members of the log subscribe to it.
const AcceptedPrefix = kindAccepted + "/"

// CommonPrefixes are what every node of a fleet of entries subscribes to.
var CommonPrefixes = []string{
	CatalogHeadKey, kindZone + "/", kindReplicaSet + "/", kindNode + "/", kindRegion + "/", SystemKey,
}

// RoutedPrefixes are what every node of a fleet of routes subscribes to.
var RoutedPrefixes = []string{
	CatalogHeadKey, kindZone + "/", kindGroup + "/", LimitsKey, kindNode + "/", kindRegion + "/", kindRoute + "/", kindService + "/",
	kindDefaultAssignment + "/", SystemKey,
}

// AllPrefixes match every row.
var AllPrefixes = []string{""}

// ServicePrefix returns the prefix of all rows of a service.
func ServicePrefix(service string) string { return kindService + "/" + service + "/" }

// NodeKey returns the key of a node's row.
func NodeKey(id string) string { return kindNode + "/" + id }

// RegionKey returns the key of a region's row.
func RegionKey(region string) string { return kindRegion + "/" + region }

// ZoneKey returns the key of a zone's row.
func ZoneKey(zone string) string { return kindZone + "/" + zone }

// GroupKey returns the key of a proxy group's row.
func GroupKey(group string) string { return kindGroup + "/" + group }

// ReplicaSetKey returns the key of the row that names a region's replicas of reservations.
func ReplicaSetKey(region string) string { return kindReplicaSet + "/" + region }

// RouteKey returns the key of a route's row; a prefix begins with a slash.
func RouteKey(host, prefix string) string { return kindRoute + "/" + host + prefix }

// DefaultAssignmentKey returns the key of the failover assignment that holds for a region unless an entry has its own.
func DefaultAssignmentKey(region string) string { return kindDefaultAssignment + "/" + region }

// AssignmentKey returns the key of an entry's failover assignment in a region.
func AssignmentKey(service, path, region string) string {
	return ServicePrefix(service) + kindAssignment + "/" + region + "/" + path
}

// BackendKey returns the key of a back end's row.
func BackendKey(service, instance string) string {
	return ServicePrefix(service) + kindBackend + "/" + instance
}

// EntityKey returns the key of the row that binds an entry to a region.
func EntityKey(service, path string) string { return ServicePrefix(service) + kindEntity + "/" + path }

// EntryKey returns the key of an entry's row.
func EntryKey(service, path string) string { return ServicePrefix(service) + kindEntry + "/" + path }

// ServicePolicyKey returns the key of a service's policy.
func ServicePolicyKey(service string) string { return ServicePrefix(service) + kindServicePolicy }

// ShardRangeKey returns the key of the shard range that begins at a key; ranges sort by it.
func ShardRangeKey(service string, first uint32) string {
	return fmt.Sprintf("%s%s/%05d", ServicePrefix(service), kindShardRange, first)
}

// ShardSlotKey returns the key of a shard slot's row; slots sort by number.
func ShardSlotKey(service string, slot uint32) string {
	return fmt.Sprintf("%s%s/%03d", ServicePrefix(service), kindShardSlot, slot)
}

// AcceptedKey returns the key of an accepted configuration's row; they sort by version.
func AcceptedKey(version uint64) string { return fmt.Sprintf("%s%020d", AcceptedPrefix, version) }
