package responses

import (
	"bufio"
	"net"
	"net/http"
)

// Reader reads responses from a connection, one after the other.
type Reader struct {
	*bufio.Reader
	guard *guard
}

// NewReader makes a reader with a buffer of so many bytes.
func NewReader(conn net.Conn, bufferSize int) *Reader {
	g := newGuard(conn)
	return &Reader{Reader: bufio.NewReaderSize(g, bufferSize), guard: g}
}

// Next reads the head of the next response that is not interim. What came before it on the connection must have been read. Its error
// is a *BoundError where the head exceeds a bound. The body is not to be closed, which would read it to its end: the connection is.
func (r *Reader) Next(request *http.Request) (*http.Response, error) {
	if err := r.expectHead(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(r.Reader, request)
		if exceeded := r.guard.err(); exceeded != nil {
			return nil, exceeded
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// expectHead begins a head with what the buffer holds of it already.
func (r *Reader) expectHead() error {
	r.guard.expectHead()
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return err
	}
	return r.guard.take(buffered)
}
