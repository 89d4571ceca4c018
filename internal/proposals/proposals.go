// Package proposals tracks which rows of the replicated state have a proposal in flight: which row was proposed at which
// index of the log.
//
// A leader plans each change from the state that it has applied. Until a proposed change is applied, a second plan from
// the same state would only repeat it or void it, so that the leader doesn't propose for a row that is in flight. A
// Proposer belongs to one node's control plane and is called from the goroutine that owns it; it does no I/O and reads
// no clock.
package proposals

import (
	"time"

	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Log accepts proposals; raft.Node implements it.
type Log interface {
	// Propose appends a record and gives its place in the log. It fails where this node doesn't lead.
	Propose(now time.Duration, record *schema.Record) (index raft.Index, term raft.Term, err error)
}

// State is the replicated state as applied so far; store.Table implements it.
type State interface {
	// Version is the index of the newest applied record.
	Version() raft.Index
}

// Position is a record's place in the log. Another term at the same index is another record.
type Position struct {
	Index raft.Index
	Term  raft.Term
}

// Proposer proposes records and remembers for each row at which index it was last proposed.
type Proposer struct {
	log     Log
	state   State
	indexes map[string]raft.Index
	// proposedAt is when each record was proposed that is not applied yet.
	proposedAt map[raft.Index]time.Duration
}

// New gives a proposer with nothing in flight.
func New(log Log, state State) *Proposer {
	return &Proposer{log: log, state: state, indexes: map[string]raft.Index{}, proposedAt: map[raft.Index]time.Duration{}}
}

// IsInFlight tells whether a row was proposed and the proposal is not applied yet.
func (p *Proposer) IsInFlight(key string) bool {
	return p.indexes[key] > p.state.Version()
}

// Propose proposes a planned record and tells whether it did. It does not where the record has no rows, where one of
// them is in flight, or where the log refuses it; the next plan repeats what is still needed.
func (p *Proposer) Propose(now time.Duration, record *schema.Record) bool {
	if len(record.GetRows()) == 0 || p.isAnyInFlight(record) {
		return false
	}
	if _, err := p.Submit(now, record); err != nil {
		return false
	}
	p.forgetApplied()
	return true
}

// Submit proposes a record whatever is in flight: the record's guards void it where another one comes before it. The error is the log's.
func (p *Proposer) Submit(now time.Duration, record *schema.Record) (Position, error) {
	index, term, err := p.log.Propose(now, record)
	if err != nil {
		return Position{}, err
	}
	for _, row := range record.Rows {
		p.indexes[row.Key] = index
	}
	p.proposedAt[index] = now
	return Position{Index: index, Term: term}, nil
}

// Reset forgets all proposals; a node that no longer leads doesn't know what became of them.
func (p *Proposer) Reset() {
	p.indexes = map[string]raft.Index{}
	p.proposedAt = map[raft.Index]time.Duration{}
}

// Took gives, once, how long ago a record was proposed here; 0 is that it was not, or was asked for before.
func (p *Proposer) Took(now time.Duration, index raft.Index) time.Duration {
	proposedAt, isKnown := p.proposedAt[index]
	if !isKnown {
		return 0
	}
	delete(p.proposedAt, index)
	return now - proposedAt
}

func (p *Proposer) isAnyInFlight(record *schema.Record) bool {
	for _, row := range record.Rows {
		if p.IsInFlight(row.Key) {
			return true
		}
	}
	return false
}

func (p *Proposer) forgetApplied() {
	for key := range p.indexes {
		if !p.IsInFlight(key) {
			delete(p.indexes, key)
		}
	}
}
