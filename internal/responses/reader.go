package responses

import (
	"bufio"
	"net"
	"net/http"

	"topazshed/internal/sockets"
)

// Reader reads responses from a connection, one after the other.
type Reader struct {
	*bufio.Reader
	source *source
}

// source is what the buffer of a Reader is filled from.
type source struct {
	conn    net.Conn
	scanner scanner
	// exceeded is the *BoundError after which the connection was reset, or nil.
	exceeded error
}

// Read reads from the connection. Once a head exceeds a bound its error is a *BoundError, and the connection is reset.
func (s *source) Read(p []byte) (int, error) {
	if s.exceeded != nil {
		return 0, s.exceeded
	}
	n, err := s.conn.Read(p)
	if exceeded := s.take(p[:n]); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}

// take counts bytes that were read.
func (s *source) take(text []byte) error {
	s.exceeded = s.scanner.take(text)
	if s.exceeded != nil {
		sockets.Reset(s.conn)
	}
	return s.exceeded
}

// NewReader makes a reader with a buffer of so many bytes.
func NewReader(conn net.Conn, bufferSize int) *Reader {
	s := &source{conn: conn, scanner: scanner{bounds: Default(), isPastHead: true}}
	return &Reader{Reader: bufio.NewReaderSize(s, bufferSize), source: s}
}

// Next reads the head of the next response that is not interim. What came before it on the connection must have been read. Its error
// is a *BoundError where the head exceeds a bound. The body is not to be closed, which would read it to its end: the connection is.
func (r *Reader) Next(request *http.Request) (*http.Response, error) {
	if err := r.expectHead(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(r.Reader, request)
		if r.source.exceeded != nil {
			// The parser may have taken what came before the bound for a malformed line.
			return nil, r.source.exceeded
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// expectHead begins a head with what the buffer holds of it already.
func (r *Reader) expectHead() error {
	r.source.scanner.begin()
	buffered, err := r.Peek(r.Buffered())
	if err != nil {
		return err
	}
	return r.source.take(buffered)
}
