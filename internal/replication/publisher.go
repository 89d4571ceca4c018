package replication

import (
	"maps"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// maxReportedAge bounds the age that a delta tells of its rows. Rows of that age may never have been confirmed.
const maxReportedAge = time.Minute

// PublishedTable is the table that a Publisher reads; it never changes it.
type PublishedTable interface {
	// Version is the log index that the table stands at; 0 is an empty table.
	Version() raft.Index
	// Changes gives the rows below the prefixes that changed after an index; it tells false if the table no longer remembers.
	Changes(after raft.Index, prefixes []string) ([]*schema.Row, bool)
	// Rows gives all rows below the prefixes.
	Rows(prefixes []string) []*schema.Row
	// Differing names the ranges whose digests differ from the table's.
	Differing(ranges []*schema.RangeDigest) []string
}

// Confirmation is what this node may say about its rows at the moment.
type Confirmation struct {
	// IsMember tells whether this node is a voter or learner of the log; nobody else publishes.
	IsMember bool
	// Age is how long ago a majority last confirmed the table.
	Age time.Duration
	// Leader is the address of the leader if subscribers shall learn it, or "".
	Leader string
}

// subscriber is a reader that takes deltas from this node.
type subscriber struct {
	// prefixes are those whose rows the reader has, wanted those whose rows it needs whole.
	prefixes []string
	wanted   []string
	// serial is the number of its newest subscription, which each delta repeats.
	serial    uint64
	renewedAt time.Duration
	// sent is the version that the reader has once it takes the last delta.
	sent   raft.Index
	sentAt time.Duration
}

// Publisher sends deltas to the readers that subscribed to this node. The zero value is of no use; call NewPublisher.
type Publisher struct {
	table       PublishedTable
	deltaEvery  time.Duration
	subscribers map[string]*subscriber
}

// NewPublisher makes a Publisher without subscribers. A subscriber gets a delta at least every deltaEvery, also when nothing has changed.
func NewPublisher(table PublishedTable, deltaEvery time.Duration) *Publisher {
	return &Publisher{table: table, deltaEvery: deltaEvery, subscribers: map[string]*subscriber{}}
}

// Subscribe takes a new or renewed subscription and answers it with a delta.
func (p *Publisher) Subscribe(now time.Duration, confirmation Confirmation, from string, request *schema.Subscribe) []frame.Envelope {
	if !confirmation.IsMember || p.table.Version() == 0 {
		return nil
	}
	if request.Probe {
		return []frame.Envelope{deltaEnvelope(from, probeAnswer(confirmation, request.Serial))}
	}
	reader := p.subscribers[from]
	isRenewal := reader != nil && request.Renews && reader.sent >= raft.Index(request.Version)
	if !isRenewal {
		reader = &subscriber{prefixes: request.Prefixes, wanted: request.Wanted, sent: raft.Index(request.Version)}
		p.subscribers[from] = reader
	}
	reader.serial = request.Serial
	reader.renewedAt = now
	return p.appendDelta(nil, now, confirmation, from, reader)
}

// Tick sends deltas to the subscribers that are behind or have not heard for a while, and forgets those that no longer renew.
func (p *Publisher) Tick(now time.Duration, confirmation Confirmation) []frame.Envelope {
	var envelopes []frame.Envelope
	for _, address := range slices.Sorted(maps.Keys(p.subscribers)) {
		reader := p.subscribers[address]
		if now-reader.renewedAt > constants.SubscriptionTTL || !confirmation.IsMember {
			delete(p.subscribers, address)
			continue
		}
		if reader.sent < p.table.Version() || now-reader.sentAt >= p.deltaEvery {
			envelopes = p.appendDelta(envelopes, now, confirmation, address, reader)
		}
	}
	return envelopes
}

// CompareDigests answers a reader at the same version with the names of the ranges that differ; at another version nothing can be said.
func (p *Publisher) CompareDigests(from string, request *schema.DigestRequest) []frame.Envelope {
	if raft.Index(request.Version) != p.table.Version() {
		return nil
	}
	response := &schema.DigestResponse{Version: request.Version, Differing: p.table.Differing(request.Ranges)}
	return []frame.Envelope{digestResponseEnvelope(from, response)}
}

// appendDelta adds the delta that brings a reader to the table's version, unless the reader is ahead of this node.
func (p *Publisher) appendDelta(envelopes []frame.Envelope, now time.Duration, confirmation Confirmation, to string, reader *subscriber) []frame.Envelope {
	if reader.sent > p.table.Version() {
		return envelopes
	}
	delta := p.delta(confirmation, reader)
	reader.prefixes = slices.Concat(reader.prefixes, reader.wanted)
	reader.wanted = nil
	reader.sent = p.table.Version()
	reader.sentAt = now
	return append(envelopes, deltaEnvelope(to, delta))
}

// probeAnswer tells how old the table is, and no rows.
func probeAnswer(confirmation Confirmation, serial uint64) *schema.Delta {
	return &schema.Delta{Serial: serial, AgeMs: schema.AgeMs(min(confirmation.Age, maxReportedAge)), Leader: confirmation.Leader, Probe: true}
}

func (p *Publisher) delta(confirmation Confirmation, reader *subscriber) *schema.Delta {
	age := min(confirmation.Age, maxReportedAge)
	delta := &schema.Delta{
		From:   uint64(reader.sent),
		To:     uint64(p.table.Version()),
		Serial: reader.serial,
		AgeMs:  schema.AgeMs(age),
		Leader: confirmation.Leader,
	}
	changed, isRemembered := p.table.Changes(reader.sent, reader.prefixes)
	if isRemembered {
		delta.Whole = reader.wanted
		delta.Rows = append(changed, p.table.Rows(reader.wanted)...)
		return delta
	}
	delta.All = true
	delta.Whole = slices.Concat(reader.prefixes, reader.wanted)
	delta.Rows = p.table.Rows(delta.Whole)
	return delta
}
