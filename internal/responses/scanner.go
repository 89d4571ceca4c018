package responses

import "bytes"

// Bounds are the most that the head of one response may have, interim responses (status below 200) before it counted in.
type Bounds struct {
	// Bytes of heads, with line ends.
	Bytes int
	// Fields, a continued line counting as one more.
	Fields int
	// Interims are the interim responses.
	Interims int
}

// scanner follows the bytes of a response as net/http will parse them, up to the end of its head, and counts. It keeps no byte.
type scanner struct {
	bounds                 Bounds
	size, fields, interims int
	// isPastHead says that what follows is the body, which is not counted.
	isPastHead bool
	// lineSize is the number of bytes of the present line so far, lastByte the last of them.
	lineSize int
	lastByte byte
	// The present line is a status line where isStatusLine; then statusClass is the first digit of its code, once that has come.
	isStatusLine bool
	hasSpace     bool
	statusClass  byte
}

// begin starts a new response.
func (s *scanner) begin() {
	*s = scanner{bounds: s.bounds, isStatusLine: true}
}

// take follows the next bytes. Its error is a *BoundError once they exceed a bound.
func (s *scanner) take(text []byte) error {
	for len(text) > 0 && !s.isPastHead {
		line, rest, isEnded := bytes.Cut(text, []byte{'\n'})
		s.takePart(line)
		s.size += len(line)
		if isEnded {
			s.size++
			s.endLine()
		}
		if err := s.check(); err != nil {
			return err
		}
		text = rest
	}
	return nil
}

// takePart follows a part of a line.
func (s *scanner) takePart(part []byte) {
	if len(part) == 0 {
		return
	}
	s.lineSize += len(part)
	s.lastByte = part[len(part)-1]
	if s.isStatusLine && s.statusClass == 0 {
		s.findStatus(part)
	}
}

// findStatus looks for the first byte after the first spaces of a status line.
func (s *scanner) findStatus(part []byte) {
	if !s.hasSpace {
		at := bytes.IndexByte(part, ' ')
		if at < 0 {
			return
		}
		s.hasSpace = true
		part = part[at:]
	}
	if code := bytes.TrimLeft(part, " "); len(code) > 0 {
		s.statusClass = code[0]
	}
}

// endLine ends the present line, and the head with an empty one.
func (s *scanner) endLine() {
	isEmpty := s.lineSize == 0 || s.lineSize == 1 && s.lastByte == '\r'
	s.lineSize = 0
	switch {
	case s.isStatusLine:
		// An empty status line is no HTTP; the parser refuses it.
		s.isPastHead = isEmpty
		s.isStatusLine = false
	case !isEmpty:
		s.fields++
	case s.statusClass < '2' || s.statusClass > '9':
		// As the parser has it, every code below 200 is interim, also one like 099.
		s.interims++
		s.isStatusLine = true
		s.hasSpace = false
		s.statusClass = 0
	default:
		s.isPastHead = true
	}
}

func (s *scanner) check() error {
	switch {
	case s.size > s.bounds.Bytes:
		return &BoundError{Bound: BoundBytes, Limit: s.bounds.Bytes}
	case s.fields > s.bounds.Fields:
		return &BoundError{Bound: BoundFields, Limit: s.bounds.Fields}
	case s.interims > s.bounds.Interims:
		return &BoundError{Bound: BoundInterims, Limit: s.bounds.Interims}
	}
	return nil
}
