package responses

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
	// exceeded is told of each bound that the head of a response exceeds.
	exceeded func(error)
}

// Read reads from the connection, and notes the first bound that a head exceeds.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.conn.Read(p)
	if exceeded := s.scanner.take(p[:n]); exceeded != nil {
		s.exceeded(exceeded)
		s.scanner.isPastHead = true
	}
	return n, err
}

// OnExceeded sets who is told when a head exceeds a bound. It is called within Next.
func (r *Reader) OnExceeded(exceeded func(error)) { r.source.exceeded = exceeded }

// NewReader makes a reader with a buffer of so many bytes.
func NewReader(conn net.Conn, bufferSize int) *Reader {
	s := &source{conn: conn, scanner: scanner{bounds: Default(), isPastHead: true}, exceeded: func(error) {}}
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
	if exceeded := r.source.scanner.take(buffered); exceeded != nil {
		r.source.exceeded(exceeded)
	}
	return nil
}

var _ io.Reader = (*source)(nil)
