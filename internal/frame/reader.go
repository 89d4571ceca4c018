package frame

import (
	"errors"
	"io"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// OriginError says that it is not known who sent a frame.
type OriginError struct{}

func (e *OriginError) Error() string {
	return "a frame names no sender and its connection has named none, or may not leave it out; " +
		"the connection is closed, check the peer's version"
}

// RepeatedSpanError says that a connection named its versions after its first frame.
type RepeatedSpanError struct{}

func (e *RepeatedSpanError) Error() string {
	return "versions are named in the first frame of a connection only; the connection is closed, check what program speaks at that address"
}

// Reader takes the frames of one incoming connection and gives each its sender. One goroutine uses it.
type Reader struct {
	in  io.Reader
	own protocolversion.Span
	// sender is the last one that was named; nil before the first.
	sender *schema.Frame
	// agreed is the version in use; 0 before the first frame.
	agreed      protocolversion.Version
	isAnswerDue bool
}

// NewReader begins the frames that this program reads from a connection.
func NewReader(in io.Reader) *Reader { return NewReaderFor(in, protocolversion.Own) }

// NewReaderFor begins the frames that a process of those versions reads from a connection.
func NewReaderFor(in io.Reader, own protocolversion.Span) *Reader { return &Reader{in: in, own: own} }

// IsAnswerDue tells that the peer has named its versions and so reads an answer, also if there is none in common.
func (r *Reader) IsAnswerDue() bool { return r.isAnswerDue }

// Answer tells a peer that named its versions which ones this process speaks.
func Answer(out io.Writer, own protocolversion.Span) error {
	answer := &schema.Frame{}
	answer.SpeaksLow, answer.SpeaksHigh = own.Wire()
	return Write(out, answer)
}

// Read takes one frame. The error is io.EOF at the connection's end, and typed where the peer broke a rule; the connection
// must then be closed.
func (r *Reader) Read() (*schema.Frame, error) {
	frame, err := Read(r.in)
	if err != nil {
		return nil, err
	}
	if err := r.takeVersions(frame); err != nil {
		return nil, err
	}
	switch {
	case frame.From != "":
		r.sender = &schema.Frame{System: frame.System, From: frame.From, Address: frame.Address}
	case r.sender == nil || !protocolversion.Has(r.agreed, protocolversion.SenderOnce):
		return nil, &OriginError{}
	default:
		frame.System, frame.From, frame.Address = r.sender.System, r.sender.From, r.sender.Address
	}
	return frame, nil
}

// takeVersions takes the versions off a frame; those of the first frame decide which one is used.
func (r *Reader) takeVersions(frame *schema.Frame) error {
	low, high := frame.SpeaksLow, frame.SpeaksHigh
	frame.SpeaksLow, frame.SpeaksHigh = 0, 0
	areNamed := low != 0 || high != 0
	if r.agreed != 0 {
		if areNamed {
			return &RepeatedSpanError{}
		}
		return nil
	}
	peer, err := protocolversion.ReadSpan(low, high)
	if err != nil {
		return err
	}
	agreed, err := protocolversion.Agree(r.own, peer)
	var disjoint *protocolversion.DisjointError
	r.isAnswerDue = areNamed && r.own.High > protocolversion.First && (err == nil || errors.As(err, &disjoint))
	if err != nil {
		return err
	}
	r.agreed = agreed
	return nil
}
