package gateway

import (
	"net/http"
	"slices"
	"testing"

	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Guards against sending to a back end that the rows have closed since it was chosen (DRAIN, EVAC, OWNER, FAILBACK): a
// connection may take 400 ms to come up, and the view was not looked at again before the request was written.
func TestAChoiceThatTheRowsHaveOvertakenIsNotSent(t *testing.T) {
	keyed := func(w *world, owner string, isReleasing bool) {
		w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 16, Keyed: true})
		w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: owner, Fence: 1, Releasing: isReleasing})
	}
	withKey := func(o *RequestOptions) { o.HasKey, o.IsKeyed = true, true }
	for _, c := range []struct {
		name   string
		before func(*world)
		turn   func(*RequestOptions)
		after  func(*world)
		want   string
	}{
		{"nothing changes", nil, nil, func(*world) {}, "connect, send"},
		{"it drains", nil, nil, func(w *world) { w.backend("near", "kol-a", "x", isDraining) }, "connect, connect, send"},
		{"its zone is emptied", nil, nil, func(w *world) {
			w.put(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Emptied: true})
		}, "connect, connect, send"},
		{"it is gone", nil, nil, func(w *world) { w.remove(store.BackendKey("copper", "near")) }, "connect, connect, send"},
		{"it is cold", nil, nil, func(w *world) { w.backend("near", "kol-a", "x", isColdBy("n2")) }, "connect, connect, send"},
		{"its zone settles", nil, nil, func(w *world) {
			w.put(store.ZoneKey("kol-a"), &schema.Zone{Name: "kol-a", Region: "kol", Settling: true})
		}, "connect, connect, send"},
		{"an unsafe request, and it drains", nil, unsafe1, func(w *world) { w.backend("near", "kol-a", "x", isDraining) }, "connect, connect, send"},
		{"its key has the same owner", func(w *world) { keyed(w, "near", false) }, withKey, func(*world) {}, "connect, send"},
		{"its key is released", func(w *world) { keyed(w, "near", false) }, withKey, func(w *world) { keyed(w, "near", true) }, "connect, wait"},
		{"its key has another owner", func(w *world) { keyed(w, "near", false) }, withKey, func(w *world) { keyed(w, "far", false) }, "connect, connect, send"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.backend("near", "kol-a", "x")
			w.backend("far", "tor-a", "y")
			if c.before != nil {
				c.before(w)
			}
			p := newPlay(w, c.turn)
			p.feed("begun")
			if !slices.Equal(p.used, []string{"near"}) {
				t.Fatalf("first connected to %v", p.used)
			}
			c.after(w)
			p.view = w.settle()
			p.feed("connected")
			if p.last.Kind == OrderConnect {
				p.feed("connected")
			}
			if got := p.feed(); got != c.want {
				t.Errorf("%s (%v), want %s", got, p.used, c.want)
			}
		})
	}
}

// Guards against the same over real connections: the first back end drains while the gateway connects to it, gets nothing, and
// its connection is not lost.
func TestARequestGoesElsewhereWhenItsBackEndDrainsMeanwhile(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			near, far := newStandIn(t, saying(fine)), newStandIn(t, saying(fine))
			f := newFront(t, near, far)
			before := f.gateway.options.Local()
			w := newWorld(t)
			w.backend("i-0", "kol-a", near.address(), isDraining)
			w.backend("i-1", "tor-a", far.address())
			after := &controlplane.Local{View: w.settle(), FreshAt: before.FreshAt}
			// The request itself and its first choice go by the rows before.
			looks := 0
			f.gateway.options.Local = func() *controlplane.Local {
				if looks++; looks <= 2 {
					return before
				}
				return after
			}
			got := f.do(f.request(method, "/once/x", nil))
			if got.err != nil || got.status != http.StatusOK {
				t.Fatalf("%d %v", got.status, got.err)
			}
			if len(near.got()) != 0 || len(far.got()) != 1 {
				t.Errorf("%d requests reached the draining back end, %d the other", len(near.got()), len(far.got()))
			}
			if overtaken := f.gateway.Stats()["overtaken"]; overtaken != 1 {
				t.Errorf("%d overtaken choices are counted", overtaken)
			}
			if inFlight := f.gateway.loads.Read(f.gateway.options.Now(), "i-0").InFlight; inFlight != 0 {
				t.Errorf("%d requests are counted as in flight at the draining back end", inFlight)
			}
		})
	}
}
