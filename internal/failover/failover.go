// Package failover decides which proxy group is active, by failover numbers.
//
// It follows "Design doc: Cadence Active-Active" (Taylan Isikdemir, April 2025, in the Cadence workflow project). Its
// terms and their counterparts here:
//
//   - A cluster is a proxy group: the proxies of one zone in a fleet of entries, or of a set of zones of one region in
//     a fleet of routes.
//   - A failover version is a Number. Its residue, modulo an increment, names the one active group, or a region.
//   - The region map is the rows schema.FailoverAssignment: one for each region and entry, service, or default of a
//     region.
//   - An entity is an entry that must not run in two regions at once. Its row schema.Entity binds it to one region.
//   - The origin is the immutable record that travels with a request: a region, or the entity.
//
// Kept are the residues, the region map, the entities and the origin records. Changed: numbers only rise, so that an
// old decision can't come back; a region that points to another one is followed for one hop only; rows are planned by
// the leader from what it knows of zones, nodes and back ends, and an operator moves traffic by emptying a zone.
// Added: a new row may be fenced until all leases given under the former one have been released or have lapsed.
// docs/design.md has the comparison whole.
//
// The package has no state. The leader calls PlanEntries or PlanRoutes on its control plane's goroutine; each node
// calls Check for every row before it is applied, in the order of the log; any goroutine may resolve on its own view.
package failover
