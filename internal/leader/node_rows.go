package leader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// forgetNodeAfter is the time without a heartbeat after which the row of a lost node is deleted.
const forgetNodeAfter = time.Minute

// residueStep is the distance of two residues of one sort: zones take the even ones, regions the odd ones.
const residueStep = 2

// AdmissionRules are the rules by which nodes, zones and regions get their rows; they depend on what the fleet carries.
type AdmissionRules struct {
	// Zones are the deployment's zones, each with its region, which get rows whether or not they have a node.
	Zones map[string]string
	// HasZoneResidues tells whether each zone has a residue class of failover numbers of its own.
	HasZoneResidues bool
	// ReplacesByAddress tells whether a newer incarnation at an address takes the place of the older ones there.
	ReplacesByAddress bool
	// LostAfter is the time without a heartbeat after which a suspected node is taken for lost.
	LostAfter time.Duration
}

// ZoneConflictError says that a node names a zone that belongs to another region.
type ZoneConflictError struct {
	Node, Zone, Region string
	// KnownRegion is the region that the zone belongs to.
	KnownRegion string
}

// Error names the node and both regions.
func (e *ZoneConflictError) Error() string {
	return fmt.Sprintf("node %s puts zone %s into region %s, but it belongs to region %s; mend the node's settings",
		e.Node, e.Zone, e.Region, e.KnownRegion)
}

// NodePlan is what a look at the fleet has found.
type NodePlan struct {
	// Record is the change of rows that is due, or nil.
	Record *schema.Record
	// Lost are the nodes whose reports count no more.
	Lost []string
	// Conflicts are the nodes that were not admitted.
	Conflicts []*ZoneConflictError
}

// NodeFacts are what the rows of nodes follow from.
type NodeFacts struct {
	State
	Rules AdmissionRules
	// Members are the members of the log.
	Members *schema.Members
	// IsFit tells whether a node speaks the version that the fleet uses.
	IsFit func(*schema.Node) bool
}

// nodePlanner is one look at the fleet.
type nodePlanner struct {
	NodeFacts
	fleet   *Fleet
	change  *change
	plan    NodePlan
	zones   map[string]string
	regions map[string]bool
	// nextZone and nextRegion are the lowest residues that are free.
	nextZone, nextRegion uint32
	// newest are the newest incarnations by address, nil where they don't count.
	newest map[string]uint64
}

// PlanNodes brings the rows of the system, of zones, regions and nodes in line with what was heard. It forgets the
// nodes whose rows it deletes.
func (f *Fleet) PlanNodes(facts NodeFacts) NodePlan {
	p := &nodePlanner{NodeFacts: facts, fleet: f, change: newChange(facts.Table, "nodes")}
	p.readPlaces()
	if facts.Table.Get(store.SystemKey) == nil {
		p.change.put(&schema.Row{Key: store.SystemKey, Value: []byte(facts.System)})
	}
	for _, zone := range slices.Sorted(maps.Keys(facts.Rules.Zones)) {
		p.admitZone(zone, facts.Rules.Zones[zone])
	}
	if facts.Rules.ReplacesByAddress {
		p.newest = f.newestIncarnations()
	}
	p.putHeardNodes()
	p.markLostNodes()
	p.deleteFormerMembers()
	p.plan.Record = p.change.result()
	return p.plan
}

func (p *nodePlanner) readPlaces() {
	p.zones, p.regions = map[string]string{}, map[string]bool{}
	p.nextRegion = 1
	for _, zone := range p.View.Zones {
		p.zones[zone.Name] = zone.Region
		p.nextZone = max(p.nextZone, zone.Residue+residueStep)
	}
	for _, region := range p.View.Regions {
		p.regions[region.Name] = true
		p.nextRegion = max(p.nextRegion, region.Residue+residueStep)
	}
}

// admitZone gives rows to a zone and its region if they are new and a residue is left for them.
func (p *nodePlanner) admitZone(zone, region string) {
	if !p.regions[region] && p.nextRegion < constants.Increment {
		p.regions[region] = true
		key := store.RegionKey(region)
		p.change.put(store.EncodeRow(key, &schema.Region{Name: region, Residue: p.nextRegion}))
		p.nextRegion += residueStep
	}
	if !p.Rules.HasZoneResidues {
		p.nextZone = 0
	}
	if _, isKnown := p.zones[zone]; !isKnown && p.nextZone < constants.Increment {
		p.zones[zone] = region
		key := store.ZoneKey(zone)
		p.change.put(store.EncodeRow(key, &schema.Zone{Name: zone, Region: region, Residue: p.nextZone}))
		p.nextZone += residueStep
	}
}

// putHeardNodes gives rows to the nodes that were heard of lately and renews those that have changed.
func (p *nodePlanner) putHeardNodes() {
	for _, id := range slices.Sorted(maps.Keys(p.fleet.nodes)) {
		record := p.fleet.nodes[id]
		if !record.isRecent(p.Now) || !p.IsFit(record.Node) {
			continue
		}
		node := record.Node
		if region, isKnown := p.zones[node.Zone]; isKnown && region != node.Region {
			p.plan.Conflicts = append(p.plan.Conflicts, &ZoneConflictError{Node: id, Zone: node.Zone, Region: node.Region, KnownRegion: region})
			continue
		}
		p.admitZone(node.Zone, node.Region)
		if p.isReplaced(node) {
			continue
		}
		if hasChanged(p.View.Nodes[id], node) {
			p.change.put(store.EncodeRow(store.NodeKey(id), cloneNode(node)))
		}
	}
}

// isReplaced tells whether a newer incarnation runs at a node's address.
func (p *nodePlanner) isReplaced(node *schema.Node) bool {
	return p.newest[node.Address] > node.Incarnation
}

// hasChanged tells whether a node's row has to be written anew.
func hasChanged(row, node *schema.Node) bool {
	return row == nil ||
		row.State != node.State ||
		row.Address != node.Address ||
		row.Proxy != node.Proxy ||
		row.Admin != node.Admin ||
		row.SpeaksLow != node.SpeaksLow ||
		row.SpeaksHigh != node.SpeaksHigh ||
		row.Incarnation < node.Incarnation
}

// markLostNodes marks the nodes that are out of reach and deletes the rows of those that don't come back.
func (p *nodePlanner) markLostNodes() {
	suspicions := p.fleet.suspicions(p.Now)
	for _, id := range slices.Sorted(maps.Keys(p.View.Nodes)) {
		row := p.View.Nodes[id]
		sinceHeard := p.fleet.sinceHeard(p.Now, id)
		switch {
		case !row.Disk && p.isReplaced(row):
			p.delete(id)
		case !row.Disk && isGoneForGood(row, sinceHeard):
			p.delete(id)
			p.plan.Lost = append(p.plan.Lost, id)
		case row.State != schema.NodeState_NODE_LOST && p.isLost(sinceHeard, suspicions[id]):
			lost := cloneNode(row)
			lost.State = schema.NodeState_NODE_LOST
			p.change.put(store.EncodeRow(store.NodeKey(id), lost))
			p.plan.Lost = append(p.plan.Lost, id)
		}
	}
}

// isLost tells whether a node counts as lost: enough others suspect it too, or nothing was heard of it for twice as
// long.
func (p *nodePlanner) isLost(sinceHeard time.Duration, suspicions int) bool {
	if sinceHeard > 2*p.Rules.LostAfter {
		return true
	}
	return sinceHeard > p.Rules.LostAfter && suspicions >= constants.SuspectWitnesses
}

// isGoneForGood tells whether a node without a disk is gone: it was stopping and nothing of its lease is left, or it
// was not heard of for long.
func isGoneForGood(row *schema.Node, sinceHeard time.Duration) bool {
	hasLapsed := sinceHeard > constants.LeaseDuration+constants.LeaseClockMargin+constants.ReservationWindow
	return hasLapsed && row.State == schema.NodeState_NODE_STOPPING || sinceHeard > forgetNodeAfter
}

// deleteFormerMembers deletes the rows of lost nodes with a disk that are no members of the log any more.
func (p *nodePlanner) deleteFormerMembers() {
	for _, id := range slices.Sorted(maps.Keys(p.View.Nodes)) {
		row := p.View.Nodes[id]
		if !row.Disk || row.State != schema.NodeState_NODE_LOST || isMember(p.Members, id) {
			continue
		}
		if p.fleet.sinceHeard(p.Now, id) > forgetNodeAfter {
			p.change.put(store.Tombstone(store.NodeKey(id)))
		}
	}
}

func (p *nodePlanner) delete(id string) {
	p.change.put(store.Tombstone(store.NodeKey(id)))
	delete(p.fleet.nodes, id)
}

func cloneNode(node *schema.Node) *schema.Node { return proto.Clone(node).(*schema.Node) }

// allMembers gives the voters and the learners.
func allMembers(members *schema.Members) []*schema.Member {
	return slices.Concat(members.GetVoters(), members.GetLearners())
}

func isMember(members *schema.Members, id string) bool { return memberAt(allMembers(members), id) >= 0 }
