package proxy

import (
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

func TestDecide(t *testing.T) {
	north := &schema.Node{Id: "nnorth-a", Zone: "north-a", Region: "north"}
	safe := func() *Request {
		return &Request{Service: "ledger", Path: "/balances/7", Method: "GET", Attempt: "attempt-1", Origin: failover.Origin{Region: "north"}}
	}
	unsafe := func() *Request {
		return &Request{Service: "ledger", Path: "/pay", Method: "POST", Attempt: "attempt-1", Origin: failover.Origin{Service: "ledger", Path: "/pay"}}
	}
	all := []*schema.Backend{backend("l-1", "north-a"), backend("l-2", "north-b"), backend("l-3", "south-a")}
	for _, c := range []struct {
		name    string
		world   *world
		change  func(*Situation)
		request *Request
		action  Action
		kind    string
		chosen  string
	}{
		{"a safe request goes to the nearest back end", base(all...), nil, safe(), ActionAttempt, "", "l-1"},
		{"or to another zone of the region", base(all[1:]...), nil, safe(), ActionAttempt, "", "l-2"},
		{"but never outside the owner's region", base(all[2:]...), nil, safe(), ActionPark, "", ""},
		{"a tried back end is not tried again", base(all...), func(s *Situation) { s.Tried["l-1"] = true }, safe(), ActionAttempt, "", "l-2"},
		{"a stale isolated proxy refuses at once", base(all...), func(s *Situation) {
			s.Now += constants.IsolatedAfter
			s.Local.TickAt = s.Now
		}, safe(), ActionRefuse, "isolated", ""},
		{"one cut off with its region serves on", base(all...), func(s *Situation) {
			s.Now += constants.IsolatedAfter
			s.Local.TickAt, s.Local.PeersAt = s.Now, s.Now
		}, safe(), ActionAttempt, "", "l-1"},
		{"one that was notified of changes which it lacks refuses", base(all...), func(s *Situation) { s.Local.BehindAt = noon - constants.MaxBehind - time.Millisecond }, safe(), ActionRefuse, "isolated", ""},
		{"but not at once", base(all...), func(s *Situation) { s.Local.BehindAt = noon - constants.MaxBehind }, safe(), ActionAttempt, "", "l-1"},
		{"a thawed proxy refreshes first", base(all...), func(s *Situation) { s.Local.ThawedAt = noon }, safe(), ActionPark, "", ""},
		{"one that has not ticked is taken as frozen", base(all...), func(s *Situation) { s.Local.TickAt = noon - 2*time.Second }, safe(), ActionPark, "", ""},
		{"an unknown service", base(all...), func(s *Situation) { s.Request.Service = "nobody" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"an unknown path", base(all...), func(s *Situation) { s.Request.Path = "/balance" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"a path is matched by whole parts", base(all...), func(s *Situation) { s.Request.Path = "/balancesheet" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"a method that the entry lacks", base(all...), func(s *Situation) { s.Request.Method = "POST" }, safe(), ActionRefuse, "bad-method", ""},
		{"a slice that is not held is asked for", base(all...), func(s *Situation) { s.Local.IsFull = false }, safe(), ActionPark, "", ""},
		{"another group's request is forwarded", base(all...), func(s *Situation) { s.Request.Origin.Region = "south" }, safe(), ActionAttempt, "", "l-1"},
		{"to the group that the number names", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 102}))
			return w
		}(), nil, safe(), ActionForward, "", ""},
		{"but a forwarded one is never forwarded again", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 102}))
			return w
		}(), func(s *Situation) { s.Request.Forwarded = failover.Trail{100}; s.Parked = constants.MaxPark }, safe(), ActionRefuse, "moved", ""},
		{"a higher forwarded number waits for the snapshot", base(all...), func(s *Situation) { s.Request.Forwarded = failover.Trail{200} }, safe(), ActionPark, "", ""},
		{"an unsafe request is reserved first", base(all...), nil, unsafe(), ActionReserve, "", ""},
		{"and then has its attempt", base(all...), func(s *Situation) { s.IsReserved = true }, unsafe(), ActionAttempt, "", "l-1"},
		{"it needs a live lease", base(all...), func(s *Situation) { s.Local.LeaseUntil = noon; s.IsReserved = true }, unsafe(), ActionPark, "", ""},
		{"and an open fence", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Fenced: true}))
			return w
		}(), func(s *Situation) { s.IsReserved = true }, unsafe(), ActionPark, "", ""},
		{"an old fence is refused at once, with when to come back", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Fenced: true}))
			return w
		}(), func(s *Situation) {
			s.Local.Fences = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - 2*time.Second}
		}, unsafe(), ActionRefuse, "fenced", ""},
		{"an id that is older than its entry's move is ambiguous", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Far: true}))
			return w
		}(), func(s *Situation) {
			s.FirstSent = noon - time.Minute
			s.Local.Opened = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - time.Second}
		}, unsafe(), ActionRefuse, "attempt-old", ""},
		{"a younger one is reserved", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Far: true}))
			return w
		}(), func(s *Situation) {
			s.FirstSent = noon - time.Second
			s.Local.Opened = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - time.Minute}
		}, unsafe(), ActionReserve, "", ""},
		{"a region's origin does not fit a bound entry", base(all...), func(s *Situation) { s.Request.Origin = failover.Origin{Region: "north"} }, unsafe(), ActionRefuse, "bad-origin", ""},
		{"an emptied zone serves nothing", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.ZoneKey("north-a"), &schema.Zone{Name: "north-a", Region: "north", Emptied: true}))
			return w
		}(), nil, safe(), ActionPark, "", ""},
		{"a draining back end gets nothing", base(func() *schema.Backend {
			b := backend("l-1", "north-a")
			b.State = schema.BackendState_BACKEND_DRAINING
			return b
		}()), nil, safe(), ActionPark, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := Situation{Now: noon, Local: fresh(c.world.view()), Self: north, Request: c.request, Load: NewLoads(func() time.Duration { return noon }), Tried: map[string]bool{}, Left: time.Second, Draw: func(int64) int64 { return 0 }}
			if c.change != nil {
				c.change(&s)
			}
			d := Decide(s)
			kind, chosen := "", ""
			if d.Refusal != nil {
				kind = d.Refusal.Kind
			}
			if d.Backend != nil {
				chosen = d.Backend.Instance
			}
			if d.Action != c.action || kind != c.kind || chosen != c.chosen {
				t.Fatalf("got action %v kind %q back end %q, want %v %q %q", d.Action, kind, chosen, c.action, c.kind, c.chosen)
			}
		})
	}
}
