package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
)

func TestUntrustworthyAnswers(t *testing.T) {
	long := strings.Repeat("y", 100)
	for _, c := range []struct {
		name string
		act  script
	}{
		{"cut short by its length", thenClose(func(r seen) string { return answer(r, 200, long, "Content-Length: 101") })},
		{"cut short, chunked", thenClose(func(r seen) string { return answer(r, 200, "64\r\n"+long+"\r\n", "Transfer-Encoding: chunked") })},
		{"cut short within a chunk", thenClose(func(r seen) string { return answer(r, 200, "65\r\n"+long, "Transfer-Encoding: chunked") })},
		{"cut short within its head", thenClose(func(r seen) string { return answer(r, 200, "")[:30] })},
		{"no bytes", thenClose(nothing)},
		{"reset", thenReset(nothing)},
		{"reset within its body", thenReset(func(r seen) string { return answer(r, 200, long, "Content-Length: 200") })},
		{"ended by closing", thenClose(func(r seen) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\n%s", names.Attempt, r.id(), names.Seal, long)
		})},
		{"no protocol", thenClose(func(seen) string { return "\x16\x03\x01 not an answer\r\n\r\n" })},
		{"a broken chunk", thenClose(func(r seen) string { return answer(r, 200, "zz\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked") })},
		{"a success without seal", saying(func(r seen) string { return unsealed(fine(r)) })},
		{"a success with an empty seal", saying(func(r seen) string { return strings.Replace(fine(r), "seal-"+r.id(), "", 1) })},
		{"an encoded success", saying(func(r seen) string { return answer(r, 200, "zip", "Content-Encoding: gzip") })},
		{"503 without word that it has not run", saying(func(r seen) string { return answer(r, 503, "") })},
		{"429 without word that it has not run", saying(func(r seen) string { return answer(r, 429, "") })},
		{"408 without word that it has not run", saying(func(r seen) string { return answer(r, 408, "") })},
		{"another's answer alone", thenClose(func(r seen) string { return strings.ReplaceAll(fine(r), r.id(), "ffff") })},
		{"an answer without id", thenClose(func(r seen) string { return strings.Replace(fine(r), names.Attempt, "X-Nothing", 1) })},
	} {
		for _, isSafe := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, repeatable %v", c.name, isSafe), func(t *testing.T) {
				bad, good := newStandIn(t, c.act), newStandIn(t, saying(fine))
				f := newFront(t, bad, good)
				path := "/once/x"
				if isSafe {
					path = "/safe/x"
				}
				r := f.request("POST", path, strings.NewReader("work"))
				a := f.do(r)
				if a.err != nil {
					t.Fatal(a.err)
				}
				if len(bad.got()) != 1 {
					t.Fatalf("the first back end got %d requests", len(bad.got()))
				}
				if isSafe && (a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) || len(good.got()) != 1 || string(good.got()[0].Body) != "work") {
					t.Fatalf("status %d, %q, %d requests at the other", a.status, a.body, len(good.got()))
				}
				if !isSafe && (a.status != 502 || len(good.got()) != 0) {
					t.Fatalf("status %d, %q, %d requests at the other", a.status, a.body, len(good.got()))
				}
			})
		}
	}
}

func TestALongAnswerCutShortNeverLooksComplete(t *testing.T) {
	long := strings.Repeat("z", 3*constants.KeepAnswer)
	for _, c := range []struct {
		name string
		act  script
	}{
		{"by its length", thenClose(func(r seen) string { return answer(r, 200, long, fmt.Sprint("Content-Length: ", len(long)+1)) })},
		{"chunked", thenClose(func(r seen) string {
			return answer(r, 200, fmt.Sprintf("%x\r\n%s\r\n", len(long), long), "Transfer-Encoding: chunked")
		})},
		{"a broken chunk", thenClose(func(r seen) string {
			return answer(r, 200, fmt.Sprintf("%x\r\n%s\r\nzz\r\n0\r\n\r\n", len(long), long), "Transfer-Encoding: chunked")
		})},
		{"reset", thenReset(func(r seen) string { return answer(r, 200, long, fmt.Sprint("Content-Length: ", 2*len(long))) })},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFront(t, newStandIn(t, c.act))
			a := f.get("/safe/x")
			if a.err == nil && a.status == 200 {
				t.Fatalf("%d bytes of a broken answer look complete", len(a.body))
			}
		})
	}
}

func TestSurplusNeverReachesTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		extra func(r seen) string
	}{
		{"a second answer of the same id", fine},
		{"a second answer of another id", func(r seen) string { return strings.ReplaceAll(fine(r), r.id(), "ffff") }},
		{"stray bytes", func(seen) string { return "stray" }},
		{"half an answer", func(r seen) string { return fine(r)[:20] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			// With the answer at once, or on its own just after it.
			for _, isApart := range []bool{false, true} {
				written := make(chan struct{}, 10)
				b := newStandIn(t, func(r seen, conn net.Conn) bool {
					if isApart {
						io.WriteString(conn, fine(r))
						io.WriteString(conn, c.extra(r))
					} else {
						io.WriteString(conn, fine(r)+c.extra(r))
					}
					written <- struct{}{}
					return true
				})
				f := newFront(t, b)
				for range 3 {
					r := f.request("POST", "/once/x", nil)
					if a := f.do(r); a.err != nil || a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) {
						t.Fatalf("apart %v: %+v", isApart, a)
					}
					select {
					case <-written:
					case <-time.After(patience):
						t.Fatal("the back end is stuck")
					}
				}
			}
		})
	}
}

func TestALateAnswerOfAnotherIDIsSkipped(t *testing.T) {
	b := newStandIn(t, saying(func(r seen) string {
		return answer(seen{Header: http.Header{names.Attempt: {"ffff"}}}, 200, "late") + fine(r)
	}))
	f := newFront(t, b)
	for range 2 {
		r := f.request("POST", "/once/x", nil)
		if a := f.do(r); a.status != 200 || string(a.body) != "fine "+r.Header.Get(names.Attempt) {
			t.Fatalf("%+v", a)
		}
	}
	if b.connections() != 2 {
		t.Errorf("a connection with surplus answers was used again")
	}
}

func TestInterimAnswersArePassedOver(t *testing.T) {
	b := newStandIn(t, saying(func(r seen) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + fine(r)
	}))
	if a := newFront(t, b).post("/once/x", "b"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
}
