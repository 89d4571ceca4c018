package statemachine

import (
	"errors"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// newerFleet is more than any program of now speaks.
const newerFleet = 1 << 30

func zoneRow(name string) *schema.Row {
	return store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: "r"})
}

func fleetRow() *schema.Row {
	return store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: newerFleet})
}

func entityRow(number uint64, isFenced bool) *schema.Row {
	return store.EncodeRow(store.EntityKey("copper", "/x"), &schema.Entity{Service: "copper", Path: "/x", Region: "r", Number: number, Fenced: isFenced})
}

func TestApplyStopsAtAnUnknownKind(t *testing.T) {
	m := newMachine()
	unknown := &schema.LogItem{Index: 2, Record: &schema.Record{Kind: 9999}}
	applied, err := m.Apply([]*schema.LogItem{itemOf(1, zoneRow("a")), unknown, itemOf(3, zoneRow("b"))})
	var kind *protocolversion.KindError
	if !errors.As(err, &kind) || kind.Index != 2 || kind.Kind != 9999 {
		t.Fatalf("%v", err)
	}
	if len(applied) != 1 || m.Version() != 1 {
		t.Errorf("%d items are applied, up to %d", len(applied), m.Version())
	}
}

func TestARecordWhoseGuardFailsIsVoid(t *testing.T) {
	m := newMachine()
	item := itemOf(1, zoneRow("a"))
	item.Record.Guards = []*schema.Guard{{Key: store.ZoneKey("a"), Index: 7}}
	applied := applyAll(t, m, item)
	if applied[0].Void == nil || len(applied[0].Rows) != 0 {
		t.Errorf("%+v", applied[0])
	}
	if m.Version() != 1 || m.View().Zones["a"] != nil {
		t.Errorf("version %d, zones %v", m.Version(), m.View().Zones)
	}
}

func TestPublishTellsOfOperatorsChanges(t *testing.T) {
	for _, c := range []struct {
		name string
		row  *schema.Row
		want bool
	}{
		{"a zone", zoneRow("a"), true},
		{"the configuration's head", store.EncodeRow(store.CatalogHeadKey, &schema.CatalogHead{Version: 1}), true},
		{"a node", store.EncodeRow(store.NodeKey("n"), &schema.Node{Id: "n"}), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine()
			applied, err := m.Apply([]*schema.LogItem{itemOf(1, c.row)})
			if err != nil {
				t.Fatal(err)
			}
			got, err := m.Publish(0, applied[0].Rows)
			if err != nil || got != c.want {
				t.Errorf("%v, %v, want %v", got, err, c.want)
			}
		})
	}
}

func TestAFleetThatIsTooNewIsAnError(t *testing.T) {
	snapshot := &schema.Snapshot{Index: 1, Rows: []*schema.Row{fleetRow()}}
	for name, take := range map[string]func(*Machine) error{
		"loaded":   func(m *Machine) error { return m.Load(0, snapshot) },
		"restored": func(m *Machine) error { return m.Restore(0, snapshot) },
		"published": func(m *Machine) error {
			applied, err := m.Apply([]*schema.LogItem{itemOf(1, fleetRow())})
			if err != nil {
				return err
			}
			_, err = m.Publish(0, applied[0].Rows)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var fleet *protocolversion.FleetError
			if err := take(newMachine()); !errors.As(err, &fleet) {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestRestoreReplacesTheStateAndItsFences(t *testing.T) {
	m := newMachine()
	applyAll(t, m, itemOf(1, zoneRow("old"), entityRow(1, true)))
	if len(m.Fences()) != 1 {
		t.Fatalf("fences %v", m.Fences())
	}
	if err := m.Restore(time.Hour, &schema.Snapshot{Index: 9, Rows: []*schema.Row{zoneRow("new")}}); err != nil {
		t.Fatal(err)
	}
	if m.View().Zones["old"] != nil || m.View().Zones["new"] == nil || m.Version() != 9 || len(m.Fences()) != 0 {
		t.Errorf("zones %v, version %d, fences %v", m.View().Zones, m.Version(), m.Fences())
	}
	if m.NeedsSnapshot(constants.RaftLogBytes + 1) {
		t.Error("a snapshot is needed although the state came from one")
	}
}

func TestASnapshotIsNeededOnceTheLogIsLong(t *testing.T) {
	for _, c := range []struct {
		name     string
		version  raft.Index
		written  raft.Index
		logBytes int
		want     bool
	}{
		{"nothing is applied since", 5, 5, constants.RaftLogBytes + 1, false},
		{"little is applied since", 5, 4, 0, false},
		{"the log has many bytes", 5, 4, constants.RaftLogBytes + 1, true},
		{"the log has many items", 4 + constants.RaftSnapshotEvery, 4, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine()
			if err := m.Load(0, &schema.Snapshot{Index: uint64(c.version)}); err != nil {
				t.Fatal(err)
			}
			m.SnapshotWritten(c.written)
			if got := m.NeedsSnapshot(c.logBytes); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestFencesFollowTheRows(t *testing.T) {
	key := store.EntityKey("copper", "/x")
	m := newMachine()
	step := func(index uint64, now time.Duration, row *schema.Row) {
		t.Helper()
		applied, err := m.Apply([]*schema.LogItem{itemOf(index, row)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Publish(now, applied[0].Rows); err != nil {
			t.Fatal(err)
		}
	}
	step(1, time.Second, entityRow(1, true))
	before := m.Fences()
	if before[key] != time.Second || m.NewestFence() != 1 || len(m.Opened()) != 0 {
		t.Errorf("fenced: %v, newest %d, opened %v", before, m.NewestFence(), m.Opened())
	}
	step(2, 2*time.Second, entityRow(1, false))
	if len(m.Fences()) != 0 || m.NewestFence() != 0 || m.Opened()[key] != 2*time.Second {
		t.Errorf("open: %v, newest %d, opened %v", m.Fences(), m.NewestFence(), m.Opened())
	}
	if len(before) != 1 {
		t.Error("a map that was handed out is changed")
	}
	step(3, 3*time.Second, entityRow(1, false))
	if m.Opened()[key] != 2*time.Second {
		t.Errorf("the same number again: opened %v", m.Opened())
	}
	step(4, 4*time.Second, entityRow(2, false))
	if m.Opened()[key] != 4*time.Second {
		t.Errorf("another number: opened %v", m.Opened())
	}
}

func TestFreshnessFollowsWhatIsConfirmed(t *testing.T) {
	m := newMachine()
	expect := func(when string, freshAt, behindSince time.Duration) {
		t.Helper()
		if m.FreshAt() != freshAt || m.BehindSince() != behindSince {
			t.Errorf("%s: fresh at %v, behind since %v, want %v and %v", when, m.FreshAt(), m.BehindSince(), freshAt, behindSince)
		}
	}
	m.Refresh(time.Second)
	expect("no commit is known", 0, 0)
	m.ObserveCommit(1)
	m.Confirm(1, 2*time.Second)
	m.Refresh(3 * time.Second)
	m.Refresh(4 * time.Second)
	expect("behind", 0, 3*time.Second)
	applyAll(t, m, itemOf(1, zoneRow("a")))
	m.Refresh(5 * time.Second)
	expect("caught up", 2*time.Second, 0)
	m.ObserveCommit(0)
	m.Refresh(6 * time.Second)
	expect("a leader that knows less", 2*time.Second, 0)
	m.ObserveCommit(2)
	m.Confirm(2, 6*time.Second)
	m.Refresh(7 * time.Second)
	m.ObserveCommit(3)
	m.Confirm(3, 8*time.Second)
	m.Refresh(9 * time.Second)
	expect("behind again", 2*time.Second, 7*time.Second)
	applyAll(t, m, itemOf(2, zoneRow("b")))
	m.Refresh(10 * time.Second)
	expect("the confirmation that was awaited is reached, a newer one is not", 6*time.Second, 7*time.Second)
	applyAll(t, m, itemOf(3, zoneRow("c")))
	m.Refresh(11 * time.Second)
	expect("both are reached", 8*time.Second, 0)
	m.Confirm(3, 4*time.Second)
	m.Refresh(12 * time.Second)
	expect("an older word", 8*time.Second, 0)
}
