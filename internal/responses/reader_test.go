package responses

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"topazshed/internal/endless"
	"topazshed/internal/testseeds"
)

// pieceConn gives a text in pieces of random sizes, whatever is asked for.
type pieceConn struct {
	net.Conn
	next   func() []byte
	left   []byte
	random *rand.Rand
	read   int
}

func (c *pieceConn) Read(p []byte) (int, error) {
	if len(c.left) == 0 {
		if c.left = c.next(); c.left == nil {
			return 0, io.EOF
		}
	}
	n := copy(p, c.left[:min(len(c.left), 1+c.random.IntN(700))])
	c.left = c.left[n:]
	c.read += n
	return n, nil
}

func (c *pieceConn) Close() error { return nil }

// Guards against a bound that is taken for a malformed line: the last line before it may have come in part only.
func TestAHeadWithoutEndIsAlwaysABoundError(t *testing.T) {
	const bufferSize = 4 << 10
	testseeds.Each(t, 100, func(t *testing.T, seed int64) {
		for _, kind := range endless.Kinds {
			// The parser itself refuses an empty line in place of a status line.
			if !kind.IsHead || kind.Name == "empty lines" {
				continue
			}
			conn := &pieceConn{next: kind.NewStream(endless.Head{}).Next, random: rand.New(rand.NewPCG(uint64(seed), 46))}
			response, err := NewReader(conn, bufferSize).Next(&http.Request{Method: http.MethodGet})
			var exceeded *BoundError
			if response != nil || !errors.As(err, &exceeded) {
				t.Errorf("%s: %v, %v", kind.Name, response, err)
			}
			if conn.read > Default().Bytes+bufferSize {
				t.Errorf("%s: %d bytes were read", kind.Name, conn.read)
			}
		}
	})
}

// A response behind another one has bounds of its own, also where the buffer holds its head already.
func TestEachResponseOfAConnectionHasItsOwnBounds(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + strings.Repeat("A: 1\r\n", Default().Fields-1) + "\r\nbody"
	for seed := range uint64(20) {
		texts := [][]byte{[]byte(head + head + head), nil}
		conn := &pieceConn{random: rand.New(rand.NewPCG(seed, 46)), next: func() []byte {
			text := texts[0]
			texts = texts[1:]
			return text
		}}
		reader := NewReader(conn, 4<<10)
		for range 3 {
			response, err := reader.Next(&http.Request{Method: http.MethodGet})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(response.Body); err != nil || string(body) != "body" {
				t.Fatalf("%q, %v", body, err)
			}
		}
		if _, err := reader.Next(nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%v behind the last one", err)
		}
	}
}
