package protocolversion

import "fmt"

// Span is the versions that a process speaks, both ends included; the zero value stands for this program's own.
type Span struct{ Low, High Version }

// Own is what this program speaks.
var Own = Span{First, Newest}

// OrOwn returns the span, or this program's own for the zero value.
func (s Span) OrOwn() Span {
	if s == (Span{}) {
		return Own
	}
	return s
}

// String returns the span for messages.
func (s Span) String() string { return fmt.Sprintf("%d to %d", s.Low, s.High) }

// Has reports whether the span includes a version.
func (s Span) Has(version Version) bool { return s.Low <= version && version <= s.High }

// Wire returns the two fields that announce the span; an end at First is left out as 0.
func (s Span) Wire() (low, high uint32) {
	if s.Low > First {
		low = uint32(s.Low)
	}
	if s.High > First {
		high = uint32(s.High)
	}
	return low, high
}

// ReadSpan reads the two fields that announce a span. Its error is an *ImpossibleError.
func ReadSpan(low, high uint32) (Span, error) {
	span := Span{max(Version(low), First), max(Version(high), First)}
	if span.Low > span.High || span.High > Highest {
		return Span{}, &ImpossibleError{low, high}
	}
	return span, nil
}

// Agree returns the highest version that both processes speak. Its error is a *DisjointError.
func Agree(own, peer Span) (Version, error) {
	highest := min(own.High, peer.High)
	if highest < max(own.Low, peer.Low) {
		return 0, &DisjointError{own, peer}
	}
	return highest, nil
}
