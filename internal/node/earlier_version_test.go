package node_test

import (
	"archive/tar"
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/proto"

	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/journal"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// earlierDiskBytes is the disk_bytes setting of the machines that wrote the archives; the sizes of their files follow from it.
const earlierDiskBytes = 8 << 20

// readBack is what a data folder holds. Its JSON names belong to the golden files, not to the program: they stay when the program's names change.
type readBack struct {
	Term                uint64                  `json:"term"`
	Vote                string                  `json:"vote"`
	ID                  string                  `json:"id"`
	System              string                  `json:"system"`
	Commit              uint64                  `json:"commit"`
	DiskVersion         uint32                  `json:"disk_version"`
	Torn                bool                    `json:"torn"`
	SnapshotIndex       uint64                  `json:"snapshot_index"`
	SnapshotTerm        uint64                  `json:"snapshot_term"`
	SnapshotDiskVersion uint32                  `json:"snapshot_disk_version"`
	SnapshotRows        rowsRead                `json:"snapshot_rows"`
	LogFirstIndex       uint64                  `json:"log_first_index"`
	LogLastIndex        uint64                  `json:"log_last_index"`
	LogLastTerm         uint64                  `json:"log_last_term"`
	LogEntries          int                     `json:"log_entries"`
	LogMemberChanges    int                     `json:"log_member_changes"`
	LogRefused          []uint64                `json:"log_refused"`
	RestartIndex        uint64                  `json:"restart_index"`
	RestartRows         rowsRead                `json:"restart_rows"`
	RestartVoters       []string                `json:"restart_voters"`
	RestartLearners     []string                `json:"restart_learners"`
	FinalIndex          uint64                  `json:"final_index"`
	FinalRows           rowsRead                `json:"final_rows"`
	Configuration       uint64                  `json:"configuration"`
	DocumentDigest      string                  `json:"document_digest"`
	FleetVersion        protocolversion.Version `json:"fleet_version"`
	Zones               map[string]zoneFacts    `json:"zones"`
	Machines            map[string]bool         `json:"machines_with_disk"`
	Services            []string                `json:"services"`
	Routes              []string                `json:"routes"`
}

// rowsRead tells rows in the order of their keys; the digest covers key, index and value of each.
type rowsRead struct {
	Count  int    `json:"count"`
	SHA256 string `json:"sha256"`
}

type zoneFacts struct {
	Region string `json:"region"`
	Empty  bool   `json:"empty"`
	Reason string `json:"reason,omitempty"`
}

func digestRows(rows []*schema.Row) rowsRead {
	hash := sha256.New()
	for _, row := range rows {
		for _, field := range [][]byte{[]byte(row.Key), binary.BigEndian.AppendUint64(nil, row.Index), row.Value} {
			hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
			hash.Write(field)
		}
	}
	return rowsRead{len(rows), fmt.Sprintf("%x", hash.Sum(nil))}
}

// unpackFolder unpacks a gzipped tar of a data folder's files.
func unpackFolder(t *testing.T, archive string) string {
	t.Helper()
	packed, err := os.Open(archive)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	plain, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for files := tar.NewReader(plain); ; {
		head, err := files.Next()
		if errors.Is(err, io.EOF) {
			return folder
		}
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(files)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(head.Name)), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// withJournal opens a data folder as a machine does that starts, and closes it after use.
func withJournal(t *testing.T, path string, use func(*journal.Journal, *journal.State)) {
	t.Helper()
	folder, err := journal.OpenFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	opened, state, err := journal.Open(folder, journal.OptionsForDisk(earlierDiskBytes))
	if err != nil {
		t.Fatal(err)
	}
	use(opened, state)
	if err := folder.Close(); err != nil {
		t.Fatal(err)
	}
}

// restart gives the whole state of a machine that has just started from what its journal held.
func restart(t *testing.T, state *journal.State, routed *controlplane.RouteOptions) *schema.Snapshot {
	t.Helper()
	restarted := controlplane.New(time.Hour, controlplane.Options{Self: &schema.Node{Id: state.HardState.Id, Address: "here", Disk: true}, System: state.HardState.System, Restart: true,
		HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries, Draw: func(int64) int64 { return 0 }, Log: slog.New(slog.DiscardHandler), Routes: routed})
	if err := restarted.Refused(); err != nil {
		t.Fatal(err)
	}
	return restarted.Snapshot()
}

func ids(members []*schema.Member) []string {
	given := []string{}
	for _, member := range members {
		given = append(given, member.Id+" "+member.Zone)
	}
	return given
}

func describe(t *testing.T, state *journal.State, routed *controlplane.RouteOptions) readBack {
	t.Helper()
	if state.Snapshot == nil || len(state.Entries) == 0 {
		t.Fatal("the data folder has no snapshot or no log after it")
	}
	last := state.Entries[len(state.Entries)-1]
	whole := restart(t, state, routed)
	found := readBack{
		Term: state.HardState.Term, Vote: state.HardState.Vote, ID: state.HardState.Id, System: state.HardState.System, Commit: state.HardState.Commit, DiskVersion: state.HardState.Version, Torn: state.Torn,
		SnapshotIndex: state.Snapshot.Index, SnapshotTerm: state.Snapshot.Term, SnapshotDiskVersion: state.Snapshot.Version, SnapshotRows: digestRows(state.Snapshot.Rows),
		LogFirstIndex: state.Entries[0].Index, LogLastIndex: last.Index, LogLastTerm: last.Term, LogEntries: len(state.Entries), LogRefused: []uint64{},
		RestartIndex: whole.Index, RestartRows: digestRows(whole.Rows), RestartVoters: ids(whole.Members.Voters), RestartLearners: ids(whole.Members.Learners),
		Zones: map[string]zoneFacts{}, Machines: map[string]bool{}, Services: []string{}, Routes: []string{},
	}
	table := store.NewTable()
	table.Restore(state.Snapshot)
	for _, item := range state.Entries {
		if _, err := table.Apply(raft.Index(item.Index), item.Record, failover.Check); err != nil {
			found.LogRefused = append(found.LogRefused, item.Index)
		}
		if item.Record.Kind == schema.RecordKind_RECORD_MEMBERS {
			found.LogMemberChanges++
		}
	}
	found.FinalIndex = uint64(table.Version())
	found.FinalRows = digestRows(table.Rows(store.AllPrefixes))
	describeTable(&found, table)
	return found
}

// describeTable adds what an operator would know again.
func describeTable(found *readBack, table *store.Table) {
	view := store.Compile(table)
	found.Configuration = view.Head.Version
	found.FleetVersion = view.FleetVersion
	if document := store.DecodeRow[schema.CatalogDocument](table.Get(store.CatalogDocumentKey)); document != nil {
		found.DocumentDigest = fmt.Sprintf("%x", sha256.Sum256(document.Document))
	}
	for name, zone := range view.Zones {
		found.Zones[name] = zoneFacts{zone.Region, zone.Emptied, zone.Reason}
	}
	for id, machine := range view.Nodes {
		found.Machines[id+" "+machine.Zone] = machine.Disk
	}
	previous := ""
	table.Each("s/", func(row *schema.Row) {
		service := string(bytes.SplitN([]byte(row.Key), []byte("/"), 3)[1])
		if service != previous {
			found.Services = append(found.Services, service)
		}
		previous = service
	})
	table.Each("route/", func(row *schema.Row) { found.Routes = append(found.Routes, row.Key) })
}

// Data folders written by the program of December 2026 must still give the state that this program read from them, and must take new records.
// The archives hold the files of one follower of each kind of fleet, taken after the whole fleet was killed. The golden files tell what the writer's
// own version read: never update them to make a changed program pass.
func TestReadsDataWrittenByAnEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		routed *controlplane.RouteOptions
	}{
		{"entries", nil},
		{"routes", &controlplane.RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := unpackFolder(t, filepath.Join("testdata", "earlier-"+c.name+".tar.gz"))
			var before readBack
			withJournal(t, path, func(_ *journal.Journal, state *journal.State) { before = describe(t, state, c.routed) })
			text, err := json.MarshalIndent(before, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, "earlier-"+c.name, append(text, '\n'))
			checkGoesOn(t, path, before, c.routed)
		})
	}
}

// checkGoesOn appends to the folder's log, opens it again, writes a snapshot and opens it once more.
func checkGoesOn(t *testing.T, path string, before readBack, routed *controlplane.RouteOptions) {
	t.Helper()
	added := &schema.LogItem{Index: before.LogLastIndex + 1, Term: before.Term + 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_NOTHING}}
	withJournal(t, path, func(opened *journal.Journal, state *journal.State) {
		hardState := proto.Clone(state.HardState).(*schema.HardState)
		hardState.Term, hardState.Vote, hardState.Commit = added.Term, "another", added.Index
		if err := opened.Append(hardState, []*schema.LogItem{added}); err != nil {
			t.Fatal(err)
		}
	})
	var whole *schema.Snapshot
	withJournal(t, path, func(opened *journal.Journal, state *journal.State) {
		after := describe(t, state, routed)
		if after.Term != added.Term || after.Vote != "another" || after.ID != before.ID || after.Commit != added.Index || after.LogLastIndex != added.Index || after.LogEntries != before.LogEntries+1 || after.Torn {
			t.Errorf("after an append the folder gives %+v, before it %+v", after, before)
		}
		if after.FinalIndex != added.Index || after.FinalRows != before.FinalRows || after.SnapshotRows != before.SnapshotRows {
			t.Errorf("after an append the rows are %+v at %d, before it %+v at %d", after.FinalRows, after.FinalIndex, before.FinalRows, before.FinalIndex)
		}
		whole = restart(t, state, routed)
		if err := opened.WriteSnapshot(whole); err != nil {
			t.Fatal(err)
		}
	})
	withJournal(t, path, func(_ *journal.Journal, state *journal.State) {
		if state.Snapshot.Index != whole.Index || digestRows(state.Snapshot.Rows) != digestRows(whole.Rows) {
			t.Errorf("the snapshot written at %d is read back as one at %d", whole.Index, state.Snapshot.Index)
		}
	})
}
