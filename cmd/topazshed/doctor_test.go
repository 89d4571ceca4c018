package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"topazshed/internal/adminapi"
	"topazshed/internal/journal"
	"topazshed/internal/schema"
)

func kinds(findings []Finding) []string {
	var names []string
	for _, finding := range findings {
		if finding.Remedy == "" {
			names = append(names, finding.Kind+" without remedy")
			continue
		}
		if !slices.Contains(names, finding.Kind) {
			names = append(names, finding.Kind)
		}
	}
	slices.Sort(names)
	return names
}

func TestDoctorOnALiveFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(leader, reader *adminapi.Status)
		want   string
	}{
		{"healthy", nil, ""},
		{"nobody leads", func(l, _ *adminapi.Status) { l.Role = "follower" }, "no-quorum"},
		{"too few voters", func(l, _ *adminapi.Status) {
			l.Voters, l.ToleratedLosses, l.UnresponsiveVoters = []string{"a", "x", "y"}, 0, []string{"x", "y"}
			l.Nodes = append(l.Nodes, adminapi.NodeStatus{ID: "x", State: "lost"}, adminapi.NodeStatus{ID: "y", State: "lost"})
		}, "lost-node thin-quorum"},
		{"an older configuration", func(_, r *adminapi.Status) { r.Configuration = 2 }, "differing-versions"},
		{"a stale list", func(l, _ *adminapi.Status) { l.ListMs = 60000 }, "stale-list"},
		{"a list never read", func(l, _ *adminapi.Status) { l.ListMs = -1 }, "stale-list"},
		{"a failing disk", func(l, _ *adminapi.Status) { l.Disk = &adminapi.Disk{Fault: "input/output error"} }, "failing-disk"},
		{"a slow disk", func(l, _ *adminapi.Status) { l.Disk = &adminapi.Disk{WorstMs: 5000} }, "slow-disk"},
		{"a node without fresh state", func(_, r *adminapi.Status) { r.Fit = false }, "unfit-node"},
		{"an entry without a back end", func(l, _ *adminapi.Status) { l.Entries = append(l.Entries, "gates/windows") }, "entry-without-back-end"},
		{"a node that is not reached", func(l, _ *adminapi.Status) {
			l.Nodes = append(l.Nodes, adminapi.NodeStatus{ID: "c", State: "ready", Admin: "127.0.0.1:1"})
		}, "unreachable-node"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			leader := &adminapi.Status{Node: "a", Role: "leader", Term: 3, Fit: true, Configuration: 3, Voters: []string{"a", "p", "q"}, ToleratedLosses: 1, Entries: []string{"ledger/balances"},
				Backends: []adminapi.BackendStatus{{Service: "ledger", State: "ready"}}}
			reader := &adminapi.Status{Node: "b", Role: "reader", Fit: true, Configuration: 3}
			serve := func(s *adminapi.Status) string {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					json.NewEncoder(w).Encode(s)
				}))
				t.Cleanup(server.Close)
				return strings.TrimPrefix(server.URL, "http://")
			}
			admin := serve(leader)
			leader.Nodes = []adminapi.NodeStatus{{ID: "a", State: "ready", Admin: admin}, {ID: "b", State: "ready", Admin: serve(reader)}}
			if c.change != nil {
				c.change(leader, reader)
			}
			if got := strings.Join(kinds(examineFleet(admin, 0)), " "); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestDoctorOnClocks(t *testing.T) {
	for _, c := range []struct {
		name   string
		theirs int64
		blur   int64
		want   string
	}{
		{"the same rate", 2000, 1, ""},
		{"three per cent off", 2060, 1, ""},
		{"six per cent fast", 2120, 1, "clock-rate"},
		{"ten per cent slow", 1800, 1, "clock-rate"},
		{"ten per cent, but the reading is blurred", 1800, 150, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
			before := map[string]clockReading{"a": {ms(1000), ms(50), ms(1)}}
			after := map[string]clockReading{"a": {ms(3000), ms(50 + c.theirs), ms(c.blur)}, "new": {ms(3000), ms(1), ms(1)}}
			if got := strings.Join(kinds(compareClocks(before, after)), " "); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestDoctorOnADataFolder(t *testing.T) {
	write := func(t *testing.T) string {
		folder := filepath.Join(t.TempDir(), "data")
		disk, err := journal.OpenFolder(folder)
		if err != nil {
			t.Fatal(err)
		}
		j, _, err := journal.Open(disk, journal.DefaultOptions())
		if err != nil {
			t.Fatal(err)
		}
		for i := range uint64(5) {
			if err := j.Append(&schema.HardState{Term: 1, Id: "n"}, []*schema.LogItem{{Index: i + 1, Term: 1, Record: &schema.Record{}}}); err != nil {
				t.Fatal(err)
			}
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
		return folder
	}
	for _, c := range []struct {
		name   string
		change func(t *testing.T, folder string)
		want   string
	}{
		{"healthy", nil, ""},
		{"corrupt", func(t *testing.T, folder string) {
			file, err := os.OpenFile(folder+"/ring-0", os.O_RDWR, 0)
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			if _, err := file.WriteAt([]byte("damage"), 60); err != nil {
				t.Fatal(err)
			}
		}, "corrupt-journal"},
		{"in use", func(t *testing.T, folder string) {
			disk, err := journal.OpenFolder(folder)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { disk.Close() })
		}, "data-in-use"},
		{"empty", func(t *testing.T, folder string) {
			if err := os.RemoveAll(folder); err != nil {
				t.Fatal(err)
			}
			if err := os.Mkdir(folder, 0o750); err != nil {
				t.Fatal(err)
			}
		}, "empty-data-folder"},
		{"missing", func(t *testing.T, folder string) {
			if err := os.RemoveAll(folder); err != nil {
				t.Fatal(err)
			}
		}, "no-data-folder"},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := write(t)
			if c.change != nil {
				c.change(t, folder)
			}
			if got := strings.Join(kinds(examineData(folder)), " "); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestDoctorOnSettings(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for _, c := range []struct{ name, text, want string }{
		{"good but alone", `{"peer":"127.0.0.1:7001","proxy":"127.0.0.1:7002","door":"127.0.0.1:7003","district":"a","region":"r","seeds":["127.0.0.1:7001","` + listener.Addr().String() + `","127.0.0.1:1"]}`, "unreachable-seed"},
		{"bad", `{"peer":"here"}`, "bad-settings"},
		{"missing", ``, "bad-settings"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "s.json")
			if c.text != "" {
				if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if got := strings.Join(kinds(examineSettings(file)), " "); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}
