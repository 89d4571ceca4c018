package leader

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// versionRise lets the fleet use a newer protocol version once all nodes can read it, and keeps nodes out that don't
// speak the one in use.
type versionRise struct {
	speaks protocolversion.Span
	// riseAfter is how long all must have been able to read a version.
	riseAfter time.Duration
	// risingTo is the version that all have been able to read since risingSince.
	risingTo    protocolversion.Version
	risingSince time.Duration
	// proposed is the version of the newest proposal.
	proposed protocolversion.Version
	// refused are the incarnations of nodes that were refused and logged.
	refused map[string]uint64
}

func newVersionRise(speaks protocolversion.Span, riseAfter time.Duration) *versionRise {
	if riseAfter == 0 {
		riseAfter = constants.FleetRiseAfter
	}
	return &versionRise{speaks: speaks, riseAfter: riseAfter, refused: map[string]uint64{}}
}

// check tells why a node may not take part: it doesn't speak the version in use, or the one that the fleet is about to
// use.
func (v *versionRise) check(inUse protocolversion.Version, isRising bool, node *schema.Node) error {
	if isRising {
		inUse = max(inUse, v.proposed)
	}
	span, err := protocolversion.ReadSpan(node.GetSpeaksLow(), node.GetSpeaksHigh())
	if err != nil {
		return err
	}
	return protocolversion.CheckFleet(span, inUse)
}

// noteRefused tells whether this incarnation of a node is refused for the first time.
func (v *versionRise) noteRefused(node *schema.Node) bool {
	if v.refused[node.GetId()] == node.GetIncarnation() {
		return false
	}
	v.refused[node.GetId()] = node.GetIncarnation()
	return true
}

// next gives the version that the fleet should use now, or 0 if it stays. All readers must have been able to read it
// for long enough, and nothing may be under way in the log, so that nobody joins between the decision and the record.
func (v *versionRise) next(state State, readers []protocolversion.Reader, lastIndex raft.Index) protocolversion.Version {
	next, _ := protocolversion.Rise(state.View.FleetVersion, v.speaks, readers)
	if next != v.risingTo || next == state.View.FleetVersion {
		v.risingTo, v.risingSince = next, state.Now
		return 0
	}
	if state.Now-v.risingSince < v.riseAfter || state.Table.Version() < lastIndex {
		return 0
	}
	return next
}

// readers are all who must read what the fleet uses: members of the log, nodes of the table, and nodes heard of that
// have no row yet.
func readers(state State, fleet *Fleet, members *schema.Members) []protocolversion.Reader {
	isLogMember, isKnown := map[string]bool{}, map[string]bool{}
	for _, m := range allMembers(members) {
		isLogMember[m.Id], isKnown[m.Id] = true, true
	}
	for id := range state.View.Nodes {
		isKnown[id] = true
	}
	for id, record := range fleet.nodes {
		if record.isRecent(state.Now) {
			isKnown[id] = true
		}
	}
	var readers []protocolversion.Reader
	for _, id := range slices.Sorted(maps.Keys(isKnown)) {
		r := readerOf(state.Now, state.View.Nodes[id], fleet.Node(id))
		r.ID, r.IsVoter = id, isLogMember[id]
		readers = append(readers, r)
	}
	return readers
}

// readerOf gives what a node can read. Without a row or a heartbeat that is the first version alone.
func readerOf(now time.Duration, row *schema.Node, record *NodeRecord) protocolversion.Reader {
	r := protocolversion.Reader{Span: protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}}
	if row == nil || record == nil {
		return r
	}
	span, err := protocolversion.ReadSpan(row.SpeaksLow, row.SpeaksHigh)
	if err != nil {
		return r
	}
	r.Span = span
	isSame := record.Node.GetSpeaksLow() == row.SpeaksLow && record.Node.GetSpeaksHigh() == row.SpeaksHigh
	r.IsHeard = isSame && record.isRecent(now)
	return r
}

// isFit tells whether a node speaks what the fleet uses or is about to use; it logs each incarnation that doesn't once.
func (l *Leader) isFit(state State, node *schema.Node) bool {
	err := l.version.check(state.View.FleetVersion, l.options.Proposer.IsInFlight(store.FleetVersionKey), node)
	if err != nil && l.version.noteRefused(node) {
		l.log.Error("node is refused", "node", node.GetId(), "reason", err.Error())
	}
	return err == nil
}

func (l *Leader) planVersion(state State) {
	log := l.options.Log
	next := l.version.next(state, readers(state, l.fleet, log.Members()), log.LastIndex())
	if next == 0 {
		return
	}
	rise := newChange(state.Table, "the fleet's version rises")
	rise.put(store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: uint32(next)}))
	if l.options.Proposer.Propose(state.Now, rise.result()) {
		l.version.proposed = next
		l.log.Info("the fleet's version rises", "version", next)
	}
}
