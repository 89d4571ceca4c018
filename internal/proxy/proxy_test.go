package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const noon = time.Hour

type world struct {
	rows []*schema.Row
}

func (w *world) put(key string, row *schema.Row) { w.rows = append(w.rows, row) }

func base(backends ...*schema.Backend) *world {
	w := &world{}
	for i, name := range []string{"north", "south"} {
		w.put("", store.EncodeRow(store.RegionKey(name), &schema.Region{Name: name, Residue: uint32(2*i + 1)}))
	}
	for i, name := range []string{"north-a", "north-b", "south-a"} {
		region, _, _ := strings.Cut(name, "-")
		w.put("", store.EncodeRow(store.ZoneKey(name), &schema.Zone{Name: name, Region: region, Residue: uint32(2 * i)}))
		w.put("", store.EncodeRow(store.NodeKey("n"+name), &schema.Node{Id: "n" + name, Zone: name, Region: region, Proxy: name + ":1", State: schema.NodeState_NODE_READY}))
	}
	w.put("", store.EncodeRow(store.EntryKey("ledger", "/balances"), &schema.Entry{Service: "ledger", Path: "/balances", Methods: []string{"GET"}, SafeMethods: []string{"GET"}, BodyLimit: 64, ResponseLimit: 4096, ColdRate: 6}))
	w.put("", store.EncodeRow(store.EntryKey("ledger", "/pay"), &schema.Entry{Service: "ledger", Path: "/pay", Methods: []string{"POST"}, BodyLimit: 64, ResponseLimit: 4096, ColdRate: 6}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 100}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "south"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "south", Number: 101}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/pay", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/pay", Region: "north", Number: 100}))
	w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 101}))
	w.put("", store.EncodeRow(store.ReplicaSetKey("north"), &schema.ReplicaSet{Region: "north", Number: 1, Members: []*schema.Member{{Id: "k1", Address: "k1"}, {Id: "k2", Address: "k2"}, {Id: "k3", Address: "k3"}}}))
	for _, b := range backends {
		w.put("", store.EncodeRow(store.BackendKey(b.Service, b.Instance), b))
	}
	return w
}

func (w *world) view() *store.View {
	table := store.NewTable()
	if _, err := table.Apply(5, &schema.Record{Kind: schema.RecordKind_RECORD_ROWS, Rows: w.rows}, nil); err != nil {
		panic(err)
	}
	return store.Compile(table)
}

func fresh(view *store.View) *controlplane.Local {
	return &controlplane.Local{View: view, IsFull: true, FreshAt: noon, TickAt: noon, PeersAt: noon, LeaseUntil: noon + constants.LeaseDuration}
}

func backend(instance, zone string) *schema.Backend {
	return &schema.Backend{Service: "ledger", Instance: instance, Address: "127.0.0.1:1", Zone: zone, State: schema.BackendState_BACKEND_READY}
}

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
		{"a safe query goes to the nearest back end", base(all...), nil, safe(), ActionAttempt, "", "l-1"},
		{"or to another district of the region", base(all[1:]...), nil, safe(), ActionAttempt, "", "l-2"},
		{"but never outside the owner's region", base(all[2:]...), nil, safe(), ActionPark, "", ""},
		{"a tried back end is not tried again", base(all...), func(s *Situation) { s.Tried["l-1"] = true }, safe(), ActionAttempt, "", "l-2"},
		{"a stale isolated proxy declines at once", base(all...), func(s *Situation) {
			s.Now += constants.IsolatedAfter
			s.Local.TickAt = s.Now
		}, safe(), ActionRefuse, "isolated", ""},
		{"one cut off with its region serves on", base(all...), func(s *Situation) {
			s.Now += constants.IsolatedAfter
			s.Local.TickAt, s.Local.PeersAt = s.Now, s.Now
		}, safe(), ActionAttempt, "", "l-1"},
		{"one that was told of changes which it lacks declines", base(all...), func(s *Situation) { s.Local.BehindAt = noon - constants.BehindMost - time.Millisecond }, safe(), ActionRefuse, "isolated", ""},
		{"but not at once", base(all...), func(s *Situation) { s.Local.BehindAt = noon - constants.BehindMost }, safe(), ActionAttempt, "", "l-1"},
		{"a thawed proxy refreshes first", base(all...), func(s *Situation) { s.Local.ThawedAt = noon }, safe(), ActionPark, "", ""},
		{"one that has not ticked is taken as frozen", base(all...), func(s *Situation) { s.Local.TickAt = noon - 2*time.Second }, safe(), ActionPark, "", ""},
		{"an unknown service", base(all...), func(s *Situation) { s.Request.Service = "nobody" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"an unknown path", base(all...), func(s *Situation) { s.Request.Path = "/balance" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"a path is matched by whole parts", base(all...), func(s *Situation) { s.Request.Path = "/balancesheet" }, safe(), ActionRefuse, "unknown-entry", ""},
		{"a method that the entry lacks", base(all...), func(s *Situation) { s.Request.Method = "POST" }, safe(), ActionRefuse, "bad-method", ""},
		{"a slice that is not held is asked for", base(all...), func(s *Situation) { s.Local.IsFull = false }, safe(), ActionPark, "", ""},
		{"another group's query is forwarded", base(all...), func(s *Situation) { s.Request.Origin.Region = "south" }, safe(), ActionAttempt, "", "l-1"},
		{"to the group that the number names", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 102}))
			return w
		}(), nil, safe(), ActionForward, "", ""},
		{"but a forwarded one is never forwarded again", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 102}))
			return w
		}(), func(s *Situation) { s.Request.Forwarded = failover.Trail{100}; s.Parked = constants.ParkMost }, safe(), ActionRefuse, "moved", ""},
		{"a higher forwarded number waits for the image", base(all...), func(s *Situation) { s.Request.Forwarded = failover.Trail{200} }, safe(), ActionPark, "", ""},
		{"an unsafe query is claimed first", base(all...), nil, unsafe(), ActionReserve, "", ""},
		{"and then has its leg", base(all...), func(s *Situation) { s.IsReserved = true }, unsafe(), ActionAttempt, "", "l-1"},
		{"it needs a live grant", base(all...), func(s *Situation) { s.Local.LeaseUntil = noon; s.IsReserved = true }, unsafe(), ActionPark, "", ""},
		{"and an open fence", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Fenced: true}))
			return w
		}(), func(s *Situation) { s.IsReserved = true }, unsafe(), ActionPark, "", ""},
		{"an old fence is told at once, with when to come back", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Fenced: true}))
			return w
		}(), func(s *Situation) {
			s.Local.Fences = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - 2*time.Second}
		}, unsafe(), ActionRefuse, "fenced", ""},
		{"an id that is older than its entry's move is doubtful", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Far: true}))
			return w
		}(), func(s *Situation) {
			s.FirstSent = noon - time.Minute
			s.Local.Opened = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - time.Second}
		}, unsafe(), ActionRefuse, "attempt-old", ""},
		{"a younger one is claimed", func() *world {
			w := base(all...)
			w.put("", store.EncodeRow(store.EntityKey("ledger", "/pay"), &schema.Entity{Service: "ledger", Path: "/pay", Region: "north", Number: 201, Far: true}))
			return w
		}(), func(s *Situation) {
			s.FirstSent = noon - time.Second
			s.Local.Opened = map[string]time.Duration{store.EntityKey("ledger", "/pay"): noon - time.Minute}
		}, unsafe(), ActionReserve, "", ""},
		{"a region's origin does not fit a bound entry", base(all...), func(s *Situation) { s.Request.Origin = failover.Origin{Region: "north"} }, unsafe(), ActionRefuse, "bad-origin", ""},
		{"an emptied district serves nothing", func() *world {
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

func at(rank, of int) func() Part { return func() Part { return Part{rank, of} } }

func TestRepeatsFitEveryWindow(t *testing.T) {
	type attempt struct {
		at      time.Duration
		isFirst bool
	}
	for _, c := range []struct {
		name    string
		of, gap int
		first   func(second float64) float64
		fails   func(second float64) bool
	}{
		{"a surge of first legs, then repeats with few first legs", 4, 1, func(s float64) float64 { return 1 + 49*math.Max(0, 1-s/5) }, func(s float64) bool { return s > 4 }},
		{"the first legs of two proxies end", 4, 3, func(s float64) float64 { return 30 }, func(s float64) bool { return s > 8 }},
		{"waves", 4, 1, func(s float64) float64 { return 25 + 24*math.Sin(s*2) }, func(s float64) bool { return math.Cos(s) > 0 }},
		{"more proxies than the allowance has legs", 15, 1, func(s float64) float64 { return 25 + 24*math.Sin(s/2) }, func(s float64) bool { return math.Cos(s) > 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewSource(1))
			var attempts []attempt
			proxies := make([]*Loads, c.of)
			for i := range proxies {
				proxies[i] = NewLoads(func() time.Duration { return noon })
			}
			repeats := 0
			for now := noon; now < noon+40*time.Second; now += 10 * time.Millisecond {
				second := (now - noon).Seconds()
				for rank, l := range proxies {
					if rank%c.gap != 0 && second > 10 || random.Float64()*100 > c.first(second) {
						continue
					}
					l.First(now, "s")
					attempts = append(attempts, attempt{now, true})
					if c.fails(second) && l.MayRepeat(now, "s", Part{rank, c.of}) {
						attempts = append(attempts, attempt{now, false})
						repeats++
					}
				}
			}
			for i, last := range attempts {
				over := 0
				for j := i; j >= 0 && last.at-attempts[j].at <= constants.RepeatWindow; j-- {
					if over += 100; attempts[j].isFirst {
						over -= 100 + constants.RepeatShare
					}
				}
				if over > constants.RepeatAllowance*100 {
					t.Fatalf("in the window before %v are %d hundredths of a repeat above a fifth of the first legs", last.at-noon, over)
				}
			}
			if repeats < constants.RepeatAllowance {
				t.Errorf("only %d repeats in all", repeats)
			}
		})
	}
}

func TestSteadyFirstAttemptsPayForAFifthOfRepeats(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	firsts, repeats := 0, 0
	for now := noon; now < noon+60*time.Second; now += 20 * time.Millisecond {
		l.First(now, "s")
		if firsts++; l.MayRepeat(now, "s", Part{0, 4}) {
			repeats++
		}
	}
	if repeats < firsts*(constants.RepeatShare-1)/100 {
		t.Errorf("%d repeats beside %d first legs", repeats, firsts)
	}
}

func TestBudgets(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	for i := range 100 {
		l.First(noon+time.Duration(i)*time.Millisecond, "s")
	}
	repeats := 0
	for l.MayRepeat(noon+time.Second, "s", Part{0, 5}) {
		repeats++
	}
	if repeats != constants.RepeatAllowance/5 {
		t.Errorf("%d repeats at once after 100 first legs", repeats)
	}
	for range 10 {
		l.First(noon, "edge")
	}
	if l.MayRepeat(noon+constants.RepeatWindow-constants.RepeatMargin/2, "edge", Part{15, 20}) {
		t.Error("a repeat is paid for by first legs that leave the window before it arrives")
	}
	if l.MayRepeat(noon+constants.RepeatWindow+2*time.Second, "s", Part{0, 5}) != true || l.MayRepeat(noon+constants.RepeatWindow+time.Second, "nobody", Part{0, 5}) {
		t.Error("the window does not slide, or a service without legs may repeat")
	}
	for _, of := range []int{1, 3, 7, 15} {
		together := 0
		for rank := range of {
			quiet := NewLoads(func() time.Duration { return noon })
			for quiet.First(noon, "quiet"); quiet.MayRepeat(noon, "quiet", Part{rank, of}); {
				together++
			}
		}
		if together != constants.RepeatAllowance {
			t.Errorf("%d proxies with one first leg each have %d repeats together, want the whole allowance of %d", of, together, constants.RepeatAllowance)
		}
	}
	cold := &schema.Backend{Instance: "c", Cold: true}
	begun := 0
	proxies := [4]*Loads{}
	for i := range proxies {
		proxies[i] = NewLoads(func() time.Duration { return noon })
	}
	for i := range 1000 {
		for rank := range 4 {
			if proxies[rank].MayBegin(noon+time.Duration(i)*time.Millisecond, cold, at(rank, 4), 6) {
				begun++
			}
		}
	}
	if begun != 6 {
		t.Errorf("a cold back end that works on six at once got %d legs from four proxies in its first second", begun)
	}
}

type stand struct {
	mode     string
	runs     atomic.Int64
	identity Identity
}

func (s *stand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/identity" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s.identity)
		return
	}
	s.runs.Add(1)
	body := []byte(`{"balance":1}`)
	h := w.Header()
	h.Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	h.Set(HeaderService, s.identity.Service)
	h.Set(HeaderInstance, s.identity.Instance)
	h.Set(HeaderDigest, ContentDigest(body))
	switch s.mode {
	case "garbage":
		body = []byte("????")
	case "other attempt":
		h.Set(HeaderAttempt, "somebody-elses")
	case "other instance":
		h.Set(HeaderInstance, "l-9")
	case "truncated":
		h.Set("Content-Length", "500")
	case "oversize":
		body = []byte(strings.Repeat("x", 5000))
		h.Set(HeaderDigest, ContentDigest(body))
	case "lost":
		panic(http.ErrAbortHandler)
	case "unsealed":
		h.Del(HeaderDigest)
	}
	w.Write(body)
}

func executor(t testing.TB, stands ...*stand) *Executor {
	t.Helper()
	var backends []*schema.Backend
	for _, s := range stands {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		b := backend(fmt.Sprintf("l-%d", len(backends)+1), "north-a")
		if s.identity.Service == "" {
			s.identity = Identity{"ledger", b.Instance}
		}
		b.Address = strings.TrimPrefix(server.URL, "http://")
		backends = append(backends, b)
	}
	begun := time.Now()
	now := func() time.Duration { return noon + time.Since(begun) }
	view := base(backends...).view()
	pool := NewPool("127.0.0.1:0")
	t.Cleanup(func() { pool.Close() })
	x := NewExecutor(Options{Self: &schema.Node{Id: "nnorth-a", Zone: "north-a", Region: "north"}, Now: now, Pool: pool, Loads: NewLoads(now), Kept: NewResponseCache(), Draw: func(int64) int64 { return 0 },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Want: func(string) {},
		Local: func() *controlplane.Local {
			l := fresh(view)
			l.FreshAt, l.TickAt, l.PeersAt, l.LeaseUntil = now(), now(), now(), now()+time.Second
			return l
		},
		Call: func(_ context.Context, _ string, f *schema.Frame) (*schema.Frame, error) {
			return &schema.Frame{Body: &schema.Frame_ReservationResponse{ReservationResponse: &schema.ReservationResponse{State: schema.ReservationState_RESERVATION_TAKEN}}}, nil
		}})
	for range 40 {
		x.options.Loads.First(now(), "ledger")
	}
	return x
}

func send(x *Executor, method, path, origin string, change func(*http.Request)) *httptest.ResponseRecorder {
	body := ""
	if method == "POST" {
		body = "amount=1"
	}
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(HeaderAttempt, "attempt-0001")
	r.Header.Set(HeaderWait, "2000")
	r.Header.Set(HeaderOrigin, origin)
	if change != nil {
		change(r)
	}
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w
}

func TestBadResponsesNeverReachACaller(t *testing.T) {
	for _, mode := range []string{"garbage", "other attempt", "other instance", "truncated", "oversize", "lost", "unsealed"} {
		t.Run(mode, func(t *testing.T) {
			bad, good := &stand{mode: mode}, &stand{}
			x := executor(t, bad, good)
			w := send(x, "GET", "/ledger/balances/1", "region=north", nil)
			if w.Code != 200 || w.Header().Get(HeaderOutcome) != ResultSealed || w.Body.String() != `{"balance":1}` || good.runs.Load() != 1 {
				t.Errorf("safe query: status %d, outcome %q, body %q", w.Code, w.Header().Get(HeaderOutcome), w.Body)
			}
			bad2, good2 := &stand{mode: mode}, &stand{}
			x = executor(t, bad2, good2)
			w = send(x, "POST", "/ledger/pay", "entry=ledger/pay", nil)
			if w.Code != 502 || w.Header().Get(HeaderOutcome) != ResultAmbiguous || bad2.runs.Load() != 1 || good2.runs.Load() != 0 || w.Header().Get("Retry-After") == "" {
				t.Errorf("unsafe query: status %d, outcome %q, runs %d and %d", w.Code, w.Header().Get(HeaderOutcome), bad2.runs.Load(), good2.runs.Load())
			}
		})
	}
}

func TestReusedAddressGetsNoAttempt(t *testing.T) {
	stranger, good := &stand{identity: Identity{"payments", "p-1"}}, &stand{}
	x := executor(t, stranger, good)
	for _, method := range []string{"GET", "POST"} {
		path, origin := "/ledger/balances/1", "region=north"
		if method == "POST" {
			path, origin = "/ledger/pay", "entry=ledger/pay"
		}
		w := send(x, method, path, origin, nil)
		if w.Code != 200 || stranger.runs.Load() != 0 {
			t.Errorf("%s: status %d, the stranger ran %d", method, w.Code, stranger.runs.Load())
		}
	}
}

func TestBadRequestsGetNoAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		change func(*http.Request)
		status int
		kind   string
	}{
		{"no attempt", "/ledger/balances", func(r *http.Request) { r.Header.Del(HeaderAttempt) }, 400, "bad-attempt"},
		{"a malformed attempt", "/ledger/balances", func(r *http.Request) { r.Header.Set(HeaderAttempt, "a b") }, 400, "bad-attempt"},
		{"two attempts", "/ledger/balances", func(r *http.Request) { r.Header.Add(HeaderAttempt, "attempt-0002") }, 400, "bad-attempt"},
		{"no wait", "/ledger/balances", func(r *http.Request) { r.Header.Del(HeaderWait) }, 400, "bad-wait"},
		{"a wait of a day", "/ledger/balances", func(r *http.Request) { r.Header.Set(HeaderWait, "86400000") }, 400, "bad-wait"},
		{"no origin", "/ledger/balances", func(r *http.Request) { r.Header.Del(HeaderOrigin) }, 400, "bad-origin"},
		{"a malformed origin", "/ledger/balances", func(r *http.Request) { r.Header.Set(HeaderOrigin, "planet=earth") }, 400, "bad-origin"},
		{"an unknown service", "/nobody/balances", nil, 404, "unknown-entry"},
		{"an unknown path", "/ledger/secrets", nil, 404, "unknown-entry"},
		{"a dotted path", "/ledger/balances/../secrets", nil, 400, "bad-path"},
		{"an escaped dotted path", "/ledger/balances/%2e%2e/secrets", nil, 400, "bad-path"},
		{"an oversize body", "/ledger/balances", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 100))), 100
		}, 413, "oversize"},
		{"a forged forward", "/ledger/balances", func(r *http.Request) { r.Header.Set(HeaderForwarded, "x") }, 400, "bad-forward"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &stand{}
			w := send(executor(t, s), "GET", c.path, "region=north", c.change)
			var body errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
				t.Fatalf("no typed JSON: %v", err)
			}
			if w.Code != c.status || body.Kind != c.kind || body.Result != ResultRefused || s.runs.Load() != 0 {
				t.Errorf("status %d kind %q outcome %q runs %d", w.Code, body.Kind, body.Result, s.runs.Load())
			}
		})
	}
}

func TestARequestWithoutReplicasIsAnsweredSoon(t *testing.T) {
	s := &stand{}
	x := executor(t, s)
	var rounds atomic.Int64
	x.options.Call = func(ctx context.Context, _ string, f *schema.Frame) (*schema.Frame, error) {
		if !f.GetReservationRequest().Ended {
			rounds.Add(1)
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	begun := x.options.Now()
	w := send(x, "POST", "/ledger/pay", "entry=ledger/pay", func(r *http.Request) { r.Header.Set(HeaderWait, "15000") })
	var body errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || body.Kind != "no-claim" || body.Result != ResultRefused || w.Header().Get("Retry-After") != "1" {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
	if rounds.Load() > 6 || s.runs.Load() != 0 {
		t.Errorf("%d claims and %d runs before the answer", rounds.Load(), s.runs.Load())
	}
	if took := x.options.Now() - begun; took >= constants.ReservationWindow {
		t.Errorf("the final answer was held back for %v", took)
	}
}

func TestForwardsObeyTheRepeatBudget(t *testing.T) {
	broken := &stand{mode: "lost", identity: Identity{"topazshed", "nnorth-b"}}
	server := httptest.NewServer(broken)
	defer server.Close()
	x := executor(t)
	w := base()
	w.put("", store.EncodeRow(store.NodeKey("nnorth-b"), &schema.Node{Id: "nnorth-b", Zone: "north-b", Region: "north", Proxy: strings.TrimPrefix(server.URL, "http://"), State: schema.NodeState_NODE_READY}))
	w.put("", store.EncodeRow(store.AssignmentKey("ledger", "/balances", "north"), &schema.FailoverAssignment{Service: "ledger", Path: "/balances", Region: "north", Number: 102}))
	view, now := w.view(), x.options.Now
	x.options.Local = func() *controlplane.Local {
		l := fresh(view)
		l.FreshAt, l.TickAt, l.PeersAt, l.LeaseUntil = now(), now(), now(), now()+time.Second
		return l
	}
	x.options.Loads = NewLoads(now)
	const calls = 20
	for range calls {
		if got := send(x, "GET", "/ledger/balances/1", "region=north", nil); got.Header().Get(HeaderOutcome) != ResultAmbiguous {
			t.Fatalf("outcome %q: %s", got.Header().Get(HeaderOutcome), got.Body)
		}
	}
	if most := int64(calls + calls*constants.RepeatShare/100 + constants.RepeatAllowance); broken.runs.Load() < calls || broken.runs.Load() > most {
		t.Errorf("%d forwards of %d queries, at most %d fit the budget", broken.runs.Load(), calls, most)
	}
}
func TestABackendSeenDownIsColdHereAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults []error
		isCold bool
	}{
		{"one that refused and answers again", []error{syscall.ECONNREFUSED, nil}, true},
		{"one that was only late", []error{context.DeadlineExceeded, nil}, false},
		{"one that was never away", []error{nil, nil}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLoads(func() time.Duration { return noon })
			for _, err := range c.faults {
				l.Report("b", err)
			}
			begun := 0
			for range 50 {
				if l.MayBegin(noon, &schema.Backend{Instance: "b"}, at(0, 1), 6) {
					begun++
				}
			}
			if isCold := begun == 6; isCold != c.isCold || !isCold && begun != 50 {
				t.Fatalf("%d legs at once, want cold %v", begun, c.isCold)
			}
			if !l.MayBegin(noon+constants.ColdRamp, &schema.Backend{Instance: "b"}, at(0, 1), 6) {
				t.Error("it is still cold after the ramp")
			}
		})
	}
}

func TestAReturnedBackendIsRampedAnew(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	cold := &schema.Backend{Instance: "c", Cold: true}
	count := func(from time.Duration) int {
		begun := 0
		for i := range 1000 {
			if l.MayBegin(from+time.Duration(i)*time.Millisecond, cold, at(0, 1), 6) {
				begun++
			}
		}
		return begun
	}
	first, ramped := count(noon), count(noon+constants.ColdRamp+time.Second)
	l.Report("c", syscall.ECONNREFUSED)
	if again := count(noon + 2*constants.ColdRamp); first > 6 || ramped != 12 || again != first {
		t.Fatalf("%d legs in the first second, %d when ramped, %d in the first second after it was lost", first, ramped, again)
	}
}

func TestKeptResultsAreBounded(t *testing.T) {
	k := NewResponseCache()
	o := sealed("x", "l-1", strings.Repeat("y", 30<<10))
	total := 2 * constants.KeptBytes / len(o.Body)
	for i := range total {
		k.Put(noon, &Request{Attempt: fmt.Sprintf("attempt-%05d", i), Digest: []byte("d")}, o)
	}
	kept, weight := 0, 0
	for i := range total {
		if k.Get(fmt.Sprintf("attempt-%05d", i), []byte("d")) != nil {
			kept++
			weight += len(o.Body)
		}
	}
	if kept == 0 || weight > constants.KeptBytes || k.Get("attempt-00000", []byte("d")) != nil {
		t.Errorf("%d outcomes of %d bytes are kept, the first still there: %v", kept, weight, k.Get("attempt-00000", []byte("d")) != nil)
	}
	k.Put(noon, &Request{Attempt: "large", Digest: []byte("d")}, sealed("x", "l-1", strings.Repeat("y", constants.KeptResponse)))
	if k.Get("large", []byte("d")) != nil {
		t.Error("an outcome above the limit is kept")
	}
}
