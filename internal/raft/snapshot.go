package raft

import (
	"hash/crc32"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// A snapshot is sent in parts, of which a few are unconfirmed at a time, so that heartbeats and entries pass between
// them. Parts that are lost are sent again from the last confirmed byte. The log behind a snapshot that is being sent
// is kept, so that its receiver can go on from it.

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is an encoded snapshot; all followers that need one at the same time share it.
type outgoingSnapshot struct {
	index    Index
	term     Term
	payload  []byte
	checksum uint32
}

// snapshotTransfer is a snapshot on its way to one follower. Invariant: confirmed <= sent <= len(snapshot.payload).
type snapshotTransfer struct {
	snapshot *outgoingSnapshot
	// sent and confirmed count the bytes that were sent and those that the follower has.
	sent, confirmed uint64
	// progressedAt is when the follower last confirmed more, or the unconfirmed parts were last sent again.
	progressedAt time.Duration
}

// incomingSnapshot is a snapshot of which a beginning has been received.
type incomingSnapshot struct {
	first   *schema.SnapshotPart
	payload []byte
}

// isOf tells whether a part belongs to the same snapshot, in the same encoding.
func (s *incomingSnapshot) isOf(part *schema.SnapshotPart) bool {
	return s.first.Index == part.Index && s.first.Term == part.Term && s.first.Size == part.Size && s.first.Checksum == part.Checksum
}

// DescribeSnapshot fills in the position and membership of a snapshot that was taken of the applied state.
func (n *Node) DescribeSnapshot(snapshot *schema.Snapshot) {
	term, _ := n.log.term(n.log.applied)
	snapshot.Index, snapshot.Term = uint64(n.log.applied), uint64(term)
	snapshot.Members, _ = n.log.membersAt(n.log.applied)
}

// Compact drops the log up to the index of a snapshot on disk, except for what followers may still need.
func (n *Node) Compact(index Index) {
	if index > n.log.applied {
		return
	}
	index = n.compactionIndex(index)
	if index <= n.log.snapshotIndex {
		return
	}
	n.log.compact(index)
	n.endTransfers()
}

// compactionIndex returns up to where the log can be dropped, given a snapshot at an index. It keeps some entries for
// followers that are a little behind, bounded by count and bytes, and those after a snapshot that is being sent.
func (n *Node) compactionIndex(snapshotIndex Index) Index {
	index := snapshotIndex
	for bytes := 0; index > n.log.snapshotIndex && snapshotIndex-index < constants.RaftKeepItems; index-- {
		bytes += proto.Size(n.log.entriesFrom(index)[0])
		if bytes > constants.RaftKeepBytes {
			break
		}
	}
	for _, p := range n.progress {
		if p.transfer == nil {
			continue
		}
		sending := p.transfer.snapshot.index
		if sending < index && n.log.bytesAfter(sending) <= constants.RaftTransferBytes {
			index = max(n.log.snapshotIndex, sending)
		}
	}
	return index
}

// sendSnapshot sends the next parts of a snapshot to a follower that needs entries which the log no longer has.
func (n *Node) sendSnapshot(id string, p *progress) {
	if !p.acceptsParts {
		n.sendUnsplitSnapshot(id, p)
		return
	}
	if p.transfer == nil || p.transfer.snapshot.index < n.log.snapshotIndex {
		snapshot := n.encodeSnapshot()
		if snapshot == nil {
			return
		}
		p.transfer = &snapshotTransfer{snapshot: snapshot, progressedAt: n.now}
	}
	transfer := p.transfer
	if n.now-transfer.progressedAt >= n.timing.ElectionTimeout {
		transfer.sent, transfer.progressedAt = transfer.confirmed, n.now
	}
	size := uint64(len(transfer.snapshot.payload))
	window := transfer.confirmed + constants.SnapshotWindow*constants.SnapshotPartBytes
	for transfer.sent < min(size, window) {
		end := min(size, transfer.sent+constants.SnapshotPartBytes)
		n.sendSnapshotPart(id, transfer.snapshot, transfer.sent, end)
		transfer.sent = end
	}
}

func (n *Node) sendSnapshotPart(id string, snapshot *outgoingSnapshot, start, end uint64) {
	part := &schema.SnapshotPart{
		Index:    uint64(snapshot.index),
		Term:     uint64(snapshot.term),
		Offset:   start,
		Size:     uint64(len(snapshot.payload)),
		Checksum: snapshot.checksum,
		Payload:  snapshot.payload[start:end],
	}
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT_PART, To: id, Round: n.round, Part: part})
}

// sendUnsplitSnapshot sends a snapshot in one message, to a member of a program version that takes no parts.
func (n *Node) sendUnsplitSnapshot(id string, p *progress) {
	if n.now-p.snapshotSentAt < n.timing.ElectionTimeout && p.snapshotSentAt > 0 {
		return
	}
	p.snapshotSentAt = n.now
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT, To: id, Round: n.round, Commit: uint64(n.log.committed),
		Snapshot: n.options.TakeSnapshot()})
}

// encodeSnapshot returns the snapshot to send: the one that other followers are being sent, as long as the log goes
// on from it. It returns nil where the state can't be encoded.
func (n *Node) encodeSnapshot() *outgoingSnapshot {
	if n.outgoing != nil && n.outgoing.index >= n.log.snapshotIndex {
		return n.outgoing
	}
	snapshot := n.options.TakeSnapshot()
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil
	}
	n.outgoing = &outgoingSnapshot{
		index:    Index(snapshot.Index),
		term:     Term(snapshot.Term),
		payload:  payload,
		checksum: crc32.Checksum(payload, castagnoli),
	}
	return n.outgoing
}

// stepSnapshotPartResponse notes how much of a snapshot a follower has, and sends more. A follower that was restarted
// has less than it confirmed.
func (n *Node) stepSnapshotPartResponse(m *schema.Raft) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordResponse(n.now, m.Round)
	transfer, received := p.transfer, m.Hint
	if transfer != nil && transfer.snapshot.index == Index(m.Index) && received != transfer.confirmed {
		if received < transfer.confirmed {
			transfer.sent = received
		}
		transfer.confirmed, transfer.progressedAt = received, n.now
		transfer.sent = max(transfer.sent, received)
		n.sendSnapshot(m.From, p)
	}
	n.confirmReads()
}

// endTransfers forgets the transfers to followers that can go on from the log, and the encoded snapshot once nobody
// is being sent it.
func (n *Node) endTransfers() {
	isNeeded := false
	for _, p := range n.progress {
		if p.transfer != nil && p.next >= n.log.firstIndex() {
			p.transfer = nil
		}
		isNeeded = isNeeded || p.transfer != nil && p.transfer.snapshot == n.outgoing
	}
	if !isNeeded {
		n.outgoing = nil
	}
}

// stepSnapshot takes a snapshot in one message.
func (n *Node) stepSnapshot(m *schema.Raft) {
	n.followSender(m)
	n.installSnapshot(m, m.Snapshot)
}

// stepSnapshotPart adds a part to the snapshot that is being received, answers how much of it is here, and installs
// it once it is whole.
func (n *Node) stepSnapshotPart(m *schema.Raft) {
	n.followSender(m)
	part := m.GetPart()
	if part == nil || part.Size > constants.MaxSnapshotBytes || part.Offset+uint64(len(part.Payload)) > part.Size {
		return
	}
	if Index(part.Index) <= n.log.committed {
		n.incoming = nil
		n.sendAppendResponse(m, n.log.committed)
		return
	}
	if n.incoming == nil || !n.incoming.isOf(part) {
		n.incoming = &incomingSnapshot{first: part}
	}
	if part.Offset == uint64(len(n.incoming.payload)) {
		n.incoming.payload = append(n.incoming.payload, part.Payload...)
	}
	received := uint64(len(n.incoming.payload))
	if received < part.Size {
		n.sendPartResponse(m, received)
		return
	}
	snapshot := decodeSnapshot(part, n.incoming.payload)
	n.incoming = nil
	if snapshot == nil {
		n.sendPartResponse(m, 0)
		return
	}
	n.installSnapshot(m, snapshot)
}

func (n *Node) sendPartResponse(m *schema.Raft, received uint64) {
	n.send(&schema.Raft{Kind: schema.RaftKind_RAFT_SNAPSHOT_PART_RESPONSE, To: m.From, Round: m.Round,
		Index: m.Part.Index, Hint: received})
}

// decodeSnapshot returns the snapshot of which a part was the last to arrive, or nil where its bytes are not those
// that were sent.
func decodeSnapshot(part *schema.SnapshotPart, payload []byte) *schema.Snapshot {
	snapshot := &schema.Snapshot{}
	if crc32.Checksum(payload, castagnoli) != part.Checksum {
		return nil
	}
	if proto.Unmarshal(payload, snapshot) != nil || snapshot.Index != part.Index {
		return nil
	}
	return snapshot
}

// installSnapshot replaces the log by a snapshot, unless the log has as much already. Ready hands it out, to be
// written and applied.
func (n *Node) installSnapshot(m *schema.Raft, snapshot *schema.Snapshot) {
	if Index(snapshot.Index) <= n.log.committed {
		n.sendAppendResponse(m, n.log.committed)
		return
	}
	n.log.restore(snapshot)
	n.installing, n.isInstalling = snapshot, true
	n.sendAppendResponse(m, Index(snapshot.Index))
}
