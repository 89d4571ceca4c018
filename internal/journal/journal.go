// Package journal keeps a voter's log on a ring of preallocated files and its snapshots in two areas.
package journal

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"sort"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

// Area is one preallocated file.
type Area interface {
	ReadAt(p []byte, at int64) (int, error)
	WriteAt(p []byte, at int64) (int, error)
	Sync() error
	Size() int64
}

// Disk gives the named areas; an area that isn't there is made at that size, all zero.
type Disk interface {
	Area(name string, size int64) (Area, error)
}

// Options size the ring.
type Options struct {
	Files         int
	FileBytes     int64
	SnapshotBytes int64
	// Speaks are the versions whose disks are read; the zero value is the program's own.
	Speaks protocolversion.Span
}

// DefaultOptions are the sizes in the constants.
func DefaultOptions() Options {
	return Options{Files: constants.JournalFiles, FileBytes: constants.JournalFileBytes, SnapshotBytes: constants.SnapshotFileBytes}
}

// Sized are sizes that fit a disk of so many bytes with room to spare; 0 is no bound.
func Sized(disk int64) Options {
	options := DefaultOptions()
	if disk > 0 {
		options.FileBytes = min(options.FileBytes, disk/constants.JournalDiskParts)
		options.SnapshotBytes = min(options.SnapshotBytes, 2*disk/constants.JournalDiskParts)
	}
	return options
}

// Fits tells whether a record, packed, fits a ring file.
func (o Options) Fits(record *schema.Record) bool {
	size := int64(proto.Size(record))
	if size > constants.FrameLimit-constants.JournalMargin {
		return false
	}
	if size > o.FileBytes-constants.JournalMargin {
		payload, err := proto.Marshal(record)
		if err != nil {
			return false
		}
		size = int64(len(pack(payload)))
	}
	return size <= o.FileBytes-constants.JournalMargin
}

// FitsSnapshot tells whether a snapshot, packed, fits its area with a quarter to spare: rows that no operator puts are added to it later.
func (o Options) FitsSnapshot(snapshot *schema.Snapshot) bool {
	limit := (o.SnapshotBytes - snapshotHead) * 3 / 4
	if int64(proto.Size(snapshot)) <= limit {
		return true
	}
	text, err := proto.Marshal(snapshot)
	return err == nil && int64(len(pack(text))) <= limit
}

func pack(text []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("pack: %v", err))
	}
	writer.Write(text)
	writer.Close()
	return packed.Bytes()
}

func unpack(text []byte) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(text)), 64*constants.FrameLimit))
}

// CorruptError says that a record before the tail is bad, so that something accepted may be gone.
type CorruptError struct {
	File   string
	Offset int64
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal %s has a bad record at byte %d before its tail; this machine gives up its identity and rejoins empty", e.File, e.Offset)
}

// FullError says that the ring has no released file.
type FullError struct{}

func (e *FullError) Error() string {
	return "the journal ring is full; an image must be written before more is logged"
}

// LargeError says that a snapshot does not fit its area.
type LargeError struct{ Size, Limit int64 }

func (e *LargeError) Error() string {
	return fmt.Sprintf("an image of %d bytes does not fit its area of %d; raise the image area or put fewer entries", e.Size, e.Limit)
}

// State is what a journal held when it was opened.
type State struct {
	Hard     *schema.HardState
	Snapshot *schema.Snapshot
	Items    []*schema.LogItem
	Torn     bool
}

const (
	recordHead    = 24
	kindHard      = 1
	kindItem      = 2
	kindPacked    = 3
	fileMagic     = 0x7a5d0001
	snapshotMagic = 0x7a5d0002
	packedMagic   = 0x7a5d0003
	fileHead      = 24
	snapshotHead  = 32
	recordGuard   = 0x7a5d
	magicFamily   = 0x7a5d
)

var table = crc32.MakeTable(crc32.Castagnoli)

type ringFile struct {
	name       string
	area       Area
	generation uint64
	lastIndex  raft.Index
	end        int64
}

// Journal is the open ring.
type Journal struct {
	options       Options
	files         []*ringFile
	snapshots     [2]Area
	snapshotNext  int
	snapshotIndex raft.Index
	serial        uint64
	// synced is the serial of the newest record that is certainly on disk: those above it are one batch.
	synced  uint64
	current int
	hard    *schema.HardState
}

// Open reads everything back, cuts a torn tail and reports a bad record before it.
func Open(disk Disk, options Options) (*Journal, *State, error) {
	j := &Journal{options: options, hard: &schema.HardState{}}
	state := &State{Hard: &schema.HardState{}}
	for i := range options.Files {
		name := fmt.Sprintf("ring-%d", i)
		area, err := disk.Area(name, options.FileBytes)
		if err != nil {
			return nil, nil, err
		}
		j.files = append(j.files, &ringFile{name: name, area: area, end: fileHead})
	}
	var serials [2]uint64
	var snapshotFaults int
	for i := range j.snapshots {
		area, err := disk.Area(fmt.Sprintf("image-%d", i), options.SnapshotBytes)
		if err != nil {
			return nil, nil, err
		}
		j.snapshots[i] = area
		snapshot, serial, err := readSnapshot(area)
		var newer *protocolversion.DiskError
		if errors.As(err, &newer) {
			return nil, nil, newer
		}
		if err == nil {
			if err := protocolversion.CheckDisk(options.Speaks.OrOwn(), "a snapshot", protocolversion.Version(snapshot.GetVersion())); err != nil {
				return nil, nil, err
			}
		}
		if err != nil {
			snapshotFaults++
			continue
		}
		serials[i] = serial
		if snapshot != nil && (state.Snapshot == nil || snapshot.Index > state.Snapshot.Index) {
			state.Snapshot = snapshot
			j.snapshotNext = 1 - i
		}
	}
	if state.Snapshot != nil {
		j.snapshotIndex = raft.Index(state.Snapshot.Index)
	}
	if err := j.readRing(state); err != nil {
		return nil, nil, err
	}
	if err := protocolversion.CheckDisk(options.Speaks.OrOwn(), "the journal", protocolversion.Version(state.Hard.Version)); err != nil {
		return nil, nil, err
	}
	if len(state.Items) > 0 && raft.Index(state.Items[0].Index) > j.snapshotIndex+1 {
		return nil, nil, &CorruptError{"image", 0}
	}
	if snapshotFaults == 2 && state.Hard.Id != "" {
		return nil, nil, &CorruptError{"image", 0}
	}
	for len(state.Items) > 0 && raft.Index(state.Items[0].Index) <= j.snapshotIndex {
		state.Items = state.Items[1:]
	}
	if len(state.Items) > 0 && state.Snapshot != nil && state.Items[0].Term < state.Snapshot.Term {
		state.Items = nil
	}
	j.hard = proto.Clone(state.Hard).(*schema.HardState)
	return j, state, nil
}

func readSnapshot(area Area) (*schema.Snapshot, uint64, error) {
	head := make([]byte, snapshotHead)
	if _, err := area.ReadAt(head, 0); err != nil {
		return nil, 0, err
	}
	if bytes.Equal(head, make([]byte, snapshotHead)) {
		return nil, 0, nil
	}
	size := binary.BigEndian.Uint64(head[8:])
	isPacked := binary.BigEndian.Uint32(head) == packedMagic
	if binary.BigEndian.Uint16(head) == magicFamily && binary.BigEndian.Uint16(head[2:]) > packedMagic&0xffff {
		return nil, 0, &protocolversion.DiskError{What: "a snapshot", Own: protocolversion.Own}
	}
	if !isPacked && binary.BigEndian.Uint32(head) != snapshotMagic || int64(size) > area.Size()-snapshotHead {
		return nil, 0, &CorruptError{"image", 0}
	}
	text := make([]byte, size)
	if _, err := area.ReadAt(text, snapshotHead); err != nil {
		return nil, 0, err
	}
	if crc32.Checksum(text, table) != binary.BigEndian.Uint32(head[4:]) {
		return nil, 0, &CorruptError{"image", snapshotHead}
	}
	whole := text
	if isPacked {
		var err error
		if whole, err = unpack(text); err != nil {
			return nil, 0, &CorruptError{"image", snapshotHead}
		}
	}
	snapshot := &schema.Snapshot{}
	if err := proto.Unmarshal(whole, snapshot); err != nil {
		return nil, 0, &CorruptError{"image", snapshotHead}
	}
	return snapshot, snapshot.Index, nil
}

func (j *Journal) readRing(state *State) error {
	type found struct {
		file *ringFile
		slot int
	}
	var order []found
	for slot, file := range j.files {
		head := make([]byte, fileHead)
		if _, err := file.area.ReadAt(head, 0); err != nil {
			return fmt.Errorf("read %s: %w", file.name, err)
		}
		if binary.BigEndian.Uint32(head) != fileMagic || crc32.Checksum(head[8:], table) != binary.BigEndian.Uint32(head[4:]) {
			if !bytes.Equal(head, make([]byte, fileHead)) {
				state.Torn = true
			}
			continue
		}
		file.generation = binary.BigEndian.Uint64(head[8:])
		order = append(order, found{file, slot})
	}
	sort.Slice(order, func(a, b int) bool { return order[a].file.generation < order[b].file.generation })
	newest := uint64(0)
	if len(order) > 0 {
		newest = order[len(order)-1].file.generation
	}
	for _, file := range j.files {
		if file.generation > 0 {
			continue
		}
		text := make([]byte, file.area.Size())
		if _, err := file.area.ReadAt(text, 0); err != nil {
			return fmt.Errorf("read %s: %w", file.name, err)
		}
		if _, _, _, _, isGood := parse(text, fileHead, newest+1); isGood {
			return &CorruptError{file.name, 0}
		}
	}
	var last uint64
	isFirst := true
	for i, it := range order {
		if i > 0 && it.file.generation != order[i-1].file.generation+1 {
			return &CorruptError{it.file.name, 0}
		}
		text := make([]byte, it.file.area.Size())
		if _, err := it.file.area.ReadAt(text, 0); err != nil {
			return fmt.Errorf("read %s: %w", it.file.name, err)
		}
		at := int64(fileHead)
		for {
			payload, kind, serial, size, isGood := parse(text, at, it.file.generation)
			if !isGood || (!isFirst && serial != last+1) {
				break
			}
			isFirst = false
			last = serial
			var newer *protocolversion.DiskError
			if err := it.file.take(state, kind, payload); errors.As(err, &newer) {
				return newer
			} else if err != nil {
				return &CorruptError{it.file.name, at}
			}
			at += size
		}
		it.file.end = at
		isLast := i == len(order)-1
		if isLast {
			isCut, err := it.file.cutTail(text, at, last)
			if err != nil {
				return err
			}
			state.Torn = state.Torn || isCut
			if at+recordHead <= int64(len(text)) && binary.BigEndian.Uint16(text[at:]) == recordGuard && binary.BigEndian.Uint64(text[at+12:]) == last+1 {
				state.Torn = true
			}
		} else {
			next := make([]byte, it.file.area.Size())
			if _, err := order[i+1].file.area.ReadAt(next, 0); err != nil {
				return fmt.Errorf("read %s: %w", order[i+1].file.name, err)
			}
			if _, _, serial, _, isGood := parse(next, fileHead, order[i+1].file.generation); isGood && serial != last+1 {
				return &CorruptError{it.file.name, at}
			}
		}
		j.current = it.slot
	}
	j.serial, j.synced = last, last
	return nil
}

// cutTail looks for records behind the place where the file's records end, of which the newest is the last. Those of the batch that was being
// written when the power went may stand there although one before them is lost: nothing rests on them, and they are erased, so that they never
// seem to follow what is written there next. A record of a later batch proves that a synced one is lost.
func (f *ringFile) cutTail(text []byte, at int64, last uint64) (isCut bool, err error) {
	var stray []int64
	for probe := at; probe+recordHead <= int64(len(text)); probe++ {
		if binary.BigEndian.Uint16(text[probe:]) != recordGuard {
			continue
		}
		_, _, serial, _, isGood := parse(text, probe, f.generation)
		if !isGood || serial <= last {
			continue
		}
		if serial-batchPosition(text[probe:]) > last+1 {
			return false, &CorruptError{f.name, at}
		}
		stray = append(stray, probe)
	}
	for _, probe := range stray {
		if _, err := f.area.WriteAt(make([]byte, recordHead), probe); err != nil {
			return false, fmt.Errorf("erase what a power loss left in %s: %w", f.name, err)
		}
	}
	if len(stray) == 0 {
		return false, nil
	}
	return true, f.area.Sync()
}

// batchPosition tells how many records were written before this one since the last sync. Disks of earlier programs do not tell: 0 takes each
// record for a batch of its own, as these programs did.
func batchPosition(head []byte) uint64 {
	position := binary.BigEndian.Uint16(head[20:])
	if binary.BigEndian.Uint16(head[22:]) != ^position {
		return 0
	}
	return uint64(position)
}

func (f *ringFile) take(state *State, kind byte, payload []byte) error {
	if kind == kindPacked {
		whole, err := unpack(payload)
		if err != nil {
			return err
		}
		kind, payload = kindItem, whole
	}
	switch kind {
	case kindHard:
		hard := &schema.HardState{}
		if err := proto.Unmarshal(payload, hard); err != nil {
			return err
		}
		state.Hard = hard
	case kindItem:
		item := &schema.LogItem{}
		if err := proto.Unmarshal(payload, item); err != nil {
			return err
		}
		for len(state.Items) > 0 && state.Items[len(state.Items)-1].Index >= item.Index {
			state.Items = state.Items[:len(state.Items)-1]
		}
		if len(state.Items) > 0 && state.Items[len(state.Items)-1].Index+1 != item.Index {
			state.Items = nil
		}
		state.Items = append(state.Items, item)
		f.lastIndex = max(f.lastIndex, raft.Index(item.Index))
	default:
		return &protocolversion.DiskError{What: "a record of the journal", Own: protocolversion.Own}
	}
	return nil
}

func parse(text []byte, at int64, generation uint64) (payload []byte, kind byte, serial uint64, size int64, isGood bool) {
	if at+recordHead > int64(len(text)) || binary.BigEndian.Uint16(text[at:]) != recordGuard {
		return
	}
	kind = text[at+2]
	length := int64(binary.BigEndian.Uint32(text[at+4:]))
	sum := binary.BigEndian.Uint32(text[at+8:])
	serial = binary.BigEndian.Uint64(text[at+12:])
	size = recordHead + length
	if at+size > int64(len(text)) {
		return
	}
	payload = text[at+recordHead : at+size]
	return payload, kind, serial, size, checksum(generation, kind, serial, payload) == sum
}

func checksum(generation uint64, kind byte, serial uint64, payload []byte) uint32 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[:], generation)
	binary.BigEndian.PutUint64(head[8:], serial)
	head[16] = kind
	return crc32.Update(crc32.Checksum(head[:], table), table, payload)
}

func (j *Journal) record(kind byte, message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode journal record: %w", err)
	}
	if len(payload) > constants.PackFrom && kind == kindItem {
		kind, payload = kindPacked, pack(payload)
	}
	j.serial++
	text := make([]byte, recordHead+len(payload))
	binary.BigEndian.PutUint16(text, recordGuard)
	text[2] = kind
	binary.BigEndian.PutUint32(text[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(text[8:], checksum(j.files[j.current].generation, kind, j.serial, payload))
	binary.BigEndian.PutUint64(text[12:], j.serial)
	position := uint16(min(j.serial-j.synced-1, math.MaxUint16))
	binary.BigEndian.PutUint16(text[20:], position)
	binary.BigEndian.PutUint16(text[22:], ^position)
	copy(text[recordHead:], payload)
	return text, nil
}

func (j *Journal) turn() error {
	slot := j.current
	if j.files[j.current].generation > 0 {
		slot = (j.current + 1) % len(j.files)
	}
	file := j.files[slot]
	if file.generation > 0 && file.lastIndex > j.snapshotIndex {
		return &FullError{}
	}
	file.generation = j.files[j.current].generation + 1
	file.lastIndex = 0
	file.end = fileHead
	head := make([]byte, fileHead)
	binary.BigEndian.PutUint32(head, fileMagic)
	binary.BigEndian.PutUint64(head[8:], file.generation)
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(head[8:], table))
	if j.files[j.current] != file {
		if err := j.sync(); err != nil {
			return err
		}
	}
	j.current = slot
	if _, err := file.area.WriteAt(head, 0); err != nil {
		return err
	}
	if err := file.area.Sync(); err != nil {
		return err
	}
	return j.put(kindHard, j.hard, 0)
}

func (j *Journal) put(kind byte, message proto.Message, index raft.Index) error {
	file := j.files[j.current]
	serial := j.serial
	text, err := j.record(kind, message)
	if err != nil {
		return err
	}
	if file.generation == 0 || file.end+int64(len(text)) > file.area.Size() {
		j.serial = serial
		if int64(len(text)) > j.options.FileBytes-fileHead-4096 {
			return &LargeError{int64(len(text)), j.options.FileBytes}
		}
		if err := j.turn(); err != nil {
			return err
		}
		return j.put(kind, message, index)
	}
	if _, err := file.area.WriteAt(text, file.end); err != nil {
		return err
	}
	file.end += int64(len(text))
	file.lastIndex = max(file.lastIndex, index)
	return nil
}

// Append writes the state and items and returns after they are synced.
func (j *Journal) Append(hard *schema.HardState, items []*schema.LogItem) error {
	if hard != nil && !proto.Equal(hard, j.hard) {
		j.hard = proto.Clone(hard).(*schema.HardState)
		if err := j.put(kindHard, j.hard, 0); err != nil {
			return err
		}
	} else if len(items) == 0 {
		return nil
	}
	for _, item := range items {
		if err := j.put(kindItem, item, raft.Index(item.Index)); err != nil {
			return err
		}
	}
	return j.sync()
}

func (j *Journal) sync() error {
	if err := j.files[j.current].area.Sync(); err != nil {
		return err
	}
	j.synced = j.serial
	return nil
}

// WriteSnapshot writes a whole snapshot to the older area, reads it back, and releases the files behind it.
func (j *Journal) WriteSnapshot(snapshot *schema.Snapshot) error {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return fmt.Errorf("encode image: %w", err)
	}
	text = pack(text)
	if int64(len(text)) > j.options.SnapshotBytes-snapshotHead {
		return &LargeError{int64(len(text)), j.options.SnapshotBytes}
	}
	area := j.snapshots[j.snapshotNext]
	head := make([]byte, snapshotHead)
	binary.BigEndian.PutUint32(head, packedMagic)
	binary.BigEndian.PutUint32(head[4:], crc32.Checksum(text, table))
	binary.BigEndian.PutUint64(head[8:], uint64(len(text)))
	if _, err := area.WriteAt(append(head, text...), 0); err != nil {
		return fmt.Errorf("write image: %w", err)
	}
	if err := area.Sync(); err != nil {
		return fmt.Errorf("sync image: %w", err)
	}
	read, _, err := readSnapshot(area)
	if err != nil {
		return errors.Join(errors.New("image differs from what was written; check the disk"), err)
	}
	j.snapshotIndex = raft.Index(read.Index)
	j.snapshotNext = 1 - j.snapshotNext
	return nil
}

// SnapshotIndex is the index of the newest snapshot on disk.
func (j *Journal) SnapshotIndex() raft.Index { return j.snapshotIndex }

// NeedsSnapshot tells whether the next file of the ring is still held.
func (j *Journal) NeedsSnapshot() bool {
	held := 0
	for _, file := range j.files {
		if file.generation > 0 && file.lastIndex > j.snapshotIndex {
			held++
		}
	}
	return held >= len(j.files)-1
}
