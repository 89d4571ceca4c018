package leasecall

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"topazshed/internal/endless"
	"topazshed/internal/endless/endlesstest"
	"topazshed/internal/responses"
	"topazshed/internal/sharding"
)

// lenientHead (bytes) is far below what net/http's client keeps of a head if it is not told otherwise, 10 MB.
const lenientHead = 1 << 20

// Guards against back ends that answer calls about leases without end (FAULT): the leader kept up to 10 MB of each head.
func TestAResponseToALeaseCallIsBounded(t *testing.T) {
	for _, kind := range endless.Kinds {
		t.Run(kind.Name, func(t *testing.T) {
			sender := endlesstest.NewSender(t, kind, func(*http.Request) (endless.Head, string) { return endless.Head{}, "" })
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			answer, err := newTestClient().Post(ctx, sharding.Call{ID: 7, Address: sender.Address()}, "/path", testBody{5})
			var exceeded *responses.BoundError
			if kind.IsHead && (answer.Result != sharding.Unknown || !errors.As(err, &exceeded) && kind.Name != "empty lines") {
				t.Errorf("%+v, %v; what it answered can't be known", answer, err)
			}
			sender.CheckSent(t, 0)
		})
	}
}

// Guards against heads that net/http's client would keep up to 10 MB of: each call's, on the leader, at once.
func TestTheHeadOfAResponseIsNotKeptBeyondItsBound(t *testing.T) {
	for name, head := range map[string]string{"bytes": "X-Long: ", "fields": ""} {
		sent := make(chan int, 1)
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			text := []byte("HTTP/1.1 200 OK\r\n" + head)
			for len(text) < lenientHead {
				if head == "" {
					text = append(text, "X:\r\n"...)
				} else {
					text = append(text, 'v')
				}
			}
			conn.Write(append(text, "\r\nContent-Length: 0\r\n\r\n"...))
			sent <- len(text)
		})
		server := httptest.NewServer(handler)
		defer server.Close()
		client := NewHTTPClient(NewDial(netip.MustParseAddr("127.0.0.1")), 3*time.Second)
		response, err := client.Get(server.URL)
		if err == nil {
			response.Body.Close()
			t.Errorf("%s: a head of %d bytes was kept", name, lenientHead)
		}
		<-sent
	}
}
