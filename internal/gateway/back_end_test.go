package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// patience bounds every wait on a socket or a channel; nothing waits for it to pass unless something is wrong.
const patience = 4 * time.Second

var names = DefaultNames()

type seen struct {
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	BodyErr           error
	TransferEncoding  []string
	Length            int64
	Connection        int
}

func (s seen) id() string { return s.Header.Get(names.Attempt) }

// standIn is a back end on a loopback socket; its script writes raw bytes and tells whether the connection stays open.
type standIn struct {
	listener net.Listener
	lock     sync.Mutex
	requests []seen
	opened   int
	closed   chan struct{}
	stop     func()
}

type script func(r seen, conn net.Conn) (isOpen bool)

func newStandIn(t testing.TB, act script) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{listener: listener, closed: make(chan struct{}, 100)}
	var group sync.WaitGroup
	var conns sync.Map
	s.stop = func() {
		listener.Close()
		conns.Range(func(conn, _ any) bool { conn.(net.Conn).Close(); return true })
		group.Wait()
	}
	t.Cleanup(s.stop)
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			s.lock.Lock()
			s.opened++
			number := s.opened
			s.lock.Unlock()
			group.Go(func() {
				defer func() {
					conn.Close()
					s.closed <- struct{}{}
				}()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, err := io.ReadAll(request.Body)
					r := seen{request.Method, request.RequestURI, request.Host, request.Header, body, err, request.TransferEncoding, request.ContentLength, number}
					s.lock.Lock()
					s.requests = append(s.requests, r)
					s.lock.Unlock()
					if err != nil || !act(r, conn) {
						return
					}
				}
			})
		}
	})
	return s
}

func (s *standIn) address() string { return s.listener.Addr().String() }

func (s *standIn) got() []seen {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]seen(nil), s.requests...)
}

func (s *standIn) connections() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.opened
}

func answer(r seen, status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Word\r\n%s: %s\r\n%s: seal-%s\r\n", status, names.Attempt, r.id(), names.Seal, r.id())
	isSized := false
	for _, header := range headers {
		text += header + "\r\n"
		isSized = isSized || strings.HasPrefix(header, "Content-Length") || strings.HasPrefix(header, "Transfer-Encoding")
	}
	if !isSized {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

func unsealed(text string) string {
	var kept []string
	for _, line := range strings.SplitAfter(text, "\r\n") {
		if !strings.HasPrefix(line, names.Seal) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "")
}

func saying(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		return true
	}
}

func thenClose(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		return false
	}
}

func thenReset(text func(seen) string) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, text(r))
		conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func fine(r seen) string { return answer(r, 200, "fine "+r.id()) }

func nothing(seen) string { return "" }

func notRun(status int) func(seen) string {
	return func(r seen) string { return unsealed(answer(r, status, "", names.NotRun+": 1")) }
}

// hanging answers nothing, or the given start of an answer, and then waits for the gateway to close the connection.
func hanging(start func(seen) string, begun chan<- struct{}) script {
	return func(r seen, conn net.Conn) bool {
		io.WriteString(conn, start(r))
		begun <- struct{}{}
		conn.SetReadDeadline(time.Now().Add(3 * patience))
		io.Copy(io.Discard, conn)
		return false
	}
}

func await(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(patience):
		t.Fatalf("%s did not happen within %v", what, patience)
	}
}
