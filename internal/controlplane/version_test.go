package controlplane

import (
	"errors"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type mixedWorld struct {
	machines map[string]*Machine
	names    []string
	cut      map[string]bool
	now      time.Duration
	random   *rand.Rand
}

func (w *mixedWorld) add(name string, speaks protocolversion.Span) {
	self := &schema.Node{Id: "id-" + name, Address: name, Proxy: name, Admin: name, Zone: "z", Region: "r", Disk: name <= "c", Incarnation: 1, State: schema.NodeState_NODE_READY}
	w.machines[name] = New(w.now, Options{Self: self, Seeds: []string{"a", "b", "c"}, Draw: w.random.Int63n, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Speaks: speaks, RiseAfter: 4 * time.Second,
		Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
	w.names = append(w.names, name)
}

func (w *mixedWorld) run(t *testing.T, span time.Duration) {
	for until := w.now + span; w.now < until; w.now += 20 * time.Millisecond {
		for _, name := range w.names {
			if w.cut[name] {
				continue
			}
			control := w.machines[name]
			control.Tick(w.now)
			for range 8 {
				effects := control.Take()
				if !effects.IsWork {
					break
				}
				control.Synced(w.now, effects)
				for _, s := range effects.Sends {
					if to := w.machines[s.To]; to != nil && !w.cut[s.To] {
						to.Receive(w.now, s.Frame)
					}
				}
			}
			for id, node := range control.state.View().Nodes {
				if span, err := protocolversion.ReadSpan(node.SpeaksLow, node.SpeaksHigh); err != nil || !span.Has(control.state.View().FleetVersion) {
					t.Fatalf("%s: the fleet uses %d and node %s speaks %v", name, control.state.View().FleetVersion, id, span)
				}
			}
		}
	}
}

func newMixedWorld(speaks map[string]protocolversion.Span) *mixedWorld {
	w := &mixedWorld{machines: map[string]*Machine{}, cut: map[string]bool{}, now: time.Hour, random: rand.New(rand.NewSource(1))}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		w.add(name, speaks[name])
	}
	return w
}

func TestMixedFleetsRiseOnceAllCanRead(t *testing.T) {
	old, next := protocolversion.Span{Low: 1, High: 1}, protocolversion.Span{Low: 1, High: 3}
	for _, c := range []struct {
		name         string
		speaks       map[string]protocolversion.Span
		unresponsive string
		want         protocolversion.Version
	}{
		{"all new", nil, "", 2},
		{"all old", map[string]protocolversion.Span{"a": old, "b": old, "c": old, "d": old, "e": old}, "", 1},
		{"half-way: an old node without a disk", map[string]protocolversion.Span{"e": old}, "", 1},
		{"half-way: an old voter", map[string]protocolversion.Span{"c": old}, "", 1},
		{"the founder and leader old, the voters new", map[string]protocolversion.Span{"a": old}, "", 1},
		{"the leader new, the voters old", map[string]protocolversion.Span{"b": old, "c": old}, "", 1},
		{"some are further: the highest that all read", map[string]protocolversion.Span{"a": next, "d": next}, "", 2},
		{"a silent voter holds it back", nil, "c", 1},
		{"all further", map[string]protocolversion.Span{"a": next, "b": next, "c": next, "d": next, "e": next}, "", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newMixedWorld(c.speaks)
			w.run(t, 2500*time.Millisecond)
			w.cut[c.unresponsive] = true
			w.run(t, 17500*time.Millisecond)
			for name, control := range w.machines {
				if w.cut[name] {
					continue
				}
				if control.state.View().FleetVersion != c.want || control.refused != nil || len(control.state.View().Nodes) != 5 {
					t.Errorf("%s: the fleet uses %d, %d nodes known, refused %v", name, control.state.View().FleetVersion, len(control.state.View().Nodes), control.refused)
				}
				if voters := control.raft; voters != nil && c.unresponsive == "" && len(voters.Members().Voters) != 3 {
					t.Errorf("%s: %d voters", name, len(voters.Members().Voters))
				}
			}
		})
	}
}

func TestAnOldNodeDoesNotJoinARaisedFleet(t *testing.T) {
	old := protocolversion.Span{Low: 1, High: 1}
	w := newMixedWorld(nil)
	w.run(t, 20*time.Second)
	w.add("b2", old)
	w.add("f", old)
	w.run(t, 5*time.Second)
	for _, name := range []string{"b2", "f"} {
		var fleet *protocolversion.FleetError
		if err := w.machines[name].Refused(); !errors.As(err, &fleet) || fleet.Fleet != 2 {
			t.Errorf("%s: refused with %v", name, err)
		}
		if effects := w.machines[name].Take(); effects.IsWork {
			t.Errorf("%s still works: %v", name, effects)
		}
	}
	landed := &schema.Heartbeat{Serial: 1, Node: &schema.Node{Id: "id-g", Address: "g", Proxy: "g", Admin: "g", Zone: "z", Region: "r", Disk: true, Incarnation: 1, State: schema.NodeState_NODE_READY}}
	for range 20 {
		for _, name := range []string{"a", "b", "c"} {
			control := w.machines[name]
			control.Receive(w.now, &schema.Frame{System: control.bootstrap.System(), From: "id-g", Address: "g", Body: &schema.Frame_Heartbeat{Heartbeat: landed}})
		}
		w.run(t, 400*time.Millisecond)
	}
	for name, control := range w.machines {
		if len(control.state.View().Nodes) != 5 && control.refused == nil {
			t.Errorf("%s knows %d nodes", name, len(control.state.View().Nodes))
		}
		if control.raft != nil && slices.ContainsFunc(slices.Concat(control.raft.Members().Voters, control.raft.Members().Learners), func(m *schema.Member) bool { return m.Id == "id-g" || m.Id == "id-b2" }) {
			t.Errorf("%s has an old member", name)
		}
	}
}

func TestARiseRacedByAJoin(t *testing.T) {
	joined, refused := 0, 0
	for offset := time.Duration(0); offset < 2*time.Second; offset += 100 * time.Millisecond {
		w := newMixedWorld(nil)
		w.run(t, 5*time.Second+offset)
		w.add("f", protocolversion.Span{Low: 1, High: 1})
		w.run(t, 10*time.Second)
		isIn := w.machines["a"].state.View().Nodes["id-f"] != nil
		fleet := w.machines["a"].state.View().FleetVersion
		if isIn {
			joined++
		} else {
			refused++
		}
		if isIn != (w.machines["f"].refused == nil) || isIn != (fleet == 1) {
			t.Errorf("joined after %v: in the table %v, refused %v, fleet at %d", offset, isIn, w.machines["f"].refused, fleet)
		}
	}
	if joined == 0 || refused == 0 {
		t.Errorf("%d joined before the rise and %d came after it; the offsets don't span it", joined, refused)
	}
}

func TestANodeRefusesWhatItDoesNotSpeak(t *testing.T) {
	rows := func(version uint32) []*schema.Row {
		return []*schema.Row{{Key: store.FleetVersionKey, Value: store.EncodeRow(store.FleetVersionKey, &schema.FleetVersion{Version: version}).Value, Index: 3}}
	}
	members := &schema.Members{Voters: []*schema.Member{{Id: "n", Address: "n"}}}
	for _, c := range []struct {
		name     string
		snapshot *schema.Snapshot
		entries  []*schema.LogItem
		want     string
	}{
		{"its own version", &schema.Snapshot{Index: 3, Term: 1, Members: members, Rows: rows(2)}, nil, ""},
		{"a newer snapshot", &schema.Snapshot{Index: 3, Term: 1, Members: members, Rows: rows(3)}, nil, "version 3"},
		{"a newer record in the log", &schema.Snapshot{Index: 3, Term: 1, Members: members}, []*schema.LogItem{{Index: 4, Term: 1, Record: &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: rows(3)}}}, "version 3"},
		{"a kind of record that it doesn't know", &schema.Snapshot{Index: 3, Term: 1, Members: members}, []*schema.LogItem{{Index: 4, Term: 1, Record: &schema.Record{Kind: 77}}}, "unknown kind 77"},
	} {
		t.Run(c.name, func(t *testing.T) {
			control := New(time.Hour, Options{Self: &schema.Node{Id: "n", Address: "n", Zone: "z", Region: "r", Disk: true}, Seeds: []string{"n"}, System: "x", Draw: func(int64) int64 { return 0 },
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Routes: &RouteOptions{LongestLease: time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }},
				HardState: &schema.HardState{Term: 1, Id: "n", System: "x", Commit: 4}, Snapshot: c.snapshot, Entries: c.entries, Restart: true})
			for now := time.Hour; now < time.Hour+5*time.Second; now += 20 * time.Millisecond {
				control.Tick(now)
				effects := control.Take()
				if c.want != "" && effects.IsWork {
					t.Fatalf("a refused node works: %v", effects)
				}
				control.Synced(now, effects)
			}
			if err := control.Refused(); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("refused with %v, want %q", err, c.want)
			}
		})
	}
}
