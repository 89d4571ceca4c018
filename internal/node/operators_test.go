package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"topazshed/internal/sockets"
)

// Guards against carrying out the call of an operator that has given it up (EVAC): after a standstill a process finds both the
// call and the end of its connection.
func TestACallerThatHasClosedItsConnectionDoesNotWait(t *testing.T) {
	const patience = 4 * time.Second
	arrived, closed, isWaiting := make(chan struct{}), make(chan struct{}), make(chan bool, 2)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The context alone would do once net/http has seen the end; the socket tells at once.
		caller := waitingCaller{context.WithoutCancel(r.Context())}
		isWaiting <- caller.IsWaiting()
		close(arrived)
		<-closed
		for end := time.Now().Add(patience); caller.IsWaiting() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		isWaiting <- caller.IsWaiting()
	}))
	server.Config.ConnContext = sockets.WithConn
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("DELETE /evacuation/z HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-arrived
	conn.Close()
	close(closed)
	if !<-isWaiting {
		t.Error("a caller that waits counts as gone")
	}
	if <-isWaiting {
		t.Error("a caller that has closed its connection counts as waiting")
	}
}
