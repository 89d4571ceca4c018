package leader

import (
	"log/slog"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

// workload is the part of the leader's duties that depends on what the fleet carries. The types entries and routes
// implement it.
type workload interface {
	// admissionRules gives how nodes and zones get their rows.
	admissionRules() AdmissionRules
	// report takes what a node's heartbeat tells of back ends, and forget drops the reports of a lost node.
	report(now time.Duration, node *schema.Node, heartbeat *schema.Heartbeat)
	forget(node string)
	// take takes news; it tells whether the leader should plan at once.
	take(now time.Duration, input Input) bool
	// isUrgent tells whether the leader should plan at once because a committed record has changed these rows.
	isUrgent(rows []*schema.Row) bool
	// elected and resigned begin and end the time that this node leads.
	elected()
	resigned()
	// plan proposes what should change and gives the calls that must be sent to back ends.
	plan(t *turn) []LeaseCall
}

// turn is one performance of the duties.
type turn struct {
	State
	fleet    *Fleet
	log      Log
	proposer Proposer
	logger   *slog.Logger
}

// propose tells whether the record was handed to the log.
func (t *turn) propose(record *schema.Record) bool { return t.proposer.Propose(t.Now, record) }

func (t *turn) sinceElected() time.Duration { return t.Now - t.fleet.electedAt }

// Input is news for the leader; the types below implement it.
type Input interface{ isInput() }

// ListRead is a read of the platform's list of back ends by a fleet of entries.
type ListRead struct{ discovery.ListRead }

// Listing is a read of the platform's list of back ends by a fleet of routes.
type Listing struct{ discovery.Listing }

// LeaseAnswer is what became of a lease call.
type LeaseAnswer struct {
	// Incarnation is that of the call.
	Incarnation uint64
	sharding.Answer
}

func (ListRead) isInput()    {}
func (Listing) isInput()     {}
func (LeaseAnswer) isInput() {}
