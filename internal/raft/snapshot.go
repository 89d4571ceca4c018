package raft

import (
	"hash/crc32"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Snapshots travel in parts: a few are under way at a time, so that heartbeats and appends pass between them; what a cut has lost is sent again
// from the last confirmed byte; the log behind a snapshot that is being sent is kept, so that its receiver can go on from it.

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodedSnapshot is a snapshot as it is sent; all followers that need one at that time share it.
type encodedSnapshot struct {
	index    Index
	term     Term
	payload  []byte
	checksum uint32
}

// transfer is a snapshot on its way to one follower.
type transfer struct {
	snapshot        *encodedSnapshot
	sent, confirmed uint64
	// movedAt is when the follower last confirmed more.
	movedAt time.Duration
}

// reception is a snapshot on its way to this member.
type reception struct {
	part    *schema.SnapshotPart
	payload []byte
}

// encode gives the snapshot to send: the one that others are being sent, as long as the log goes on from it.
func (q *Node) encode() *encodedSnapshot {
	if q.encoded != nil && q.encoded.index >= q.first {
		return q.encoded
	}
	whole := q.options.Whole()
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(whole)
	if err != nil {
		return nil
	}
	q.encoded = &encodedSnapshot{Index(whole.Index), Term(whole.Term), payload, crc32.Checksum(payload, castagnoli)}
	return q.encoded
}

// sendSnapshot sends the next parts to a follower whose next item the log has no more.
func (q *Node) sendSnapshot(id string, p *progress) {
	if !p.takesParts {
		q.sendWhole(id, p)
		return
	}
	if p.transfer == nil || p.transfer.snapshot.index < q.first {
		snapshot := q.encode()
		if snapshot == nil {
			return
		}
		p.transfer = &transfer{snapshot: snapshot, movedAt: q.now}
	}
	t := p.transfer
	if q.now-t.movedAt >= q.options.Pace.ElectionLeast {
		t.sent, t.movedAt = t.confirmed, q.now
	}
	size := uint64(len(t.snapshot.payload))
	for t.sent < size && t.sent < t.confirmed+constants.SnapshotWindow*constants.SnapshotPartBytes {
		end := min(size, t.sent+constants.SnapshotPartBytes)
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT_PART, To: id, Round: q.round, Part: &schema.SnapshotPart{Index: uint64(t.snapshot.index), Term: uint64(t.snapshot.term),
			Offset: t.sent, Size: size, Checksum: t.snapshot.checksum, Payload: t.snapshot.payload[t.sent:end]}})
		t.sent = end
	}
}

// sendWhole sends a snapshot in one message, to members of a program that knows no parts.
func (q *Node) sendWhole(id string, p *progress) {
	if q.now-p.snapshotAt < q.options.Pace.ElectionLeast && p.snapshotAt > 0 {
		return
	}
	p.snapshotAt = q.now
	q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT, To: id, Snapshot: q.options.Whole(), Round: q.round, Commit: uint64(q.commit)})
}

// confirmPart takes a follower's word of how much of a snapshot it has. One that was started again has less than it had confirmed.
func (q *Node) confirmPart(m *schema.Raft) {
	p := q.others[m.From]
	if q.role != Leader || p == nil {
		return
	}
	p.heard = q.now
	p.ackRound = max(p.ackRound, m.Round)
	if t := p.transfer; t != nil && t.snapshot.index == Index(m.Index) && m.Hint != t.confirmed {
		if m.Hint < t.confirmed {
			t.sent = m.Hint
		}
		t.confirmed, t.movedAt = m.Hint, q.now
		t.sent = max(t.sent, t.confirmed)
		q.sendSnapshot(m.From, p)
	}
	q.confirm()
}

// endTransfers forgets what no follower needs any more.
func (q *Node) endTransfers() {
	isNeeded := false
	for _, p := range q.others {
		if p.transfer != nil && p.next > q.first {
			p.transfer = nil
		}
		isNeeded = isNeeded || p.transfer != nil && p.transfer.snapshot == q.encoded
	}
	if !isNeeded {
		q.encoded = nil
	}
}

// takePart adds a part to the snapshot that is being received, and installs it once it is whole.
func (q *Node) takePart(m *schema.Raft) {
	part := m.GetPart()
	if part == nil || part.Size > constants.SnapshotBytesMost || part.Offset+uint64(len(part.Payload)) > part.Size {
		return
	}
	if Index(part.Index) <= q.commit {
		q.received = nil
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_APPEND_RESPONSE, To: m.From, Round: m.Round, Index: uint64(q.commit)})
		return
	}
	if r := q.received; r == nil || r.part.Index != part.Index || r.part.Term != part.Term || r.part.Size != part.Size || r.part.Checksum != part.Checksum {
		q.received = &reception{part: part}
	}
	r := q.received
	if part.Offset == uint64(len(r.payload)) {
		r.payload = append(r.payload, part.Payload...)
	}
	if uint64(len(r.payload)) < part.Size {
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT_PART_RESPONSE, To: m.From, Round: m.Round, Index: part.Index, Hint: uint64(len(r.payload))})
		return
	}
	q.received = nil
	snapshot := &schema.Snapshot{}
	if crc32.Checksum(r.payload, castagnoli) != part.Checksum || proto.Unmarshal(r.payload, snapshot) != nil || snapshot.Index != part.Index {
		q.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT_PART_RESPONSE, To: m.From, Round: m.Round, Index: part.Index})
		return
	}
	q.install(&schema.Raft{From: m.From, Round: m.Round, Snapshot: snapshot})
}

// keepFrom is the lowest item to keep when the log is dropped up to an index: some behind it, by count and by bytes, and all that a follower needs
// to go on from the snapshot that it is being sent.
func (q *Node) keepFrom(index Index) Index {
	keep := index
	for bytes := 0; keep > q.first && index-keep < constants.RaftKeepItems; keep-- {
		if bytes += proto.Size(q.items[keep-q.first-1]); bytes > constants.RaftKeepBytes {
			break
		}
	}
	for _, p := range q.others {
		if p.transfer != nil && p.transfer.snapshot.index < keep && q.bytesFrom(p.transfer.snapshot.index) <= constants.RaftTransferBytes {
			keep = max(q.first, p.transfer.snapshot.index)
		}
	}
	return keep
}

func (q *Node) bytesFrom(index Index) int {
	bytes := 0
	for _, item := range q.items[max(index, q.first)-q.first:] {
		bytes += proto.Size(item)
	}
	return bytes
}

// Compact drops the log that a snapshot on disk covers up to an index, but for what followers may still need.
func (q *Node) Compact(index Index) {
	if index > q.handed {
		return
	}
	index = q.keepFrom(index)
	if index <= q.first {
		return
	}
	term, _ := q.termAt(index)
	members := q.base
	for _, item := range q.items[:index-q.first] {
		if item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			members = item.Record.Members
		}
	}
	q.items = slices.Clone(q.items[index-q.first:])
	q.first, q.firstTerm, q.base = index, term, members
	q.logBytes = q.bytesFrom(q.first)
	q.endTransfers()
}
