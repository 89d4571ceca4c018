// Package endless sends HTTP/1.1 responses without end, in every way that tests and the test fleet know. It is for tests only: a
// faulty back end is one of its Kinds.
package endless

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// blockSize (bytes) is what is written at once, at least.
const blockSize = 64 << 10

// Head is what a sound response of a stand-in has at its beginning: the status line's code and the lines that make it trustworthy.
type Head struct {
	// Echo are lines that name the request that is answered, Seal the lines that vouch for a success.
	Echo, Seal []string
}

// open is a head with further lines, without the empty line.
func (h Head) open(status int, isSealed bool, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Word\r\n", status)
	all := append([]string{}, h.Echo...)
	if isSealed {
		all = append(all, h.Seal...)
	}
	for _, line := range append(all, lines...) {
		text += line + "\r\n"
	}
	return text
}

// Text is a whole head, with further lines.
func (h Head) Text(status int, isSealed bool, lines ...string) string {
	return h.open(status, isSealed, lines...) + "\r\n"
}

// Kind is one way to send without end: a start, then a piece again and again.
type Kind struct {
	Name string
	// IsHead says that no response ever begins: its head has no end, or another one follows.
	IsHead bool
	// start is what comes first; nil for nothing.
	start func(Head) string
	// piece is repeated; an empty one stalls. Each "#" in it is replaced by a number that grows from piece to piece where isNumbered.
	piece      string
	isNumbered bool
}

const (
	chunked = "Transfer-Encoding: chunked"
	// hugeLength is a length that is never reached.
	hugeLength = "Content-Length: 1099511627776"
)

func success(head Head) string { return head.open(200, true) }

func chunks(head Head) string { return head.Text(200, true, chunked) }

func startOf(text string) func(Head) string {
	return func(Head) string { return text }
}

// largeChunk is a chunk of nearly blockSize.
var largeChunk = fmt.Sprintf("%x\r\n%s\r\n", blockSize-16, strings.Repeat("b", blockSize-16))

// Kinds are all ways of sending.
var Kinds = []Kind{
	{Name: "no line end", IsHead: true, piece: "g"},
	{Name: "empty lines", IsHead: true, piece: "\r\n"},
	{Name: "a status line", IsHead: true, start: startOf("HTTP/1.1 200 "), piece: "w"},
	{Name: "a field", IsHead: true, start: func(h Head) string { return success(h) + "X-Long: " }, piece: "v"},
	{Name: "a field's name", IsHead: true, start: success, piece: "n"},
	{Name: "fields", IsHead: true, start: success, piece: "X-#: v\r\n", isNumbered: true},
	{Name: "one field repeated", IsHead: true, start: success, piece: "X-Same: v\r\n"},
	{Name: "a continued field", IsHead: true, start: func(h Head) string { return success(h) + "X-Long: v\r\n" }, piece: " more\r\n"},
	{Name: "interim answers", IsHead: true, piece: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Name: "interim answers with fields", IsHead: true, piece: "HTTP/1.1 103 Early Hints\r\nLink: <" + strings.Repeat("l", 2000) + ">\r\n\r\n"},
	{Name: "a long head that stalls", IsHead: true, start: func(h Head) string { return success(h) + "X-Long: " + strings.Repeat("v", 900_000) }},
	{Name: "many fields that stall", IsHead: true, start: func(h Head) string { return success(h) + strings.Repeat("X:\r\n", 75_000) }},
	{Name: "a body in large chunks", start: chunks, piece: largeChunk},
	{Name: "a body in tiny chunks", start: chunks, piece: "1\r\nb\r\n"},
	{Name: "a body of one length", start: func(h Head) string { return h.Text(200, true, hugeLength) }, piece: "b"},
	{Name: "a body up to the close", start: func(h Head) string { return h.Text(200, true) }, piece: "b"},
	{Name: "a body without seal", start: func(h Head) string { return h.Text(200, false, hugeLength) }, piece: "b"},
	{Name: "a body that stalls", start: func(h Head) string { return h.Text(200, true, hugeLength) + strings.Repeat("b", 64_000) }},
	{Name: "the body of a failure", start: func(h Head) string { return h.Text(500, true, hugeLength) }, piece: "b"},
	{Name: "the body of a failure that stalls", start: func(h Head) string { return h.Text(500, true, hugeLength) + strings.Repeat("b", blockSize+1) }},
	{Name: "a chunk's length", start: func(h Head) string { return chunks(h) + "1" }, piece: "0"},
	{Name: "a chunk's extension", start: func(h Head) string { return chunks(h) + "1;" }, piece: "e"},
	{Name: "trailers", start: func(h Head) string { return chunks(h) + "0\r\n" }, piece: "X-#: v\r\n", isNumbered: true},
	{Name: "answers of others", piece: "HTTP/1.1 200 Word\r\nContent-Length: 1\r\n\r\nb"},
	{Name: "bytes after an answer", start: func(h Head) string { return h.Text(200, true, "Content-Length: 2") + "ok" }, piece: "b"},
}

// Named gives the kind of a name, or all of them for an empty one.
func Named(name string) ([]Kind, error) {
	if name == "" {
		return Kinds, nil
	}
	for _, kind := range Kinds {
		if kind.Name == name {
			return []Kind{kind}, nil
		}
	}
	return nil, fmt.Errorf("no way of sending is called %q; give a name of internal/endless", name)
}

// Stream is one response without end.
type Stream struct {
	kind Kind
	// start is what comes first, until it was given.
	start  []byte
	block  []byte
	number int
}

// NewStream begins a response of a kind.
func (k Kind) NewStream(head Head) *Stream {
	s := &Stream{kind: k}
	if k.start != nil {
		s.start = []byte(k.start(head))
	}
	return s
}

// Next gives the next bytes; they stay valid until it is called again. It gives none where the response stalls.
func (s *Stream) Next() []byte {
	if start := s.start; start != nil {
		s.start = nil
		return start
	}
	if s.kind.piece == "" {
		return nil
	}
	if s.block == nil || s.kind.isNumbered {
		s.fill()
	}
	return s.block
}

// fill makes a block of pieces.
func (s *Stream) fill() {
	s.block = s.block[:0]
	for len(s.block) < blockSize {
		piece := []byte(s.kind.piece)
		if s.kind.isNumbered {
			s.number++
			piece = bytes.ReplaceAll(piece, []byte("#"), strconv.AppendInt(nil, int64(s.number), 10))
		}
		s.block = append(s.block, piece...)
	}
}

// SendUpTo writes until the other end closes the connection, the response stalls or so many bytes are sent, and tells how many were.
func (k Kind) SendUpTo(out io.Writer, head Head, limit int) (sent int, err error) {
	stream := k.NewStream(head)
	for sent < limit && err == nil {
		block := stream.Next()
		if block == nil {
			return sent, nil
		}
		var written int
		written, err = out.Write(block)
		sent += written
	}
	return sent, err
}
