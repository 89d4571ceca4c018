package failover

import (
	"fmt"
	"strings"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// FallingNumberError says that a row's number would fall, or would not rise where it must.
type FallingNumberError struct {
	Row      string
	Old, New uint64
}

func (e *FallingNumberError) Error() string {
	return fmt.Sprintf("number of %s would go from %d to %d; numbers only rise", e.Row, e.Old, e.New)
}

// ResidueError says that a zone, group or region has a residue that it may not have.
type ResidueError struct {
	// Kind is what Name names: a zone, a group or a region.
	Kind    string
	Name    string
	Residue uint32
}

func (e *ResidueError) Error() string {
	if e.Kind == kindRegion {
		return fmt.Sprintf("region %s has residue %d; regions take odd ones below the increment", e.Name, e.Residue)
	}
	return fmt.Sprintf("%s %s has residue %d; groups take even ones below the increment", e.Kind, e.Name, e.Residue)
}

// RenumberError says that a zone, group or region would get another residue, or another region.
type RenumberError struct {
	// Kind is what Name names: a zone, a group or a region.
	Kind string
	Name string
}

func (e *RenumberError) Error() string {
	return fmt.Sprintf("%s %s would be renumbered; name a new %s instead", e.Kind, e.Name, e.Kind)
}

// FleetVersionError says that the fleet's protocol version would fall.
type FleetVersionError struct {
	Old, New protocolversion.Version
}

func (e *FleetVersionError) Error() string {
	return fmt.Sprintf("the fleet's version would fall from %d to %d; it only rises", e.Old, e.New)
}

// The kinds that errors name.
const (
	kindZone   = "zone"
	kindGroup  = "group"
	kindRegion = "region"
)

// The prefixes and parts of row keys by which Check tells the kind of a row.
const (
	nodePrefix       = "node/"
	zonePrefix       = "district/"
	regionPrefix     = "region/"
	groupPrefix      = "group/"
	defaultPrefix    = "standing/"
	replicaSetPrefix = "keepers/"
	assignmentPart   = "/standing/"
	entityPart       = "/entity/"
)

// Check is asked of every row before it is applied: numbers never fall, residues are never given anew, the fleet's
// version never falls and every node reads it. Its errors are of the types of this file.
func Check(table *store.Table, row *schema.Row) error {
	old := table.Get(row.Key)
	switch {
	case row.Key == store.FleetVersionKey:
		return checkFleetVersion(table, row)
	case strings.HasPrefix(row.Key, nodePrefix):
		return checkNode(table, row)
	case strings.HasPrefix(row.Key, zonePrefix):
		return checkZone(old, row)
	case strings.HasPrefix(row.Key, regionPrefix):
		return checkRegion(old, row)
	case strings.HasPrefix(row.Key, groupPrefix):
		return checkGroup(old, row)
	case strings.HasPrefix(row.Key, defaultPrefix):
		return checkDefault(old, row)
	}
	return checkNumber(old, row)
}

func checkZone(old, row *schema.Row) error {
	fresh := store.DecodeRow[schema.Zone](row)
	if !isGroupResidue(fresh.Residue, entryIncrement) {
		return &ResidueError{kindZone, fresh.Name, fresh.Residue}
	}
	if before := store.DecodeRow[schema.Zone](old); before != nil && (before.Residue != fresh.Residue || before.Region != fresh.Region) {
		return &RenumberError{kindZone, fresh.Name}
	}
	return nil
}

func checkRegion(old, row *schema.Row) error {
	fresh := store.DecodeRow[schema.Region](row)
	if !isRegionResidue(fresh.Residue, entryIncrement) {
		return &ResidueError{kindRegion, fresh.Name, fresh.Residue}
	}
	if before := store.DecodeRow[schema.Region](old); before != nil && before.Residue != fresh.Residue {
		return &RenumberError{kindRegion, fresh.Name}
	}
	return nil
}

func checkGroup(old, row *schema.Row) error {
	fresh := store.DecodeRow[schema.Group](row)
	if !isGroupResidue(fresh.Residue, routeIncrement) {
		return &ResidueError{kindGroup, fresh.Name, fresh.Residue}
	}
	if before := store.DecodeRow[schema.Group](old); before != nil && (before.Residue != fresh.Residue || before.Region != fresh.Region) {
		return &RenumberError{kindGroup, fresh.Name}
	}
	return nil
}

// checkDefault checks the default row of a region in a fleet of routes, which is written only to raise its number.
func checkDefault(old, row *schema.Row) error {
	was := store.DecodeRow[schema.FailoverAssignment](old).GetNumber()
	is := store.DecodeRow[schema.FailoverAssignment](row).GetNumber()
	if is <= was {
		return &FallingNumberError{row.Key, was, is}
	}
	return nil
}

// checkNumber checks the other rows that have a number, which may be written anew with the same one.
func checkNumber(old, row *schema.Row) error {
	var was, is uint64
	switch {
	case strings.Contains(row.Key, assignmentPart):
		was = store.DecodeRow[schema.FailoverAssignment](old).GetNumber()
		is = store.DecodeRow[schema.FailoverAssignment](row).GetNumber()
	case strings.Contains(row.Key, entityPart):
		was = store.DecodeRow[schema.Entity](old).GetNumber()
		is = store.DecodeRow[schema.Entity](row).GetNumber()
	case strings.HasPrefix(row.Key, replicaSetPrefix):
		was = store.DecodeRow[schema.ReplicaSet](old).GetNumber()
		is = store.DecodeRow[schema.ReplicaSet](row).GetNumber()
	case row.Key == store.CatalogHeadKey:
		was = store.DecodeRow[schema.CatalogHead](old).GetVersion()
		is = store.DecodeRow[schema.CatalogHead](row).GetVersion()
	default:
		return nil
	}
	if is < was || is == 0 {
		return &FallingNumberError{row.Key, was, is}
	}
	return nil
}

// checkFleetVersion checks the row of the fleet's version, which never falls.
func checkFleetVersion(table *store.Table, row *schema.Row) error {
	inUse := versionInUse(table)
	fresh := protocolversion.InUse(store.DecodeRow[schema.FleetVersion](row).GetVersion())
	if fresh < inUse {
		return &FleetVersionError{inUse, fresh}
	}
	return nil
}

// checkNode checks that a node reads the version that the fleet uses.
func checkNode(table *store.Table, row *schema.Row) error {
	node := store.DecodeRow[schema.Node](row)
	span, err := protocolversion.ReadSpan(node.GetSpeaksLow(), node.GetSpeaksHigh())
	if err == nil {
		err = protocolversion.CheckFleet(span, versionInUse(table))
	}
	if err != nil {
		return fmt.Errorf("node %s does not fit the fleet: %w", node.GetId(), err)
	}
	return nil
}

func versionInUse(table *store.Table) protocolversion.Version {
	return protocolversion.InUse(store.DecodeRow[schema.FleetVersion](table.Get(store.FleetVersionKey)).GetVersion())
}
