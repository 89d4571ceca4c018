package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

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
	x := NewExecutor(Options{Self: &schema.Node{Id: "nnorth-a", Zone: "north-a", Region: "north"}, Now: now, Pool: pool, Loads: NewLoads(now), Responses: NewResponseCache(), Draw: func(int64) int64 { return 0 },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Want: func(string) {},
		Local: func() *controlplane.Local {
			l := fresh(view)
			l.FreshAt, l.TickAt, l.PeersAt, l.LeaseUntil = now(), now(), now(), now()+time.Second
			return l
		},
		Call: func(_ context.Context, _ string, _ *schema.Frame) (*schema.Frame, error) {
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
				t.Errorf("safe request: status %d, result %q, body %q", w.Code, w.Header().Get(HeaderOutcome), w.Body)
			}
			bad2, good2 := &stand{mode: mode}, &stand{}
			x = executor(t, bad2, good2)
			w = send(x, "POST", "/ledger/pay", "entry=ledger/pay", nil)
			if w.Code != 502 || w.Header().Get(HeaderOutcome) != ResultAmbiguous || bad2.runs.Load() != 1 || good2.runs.Load() != 0 || w.Header().Get("Retry-After") == "" {
				t.Errorf("unsafe request: status %d, result %q, runs %d and %d", w.Code, w.Header().Get(HeaderOutcome), bad2.runs.Load(), good2.runs.Load())
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
				t.Errorf("status %d kind %q result %q runs %d", w.Code, body.Kind, body.Result, s.runs.Load())
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
		t.Errorf("%d reservations and %d runs before the answer", rounds.Load(), s.runs.Load())
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
			t.Fatalf("result %q: %s", got.Header().Get(HeaderOutcome), got.Body)
		}
	}
	if most := int64(calls + calls*constants.RepeatShare/100 + constants.RepeatAllowance); broken.runs.Load() < calls || broken.runs.Load() > most {
		t.Errorf("%d forwards of %d requests, at most %d fit the budget", broken.runs.Load(), calls, most)
	}
}
