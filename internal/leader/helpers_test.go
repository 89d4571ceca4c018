package leader

import (
	"testing"
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// startedAt is when the tests' leaders were elected.
const startedAt = time.Hour

// newState gives the state after the rows were applied, each in a record of its own, the first at index 1.
func newState(t *testing.T, now time.Duration, rows ...*schema.Row) State {
	t.Helper()
	table := store.NewTable()
	for i, row := range rows {
		record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: []*schema.Row{row}}
		if _, err := table.Apply(raft.Index(i+1), record, func(*store.Table, *schema.Row) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	return State{Now: now, System: "system", View: store.Compile(table), Table: table}
}

func nodeRow(node *schema.Node) *schema.Row { return store.EncodeRow(store.NodeKey(node.Id), node) }

func readyNode(id string, changes ...func(*schema.Node)) *schema.Node {
	node := &schema.Node{Id: id, Address: id, Proxy: id, Admin: id, Zone: "z", Region: "r", Incarnation: 1, State: schema.NodeState_NODE_READY}
	for _, change := range changes {
		change(node)
	}
	return node
}

func withDisk(node *schema.Node) { node.Disk = true }
func isStopping(n *schema.Node)  { n.State = schema.NodeState_NODE_STOPPING }
func isLost(node *schema.Node)   { node.State = schema.NodeState_NODE_LOST }
func isAnyFit(*schema.Node) bool { return true }
func member(id string) *schema.Member {
	return &schema.Member{Id: id, Address: id, Zone: "z"}
}

func members(ids ...string) []*schema.Member {
	var all []*schema.Member
	for _, id := range ids {
		all = append(all, member(id))
	}
	return all
}

// memberIDs gives the identities of members.
func memberIDs(members []*schema.Member) []string {
	ids := []string{}
	for _, m := range members {
		ids = append(ids, m.Id)
	}
	return ids
}

// fakeProposer takes or refuses all records, and remembers what it took.
type fakeProposer struct {
	isRefusing bool
	inFlight   map[string]bool
	records    []*schema.Record
}

func (p *fakeProposer) Propose(_ time.Duration, record *schema.Record) bool {
	if p.isRefusing || len(record.GetRows()) == 0 {
		return false
	}
	p.records = append(p.records, record)
	return true
}

func (p *fakeProposer) IsInFlight(key string) bool { return p.inFlight[key] }

// fakeLog is a log of one leader, n, that a majority follows.
type fakeLog struct {
	members     *schema.Members
	confirmedAt time.Duration
	// last is the index of the newest item, which is committed; matched is that of each member's, and changedAt that of the newest change of members.
	last, matched, changedAt raft.Index
	// answeredAt is when each member last answered.
	answeredAt time.Duration
	proposed   []*schema.Record
}

func (l *fakeLog) Propose(_ time.Duration, record *schema.Record) (raft.Index, raft.Term, error) {
	l.proposed = append(l.proposed, record)
	return l.last + 1, 1, nil
}

func (l *fakeLog) Members() *schema.Members             { return l.members }
func (l *fakeLog) MembershipIndex() raft.Index          { return l.changedAt }
func (l *fakeLog) Match(string) raft.Index              { return l.matched }
func (l *fakeLog) LastContact(string) time.Duration     { return l.answeredAt }
func (l *fakeLog) CommitIndex() raft.Index              { return l.last }
func (l *fakeLog) LastIndex() raft.Index                { return l.last }
func (l *fakeLog) LeadershipConfirmedAt() time.Duration { return l.confirmedAt }
func (l *fakeLog) Term() raft.Term                      { return 1 }
