package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/leasecall"
	"topazshed/internal/settings"
	"topazshed/internal/sharding"
)

func TestNativeListReader(t *testing.T) {
	first := `{"page":0,"pages":2,"total":2,"revision":1,"backends":[{"service":"copper","instance":"c-1","address":"127.0.0.1:1","district":"mu-a","state":"ready","slots":6,"cold_left_ms":1500}]}`
	second := `{"page":1,"pages":2,"total":2,"revision":1,"backends":[{"service":"copper","instance":"c-2","address":"127.0.0.1:2","district":"mu-b","state":"draining"}]}`
	for _, c := range []struct {
		name     string
		pages    []string
		statuses []int
		items    int
		calls    int
		want     string
	}{
		{"whole", []string{first, second}, nil, 2, 2, ""},
		{"a page is refused", []string{first, "slow down"}, []int{200, 429}, 1, 1, "status 429"},
		{"the list changed between its pages", []string{first, strings.Replace(second, `"revision":1`, `"revision":2`, 1)}, nil, 2, 2, "changed between its pages"},
		{"a page is garbage", []string{first, "<html>"}, nil, 1, 1, "no JSON"},
		{"a page is another's", []string{first, first}, nil, 1, 1, "gave page 0 for page 1"},
		{"items are missing", []string{first, strings.Replace(strings.Replace(second, `"total":2`, `"total":2`, 1), `{"service":"copper","instance":"c-2","address":"127.0.0.1:2","district":"mu-b","state":"draining"}`, "", 1)}, nil, 1, 2, "1 of 2 back ends came"},
		{"an item without an address", []string{strings.Replace(first, "127.0.0.1:1", "", 1), second}, nil, 1, 2, "lacks service, instance or address"},
		{"empty", []string{`{"page":0,"pages":1,"total":0,"revision":1,"backends":[]}`}, nil, 0, 1, "the list is empty"},
	} {
		t.Run(c.name, func(t *testing.T) {
			calls, turns := 0, 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls < len(c.statuses) {
					w.WriteHeader(c.statuses[calls])
				}
				w.Write([]byte(c.pages[min(calls, len(c.pages)-1)]))
				calls++
			}))
			defer server.Close()
			platform := NativePlatform(&settings.Settings{Proxy: "127.0.0.1:1", Platform: server.URL, Routes: settings.DefaultRoutes()})
			items, count, err := platform.List(context.Background(), func(context.Context, int, []discovery.Listed) error { turns++; return nil })
			var partial *PartialListError
			if (err != nil) != errors.As(err, &partial) || (err != nil) != (c.want != "") || err != nil && (!strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "; mend")) {
				t.Errorf("%v, want %q", err, c.want)
			}
			if turns != calls {
				t.Errorf("%d turns were taken for %d calls", turns, calls)
			}
			if len(items) != c.items || count != c.calls {
				t.Errorf("%d items by %d calls, want %d by %d", len(items), count, c.items, c.calls)
			}
			if c.want == "" && (items[0].ColdLeft != 1500*time.Millisecond || items[0].Slots != 6 || items[0].IsDraining || !items[1].IsDraining || items[1].Zone != "mu-b") {
				t.Errorf("%+v", items)
			}
		})
	}
}

func TestNativeKeyCalls(t *testing.T) {
	lease := sharding.Call{ID: 7, Kind: sharding.GrantLease, Service: "nickel", Instance: "n-1", First: 5, Last: 9, Fence: 3, LeaseDuration: 4500 * time.Millisecond, Handover: "h0"}
	release := lease
	release.Kind, release.LeaseDuration, release.Handover = sharding.ReleaseLease, 0, ""
	probe := lease
	probe.Kind = sharding.Probe
	for _, c := range []struct {
		name   string
		call   sharding.Call
		status int
		header [2]string
		isDead bool
		want   sharding.Answer
		path   string
		body   KeyCall
	}{
		{"a grant is taken", lease, 200, [2]string{}, false, sharding.Answer{ID: 7, Result: sharding.Done}, "/keys/grant", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3, HoldMS: 4500, Handover: "h0"}},
		{"a higher number was seen", lease, 409, [2]string{}, false, sharding.Answer{ID: 7, Result: sharding.Refused}, "/keys/grant", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3, HoldMS: 4500, Handover: "h0"}},
		{"a release hands over", release, 200, [2]string{HandoverHeader, "h1"}, false, sharding.Answer{ID: 7, Result: sharding.Done, Handover: "h1"}, "/keys/release", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3}},
		{"another instance answers", lease, 421, [2]string{}, false, sharding.Answer{ID: 7, Result: sharding.Replaced}, "/keys/grant", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3, HoldMS: 4500, Handover: "h0"}},
		{"full, and says that it did not run", lease, 503, [2]string{"Topazshed-Not-Run", "1"}, false, sharding.Answer{ID: 7, Result: sharding.Failed}, "/keys/grant", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3, HoldMS: 4500, Handover: "h0"}},
		{"an error that tells nothing", lease, 500, [2]string{}, false, sharding.Answer{ID: 7, Result: sharding.Unknown}, "/keys/grant", KeyCall{Service: "nickel", First: 5, Last: 9, Number: 3, HoldMS: 4500, Handover: "h0"}},
		{"nobody listens", lease, 0, [2]string{}, true, sharding.Answer{ID: 7, Result: sharding.Unsent}, "", KeyCall{}},
		{"a probe is answered", probe, 0, [2]string{}, false, sharding.Answer{ID: 7, Result: sharding.Done}, "", KeyCall{}},
		{"a probe is refused", probe, 0, [2]string{}, true, sharding.Answer{ID: 7, Result: sharding.Unknown}, "", KeyCall{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var path string
			var body KeyCall
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				path = r.URL.Path
				if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.Header.Get("Topazshed-Instance") != "n-1" || r.Method != http.MethodPost {
					t.Errorf("%s %v %v", r.Method, r.Header, err)
				}
				if c.header[0] != "" {
					w.Header().Set(c.header[0], c.header[1])
				}
				w.WriteHeader(c.status)
			}))
			c.call.Address = strings.TrimPrefix(server.URL, "http://")
			if c.isDead {
				server.Close()
			} else {
				defer server.Close()
			}
			answer, err := newNativeLeases(leasecall.NewDial(localIP("127.0.0.1:1"))).grantLease(context.Background(), c.call)
			if answer != c.want || (err != nil) != c.isDead || path != c.path || body != c.body {
				t.Errorf("%+v %v, %s %+v", answer, err, path, body)
			}
		})
	}
}
