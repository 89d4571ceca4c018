package journal

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
)

// The format on disk. All numbers are big-endian; checksums are CRC-32C.
//
// Segment header, 24 bytes: magic (4), checksum of the rest (4), generation (8), zero (8).
//
// Record, header of 24 bytes: guard (2), kind (1), zero (1), payload length (4), checksum (4), serial (8), position in the
// batch (2), its complement (2); then the payload. The checksum covers generation, serial, kind and payload.
//
// Snapshot area, header of 32 bytes: magic (4), checksum of the payload (4), payload length (8), zero (16); then the
// payload, compressed where the magic says so.
const (
	segmentHeaderBytes  = 24
	recordHeaderBytes   = 24
	snapshotHeaderBytes = 32

	recordGuard             = 0x7a5d
	magicFamily             = 0x7a5d
	segmentMagic            = magicFamily<<16 | 1
	snapshotMagic           = magicFamily<<16 | 2
	compressedSnapshotMagic = magicFamily<<16 | 3
	// newestSnapshotMagic is the highest low half that this program reads; higher ones are newer formats.
	newestSnapshotMagic = compressedSnapshotMagic & 0xffff
)

// maxUncompressedBytes bounds what a compressed payload may grow to.
const maxUncompressedBytes = 64 * constants.FrameLimit

// generation counts how often the ring's segments were begun; it tells the newest segment and voids older records in it.
type generation uint64

// serial numbers all records of a journal without gaps.
type serial uint64

// recordKind says what a record's payload is.
type recordKind byte

const (
	hardStateRecord       recordKind = 1
	entryRecord           recordKind = 2
	compressedEntryRecord recordKind = 3
)

// record is one record as it stands on disk.
type record struct {
	kind   recordKind
	serial serial
	// batchPosition is how many records were written before this one since the last sync. Disks of earlier programs don't
	// tell: 0 takes each record for a batch of its own, as these programs wrote them.
	batchPosition uint16
	payload       []byte
}

func (r record) size() int64 { return recordHeaderBytes + int64(len(r.payload)) }

func (r record) encode(generation generation) []byte {
	data := make([]byte, r.size())
	binary.BigEndian.PutUint16(data, recordGuard)
	data[2] = byte(r.kind)
	binary.BigEndian.PutUint32(data[4:], uint32(len(r.payload)))
	binary.BigEndian.PutUint32(data[8:], r.checksum(generation))
	binary.BigEndian.PutUint64(data[12:], uint64(r.serial))
	binary.BigEndian.PutUint16(data[20:], r.batchPosition)
	binary.BigEndian.PutUint16(data[22:], ^r.batchPosition)
	copy(data[recordHeaderBytes:], r.payload)
	return data
}

func (r record) checksum(generation generation) uint32 {
	var covered [17]byte
	binary.BigEndian.PutUint64(covered[:], uint64(generation))
	binary.BigEndian.PutUint64(covered[8:], uint64(r.serial))
	covered[16] = byte(r.kind)
	return crc32.Update(checksum(covered[:]), castagnoli, r.payload)
}

// parseRecord reads the record at an offset of a segment, or returns false where there is no whole record of its
// generation.
func parseRecord(segment []byte, offset int64, generation generation) (record, bool) {
	if !hasRecordGuard(segment, offset) {
		return record{}, false
	}
	header := segment[offset : offset+recordHeaderBytes]
	end := offset + recordHeaderBytes + int64(binary.BigEndian.Uint32(header[4:]))
	if end > int64(len(segment)) {
		return record{}, false
	}
	r := record{
		kind:          recordKind(header[2]),
		serial:        headerSerial(header),
		batchPosition: headerBatchPosition(header),
		payload:       segment[offset+recordHeaderBytes : end],
	}
	return r, r.checksum(generation) == binary.BigEndian.Uint32(header[8:])
}

// hasRecordGuard tells whether something that begins like a record stands at an offset.
func hasRecordGuard(segment []byte, offset int64) bool {
	return offset+recordHeaderBytes <= int64(len(segment)) && binary.BigEndian.Uint16(segment[offset:]) == recordGuard
}

func headerSerial(header []byte) serial { return serial(binary.BigEndian.Uint64(header[12:])) }

func headerBatchPosition(header []byte) uint16 {
	position := binary.BigEndian.Uint16(header[20:])
	if binary.BigEndian.Uint16(header[22:]) != ^position {
		return 0
	}
	return position
}

func encodeSegmentHeader(generation generation) []byte {
	header := make([]byte, segmentHeaderBytes)
	binary.BigEndian.PutUint32(header, segmentMagic)
	binary.BigEndian.PutUint64(header[8:], uint64(generation))
	binary.BigEndian.PutUint32(header[4:], checksum(header[8:]))
	return header
}

// parseSegmentHeader returns a segment's generation, or false where the header is not whole.
func parseSegmentHeader(header []byte) (generation, bool) {
	if binary.BigEndian.Uint32(header) != segmentMagic || checksum(header[8:]) != binary.BigEndian.Uint32(header[4:]) {
		return 0, false
	}
	return generation(binary.BigEndian.Uint64(header[8:])), true
}

// snapshotHeader describes the payload of a snapshot area.
type snapshotHeader struct {
	isCompressed bool
	checksum     uint32
	payloadBytes uint64
}

func (h snapshotHeader) encode() []byte {
	data := make([]byte, snapshotHeaderBytes)
	magic := uint32(snapshotMagic)
	if h.isCompressed {
		magic = compressedSnapshotMagic
	}
	binary.BigEndian.PutUint32(data, magic)
	binary.BigEndian.PutUint32(data[4:], h.checksum)
	binary.BigEndian.PutUint64(data[8:], h.payloadBytes)
	return data
}

// parseSnapshotHeader reads the header of an area of areaBytes. It fails with a protocolversion.DiskError where a newer
// program wrote it, and with a CorruptError where it is damaged.
func parseSnapshotHeader(name string, data []byte, areaBytes int64) (snapshotHeader, error) {
	magic := binary.BigEndian.Uint32(data)
	if magic>>16 == magicFamily && magic&0xffff > newestSnapshotMagic {
		return snapshotHeader{}, &protocolversion.DiskError{What: "a snapshot", Own: protocolversion.Own}
	}
	header := snapshotHeader{
		isCompressed: magic == compressedSnapshotMagic,
		checksum:     binary.BigEndian.Uint32(data[4:]),
		payloadBytes: binary.BigEndian.Uint64(data[8:]),
	}
	if !header.isCompressed && magic != snapshotMagic || int64(header.payloadBytes) > areaBytes-snapshotHeaderBytes {
		return snapshotHeader{}, &CorruptError{name, 0}
	}
	return header, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

func isZero(data []byte) bool { return bytes.Equal(data, make([]byte, len(data))) }

func compress(payload []byte) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("journal: compress: %v", err))
	}
	writer.Write(payload)
	writer.Close()
	return compressed.Bytes()
}

func decompress(payload []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload)), maxUncompressedBytes))
}
