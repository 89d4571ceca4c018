package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/responses"
)

// recorded is a connection on which a back end says what was recorded and then ends it.
type recorded struct {
	net.Conn
	said *bytes.Reader
}

func (r recorded) Read(p []byte) (int, error)      { return r.said.Read(p) }
func (r recorded) SetDeadline(time.Time) error     { return nil }
func (r recorded) SetReadDeadline(time.Time) error { return nil }

// FuzzAnswer has a back end say anything. What is taken for an answer must bear the request's id, be whole, and end by itself; everything else
// must be an error, with its reason.
func FuzzAnswer(f *testing.F) {
	const id = "a1"
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n"
	for _, said := range []string{
		head + "Content-Length: 5\r\n\r\nwhole",
		head + "Content-Length: 9\r\n\r\nshort",
		head + "\r\nno length",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwho",
		head + "Content-Length: 5\r\n\r\nwhole" + head + "Content-Length: 4\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 4\r\n\r\nlate" + head + "Content-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!",
		head + "Content-Length: -5\r\n\r\nwhole",
		"\x00\x01\x02", "", "HTTP/1.1 200",
	} {
		f.Add([]byte(said), false)
		f.Add([]byte(said), true)
	}
	f.Fuzz(func(t *testing.T, said []byte, isHead bool) {
		request := &http.Request{Method: http.MethodGet}
		if isHead {
			request.Method = http.MethodHead
		}
		x := &exchange{names: Names{Attempt: "Attempt-Id", NotRun: "Not-Executed"}, request: request, id: id}
		source := recorded{said: bytes.NewReader(said)}
		conn := &Conn{Conn: source, reader: responses.NewReader(source, readBufferSize)}
		answer, isReusable, err := x.read(conn)
		if err != nil {
			var broken *BrokenError
			if !errors.As(err, &broken) || broken.Reason == "" || answer != nil || isReusable {
				t.Fatalf("%v, answer %v, reusable %v", err, answer, isReusable)
			}
			return
		}
		if answer.Header.Get("Attempt-Id") != id || answer.Status < 200 {
			t.Fatalf("status %d of request %q is taken", answer.Status, answer.Header.Get("Attempt-Id"))
		}
		if answer.Rest == nil && (len(answer.Body) > constants.KeepAnswer || answer.Length != int64(len(answer.Body))) {
			t.Fatalf("a body of %d bytes has length %d", len(answer.Body), answer.Length)
		}
		if answer.Rest != nil {
			if _, err := io.Copy(io.Discard, answer.Rest); err == nil && answer.Length >= 0 && int64(len(said)) < answer.Length {
				t.Fatalf("an answer of %d bytes ends well after %d", answer.Length, len(said))
			}
		}
	})
}
