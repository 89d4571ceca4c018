// Package endlesstest is a stand-in server for tests, which answers with responses without end.
package endlesstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"topazshed/internal/endless"
)

const (
	// SendLimit (bytes) is what is sent of one response at most, so that a test of code without a bound ends.
	SendLimit = 64 << 20
	// TakenLimit (bytes) of it may be taken by a reader that reads no more than a few KiB: the system's socket buffers take megabytes.
	TakenLimit = 24 << 20
	// stallLimit bounds the wait for a reader to close the connection of a response that stalls.
	stallLimit = 10 * time.Second
)

// Sender listens on a loopback address.
type Sender struct {
	listener net.Listener
	// Sent gets the number of bytes of each response that was sent, once its connection has ended.
	Sent chan int
}

// NewSender answers each request with a kind of response until the test ends. head is what a sound response to a request would have;
// with isSound it may give a whole response instead, after which the connection stays open.
func NewSender(t testing.TB, kind endless.Kind, respond func(r *http.Request) (head endless.Head, sound string)) *Sender {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Sender{listener: listener, Sent: make(chan int, 100)}
	var tasks sync.WaitGroup
	var conns sync.Map
	t.Cleanup(func() {
		listener.Close()
		conns.Range(func(conn, _ any) bool { conn.(net.Conn).Close(); return true })
		tasks.Wait()
	})
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			tasks.Go(func() {
				defer conn.Close()
				s.serve(conn, kind, respond)
			})
		}
	})
	return s
}

// Address is where it listens.
func (s *Sender) Address() string { return s.listener.Addr().String() }

func (s *Sender) serve(conn net.Conn, kind endless.Kind, respond func(*http.Request) (endless.Head, string)) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		head, sound := respond(request)
		if sound == "" {
			s.Sent <- Send(conn, kind, head)
			return
		}
		if _, err := io.WriteString(conn, sound); err != nil {
			return
		}
	}
}

// Send sends a response until the other end closes the connection or SendLimit is reached, and tells how many bytes were sent.
func Send(conn net.Conn, kind endless.Kind, head endless.Head) int {
	sent, err := kind.SendUpTo(conn, head, SendLimit)
	if err == nil && sent < SendLimit {
		conn.SetReadDeadline(time.Now().Add(stallLimit))
		io.Copy(io.Discard, conn)
	}
	return sent
}

// CheckSent holds that a response was cut off before TakenLimit, beside which its reader may read so many bytes.
func (s *Sender) CheckSent(t testing.TB, mayRead int) {
	t.Helper()
	select {
	case sent := <-s.Sent:
		if sent > TakenLimit+mayRead {
			t.Errorf("%d bytes of a response without end were taken", sent)
		}
	case <-time.After(2 * stallLimit):
		t.Errorf("a response without end was not cut off within %v", 2*stallLimit)
	}
}
