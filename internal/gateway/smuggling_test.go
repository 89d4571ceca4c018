package gateway

import (
	"fmt"
	"strings"
	"testing"
)

func TestSmuggling(t *testing.T) {
	inner := "GET /once/inner HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": inner\r\n\r\n"
	head := "POST /once/outer HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": outer\r\n"
	for _, c := range []struct{ name, text string }{
		{"two lengths that differ", head + "Content-Length: 0\r\nContent-Length: 99\r\n\r\n" + inner},
		{"two lengths in one line", head + "Content-Length: 0, 99\r\n\r\n" + inner},
		{"a length with a sign", head + "Content-Length: +0\r\n\r\n" + inner},
		{"a negative length", head + "Content-Length: -1\r\n\r\n" + inner},
		{"a length in hex", head + "Content-Length: 0x10\r\n\r\n" + inner},
		{"a space before the colon", head + "Content-Length : 5\r\nContent-Length: 0\r\n\r\n" + inner},
		{"chunked twice", head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + inner},
		{"chunked in two lines", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner},
		{"another encoding", head + "Transfer-Encoding: xchunked\r\n\r\n" + inner},
		{"an encoding with a vertical tab", head + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n" + inner},
		{"a space before the encoding's colon", head + "Transfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n" + inner},
		{"a bare line feed in a chunk's size", head + "Transfer-Encoding: chunked\r\n\r\n1;\n" + inner},
		{"a chunk's size too large", head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + inner},
		{"a folded header", head + "X: 1\r\n " + names.Attempt + ": other\r\nContent-Length: 0\r\n\r\n"},
		{"a line feed within a path", "GET /once/a\nb HTTP/1.1\r\nHost: one.example\r\n" + names.Attempt + ": outer\r\n\r\n"},
		{"two hosts", head + "Host: two.example\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStandIn(t, saying(fine))
			f := newFront(t, b)
			statuses := f.raw(c.text)
			all := b.got()
			for _, r := range all {
				if r.id() == "inner" || r.URI == "/once/inner" {
					t.Fatalf("a smuggled request ran: %v, statuses %v", r, statuses)
				}
			}
			// Without a request at the back end the answer is 400 or 501, or the connection ends unanswered.
			if len(all) > 1 || len(all) == 0 && len(statuses) > 0 && statuses[0] != 400 && statuses[0] != 501 {
				t.Fatalf("%d requests, statuses %v", len(all), statuses)
			}
		})
	}
	t.Run("a length beside chunks: the inner one stays in the body", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		statuses := f.raw(head + fmt.Sprintf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner))
		all := b.got()
		if len(all) > 1 || len(all) == 1 && string(all[0].Body) != inner || len(statuses) == 0 {
			t.Fatalf("%v, statuses %v", all, statuses)
		}
	})
	t.Run("a body with a request in it stays a body", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		f.raw(head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner))
		if all := b.got(); len(all) != 1 || string(all[0].Body) != inner || all[0].id() != "outer" {
			t.Fatalf("%v", all)
		}
	})
	t.Run("a GET with a body keeps it", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		f.raw(strings.Replace(head, "POST", "GET", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner))
		if all := b.got(); len(all) != 1 || string(all[0].Body) != inner {
			t.Fatalf("%v", all)
		}
	})
	t.Run("pipelined requests each get their own answer", func(t *testing.T) {
		b := newStandIn(t, saying(fine))
		f := newFront(t, b)
		if statuses := f.raw(head + "Content-Length: 0\r\n\r\n" + inner); fmt.Sprint(statuses) != "[200 200 400]" || len(b.got()) != 2 {
			t.Fatalf("%v, %d requests", statuses, len(b.got()))
		}
	})
}
