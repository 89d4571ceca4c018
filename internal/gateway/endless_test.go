package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"topazshed/internal/endless"
	"topazshed/internal/endless/endlesstest"
	"topazshed/internal/responses"
)

// soundHead is what a sound answer to a request has.
func soundHead(r seen) endless.Head {
	return endless.Head{Echo: []string{names.Attempt + ": " + r.id()}, Seal: []string{names.Seal + ": sealed"}}
}

// sendingWithoutEnd answers with a kind of response, and tells how many bytes were sent.
func sendingWithoutEnd(kind endless.Kind, sent chan<- int) script {
	return func(r seen, conn net.Conn) bool {
		sent <- endlesstest.Send(conn, kind, soundHead(r))
		return false
	}
}

// Guards against back ends that send a head without end (FAULT): their caller kept it all and ran out of memory.
func TestAHeadWithoutEndIsCutOff(t *testing.T) {
	for _, kind := range endless.Kinds {
		if !kind.IsHead {
			continue
		}
		for _, isRepeatable := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %v", kind.Name, isRepeatable), func(t *testing.T) {
				sent := make(chan int, 10)
				bad, good := newStandIn(t, sendingWithoutEnd(kind, sent)), newStandIn(t, saying(fine))
				f := newFront(t, bad, good)
				path, status := "/once/x", http.StatusBadGateway
				if isRepeatable {
					path, status = "/safe/x", http.StatusOK
				}
				if a := f.get(path); a.err != nil || a.status != status {
					t.Errorf("status %d, %v, want %d", a.status, a.err, status)
				}
				select {
				case count := <-sent:
					if count > endlesstest.TakenLimit {
						t.Errorf("%d bytes of a head were taken", count)
					}
				case <-time.After(patience):
					t.Errorf("the head was not cut off within %v", patience)
				}
			})
		}
	}
}

// Guards against a back end that goes unnoticed while it sends heads without end: it is named with the bound, and rests like one that fails.
func TestAHeadWithoutEndIsNamedAndCounted(t *testing.T) {
	for name, bound := range map[string]responses.Bound{
		"a field": responses.BoundBytes, "fields": responses.BoundFields, "interim answers": responses.BoundInterims,
	} {
		kinds, err := endless.Named(name)
		if err != nil {
			t.Fatal(err)
		}
		sent := make(chan int, 10)
		f := newFront(t, newStandIn(t, sendingWithoutEnd(kinds[0], sent)))
		f.get("/once/x")
		counts := f.gateway.options.Responses.Counts()
		if want := (responses.Count{Party: "i-0", Bound: bound, Count: 1}); len(counts) != 1 || counts[0] != want {
			t.Errorf("%s: %v, want %v", name, counts, want)
		}
	}
}

// Guards against a wait without a bound: before a request was repeated elsewhere, the rest of a failure's long body was asked for.
func TestTheRestOfAFailureIsNotWaitedFor(t *testing.T) {
	kinds, err := endless.Named("the body of a failure that stalls")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan int, 10)
	f := newFront(t, newStandIn(t, sendingWithoutEnd(kinds[0], sent)), newStandIn(t, saying(fine)))
	begun := time.Now()
	if a := f.get("/safe/x"); a.err != nil || a.status != http.StatusOK {
		t.Errorf("status %d, %v after %v", a.status, a.err, time.Since(begun))
	}
}

// Guards against bounds that sound answers exceed: many fields, a long head and interim responses are passed on.
func TestALongHeadWithinBoundsIsPassedOn(t *testing.T) {
	b := newStandIn(t, saying(func(r seen) string {
		lines := []string{"X-Long: " + strings.Repeat("v", 24<<10)}
		for i := range 100 {
			lines = append(lines, fmt.Sprintf("X-%d: v", i))
		}
		return strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 4) + answer(r, 200, "fine "+r.id(), lines...)
	}))
	f := newFront(t, b)
	for range 3 {
		if a := f.post("/once/x", "b"); a.status != 200 || len(a.header.Get("X-Long")) != 24<<10 || a.header.Get("X-99") != "v" {
			t.Fatalf("status %d, %v", a.status, a.err)
		}
	}
	if b.connections() != 1 {
		t.Errorf("%d connections, the first was fit for use", b.connections())
	}
}
