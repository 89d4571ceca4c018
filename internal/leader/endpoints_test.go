package leader

import (
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
)

func TestAListingIsKeptUntilItsRecordIsProposed(t *testing.T) {
	for _, c := range []struct {
		name       string
		items      []discovery.Listed
		isRefusing bool
		isKept     bool
	}{
		{"nothing follows from it", nil, false, false},
		{"its record is proposed", []discovery.Listed{{Service: "s", Instance: "i", Address: "i", Zone: "z", Slots: 1}}, false, false},
		{"its record can't be proposed yet", []discovery.Listed{{Service: "s", Instance: "i", Address: "i", Zone: "z", Slots: 1}}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoutes(&RouteOptions{ColdRate: func(*schema.ServicePolicy) int { return 1 }}, signer{})
			proposer := &fakeProposer{isRefusing: c.isRefusing}
			state := newState(t, startedAt, regionRow, zoneRow)
			if !r.take(startedAt, Listing{discovery.Listing{Items: c.items, BegunAt: startedAt, IsComplete: true}}) {
				t.Error("a listing should be planned on at once")
			}
			r.endpoints.plan(&turn{State: state, fleet: NewFleet(), proposer: proposer, logger: slog.New(slog.DiscardHandler)})
			if isKept := r.endpoints.listing != nil; isKept != c.isKept {
				t.Errorf("kept: %v", isKept)
			}
			if isProposed := len(proposer.records) > 0; isProposed != (len(c.items) > 0 && !c.isRefusing) {
				t.Errorf("proposed %v", proposer.records)
			}
		})
	}
}

// Guards against forgetting a back end that drains (DRAIN): a part of the next read took the place of a read whose record could not
// be proposed yet.
func TestAPartOfAReadDoesNotReplaceAReadThatIsNotPlannedOn(t *testing.T) {
	r := newRoutes(&RouteOptions{ColdRate: func(*schema.ServicePolicy) int { return 1 }}, signer{})
	proposer := &fakeProposer{isRefusing: true}
	leaving := discovery.Listed{Service: "s", Instance: "leaving", Address: "a", Zone: "z", Slots: 1, IsDraining: true}
	other := discovery.Listed{Service: "s", Instance: "other", Address: "b", Zone: "z", Slots: 1}
	present := &turn{State: newState(t, startedAt, regionRow, zoneRow), fleet: NewFleet(), proposer: proposer, logger: slog.New(slog.DiscardHandler)}
	r.take(startedAt, Listing{discovery.Listing{Items: []discovery.Listed{leaving}, BegunAt: startedAt, IsComplete: true}})
	r.endpoints.plan(present)
	r.take(startedAt, Listing{discovery.Listing{Items: []discovery.Listed{other}, BegunAt: startedAt + time.Second}})
	proposer.isRefusing = false
	r.endpoints.plan(present)
	if len(proposer.records) != 1 || len(proposer.records[0].Rows) != 2 {
		t.Fatalf("proposed %v, want the rows of both back ends", proposer.records)
	}
}

func TestInputsOfTheOtherKindOfFleetAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		name     string
		workload workload
		input    Input
		isUrgent bool
	}{
		{"entries take a read of their list", newEntries(signer{}), ListRead{}, true},
		{"entries have no listing of routes", newEntries(signer{}), Listing{}, false},
		{"entries have no owners of shards", newEntries(signer{}), LeaseAnswer{}, false},
		{"routes take a listing", newRoutes(&RouteOptions{}, signer{}), Listing{}, true},
		{"routes take an answer about a lease", newRoutes(&RouteOptions{}, signer{}), LeaseAnswer{Incarnation: 1}, true},
		{"routes have no list of entries", newRoutes(&RouteOptions{}, signer{}), ListRead{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.workload.take(startedAt, c.input); got != c.isUrgent {
				t.Errorf("urgent: %v", got)
			}
		})
	}
}

func TestANewLeaderOfEntriesForgetsTheReadOfItsFormerTime(t *testing.T) {
	e := newEntries(signer{})
	e.take(startedAt, ListRead{})
	e.elected()
	if e.endpoints.read != nil {
		t.Error("the read is kept")
	}
}

func TestRecordsOfFailoverNameTheirLeaderAndTime(t *testing.T) {
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name   string
		signer signer
		atMs   int64
	}{
		{"with a known time of day", signer{"l", epoch}, epoch.Add(startedAt).UnixMilli()},
		{"without one", signer{"l", time.Time{}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			record := &schema.Record{}
			c.signer.sign(startedAt, record)
			if record.Leader != "l" || record.AtMs != c.atMs {
				t.Errorf("%v, want the time %d", record, c.atMs)
			}
		})
	}
}

// Guards against taking a cold back end for warm after a change of leader (FAILBACK): a read of the list that began before this node was elected
// does not show what a former leader has seen since.
func TestAReadFromBeforeTheElectionIsNotPlannedOn(t *testing.T) {
	for _, c := range []struct {
		name  string
		begun time.Duration
		want  int
	}{
		{"before", startedAt - time.Second, 0},
		{"after", startedAt + time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRoutes(&RouteOptions{ColdRate: func(*schema.ServicePolicy) int { return 1 }}, signer{})
			proposer, fleet := &fakeProposer{}, NewFleet()
			fleet.Elected(startedAt)
			item := discovery.Listed{Service: "s", Instance: "i", Address: "i", Zone: "z", Slots: 1}
			r.take(startedAt, Listing{discovery.Listing{Items: []discovery.Listed{item}, BegunAt: c.begun, IsComplete: true}})
			r.endpoints.plan(&turn{State: newState(t, startedAt, regionRow, zoneRow), fleet: fleet, proposer: proposer, logger: slog.New(slog.DiscardHandler)})
			if len(proposer.records) != c.want || r.endpoints.listing != nil {
				t.Errorf("proposed %v, want %d records", proposer.records, c.want)
			}
		})
	}
}
