package frame

import (
	"errors"
	"io"
	"sync/atomic"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// OriginError says that a frame does not tell who sent it, nor has its connection.
type OriginError struct{}

func (e *OriginError) Error() string {
	return "a frame names no sender and its connection has told none, or may not leave it out; the connection is closed, check the peer's version"
}

// RepeatedSpanError says that a connection told its versions after its first frame.
type RepeatedSpanError struct{}

func (e *RepeatedSpanError) Error() string {
	return "versions are told in the first frame of a connection only; the connection is closed, check what program speaks at that address"
}

// AnswerError says that the answer to a connection's first frame is none.
type AnswerError struct{}

func (e *AnswerError) Error() string {
	return "the other end answered with something else than its versions, or said more; the connection is closed, check what program listens at that address"
}

// Writer sends frames on one connection; the first one tells the versions that this process speaks. Once the peer has told that it reads
// versions.SenderOnce, only frames whose sender differs from what the connection has told name it.
type Writer struct {
	out          io.Writer
	own          protocolversion.Span
	isOriginSent bool
	origin       *schema.Frame
	agreed       atomic.Uint32
	isDisjoint   atomic.Bool
}

// NewWriter begins the frames to a peer that is known to speak this program's newest version.
func NewWriter(out io.Writer) *Writer {
	w := OpenWriter(out, protocolversion.Own)
	w.agreed.Store(uint32(protocolversion.Newest))
	return w
}

// OpenWriter begins the frames to a peer that has told nothing yet: it is spoken to in the first version until Heed hears more.
func OpenWriter(out io.Writer, own protocolversion.Span) *Writer {
	w := &Writer{out: out, own: own, origin: &schema.Frame{}}
	w.agreed.Store(uint32(protocolversion.First))
	return w
}

func isSameOrigin(a, b *schema.Frame) bool {
	return a.System == b.System && a.From == b.From && a.Address == b.Address
}

// Write sends one frame, which stays as it is.
func (w *Writer) Write(frame *schema.Frame) error {
	announced := &schema.Frame{Call: frame.Call, Response: frame.Response, Body: frame.Body}
	isKnown := frame.From != "" && isSameOrigin(frame, w.origin)
	if !isKnown || !protocolversion.Has(protocolversion.Version(w.agreed.Load()), protocolversion.SenderOnce) {
		announced.System, announced.From, announced.Address = frame.System, frame.From, frame.Address
	}
	if !w.isOriginSent {
		announced.SpeaksLow, announced.SpeaksHigh = w.own.Wire()
	}
	w.isOriginSent, w.origin = true, frame
	return Write(w.out, announced)
}

// Heed waits for the peer's versions and agrees on one; its end is the connection's end, and nothing but that one answer may come before it.
func (w *Writer) Heed(in io.Reader) error {
	answer, err := readBelow(in, constants.AnswerLimit)
	if err != nil {
		return err
	}
	if answer.Body != nil || answer.From != "" || answer.System != "" || answer.Address != "" || answer.Call != 0 || answer.Response {
		return &AnswerError{}
	}
	peer, err := protocolversion.ReadSpan(answer.SpeaksLow, answer.SpeaksHigh)
	if err != nil {
		return err
	}
	agreed, err := protocolversion.Agree(w.own, peer)
	if err != nil {
		w.isDisjoint.Store(true)
		return err
	}
	w.agreed.Store(uint32(agreed))
	if _, err := io.ReadFull(in, make([]byte, 1)); err != nil {
		return err
	}
	return &AnswerError{}
}

// IsDisjoint tells that the peer answered and speaks no version that this process does.
func (w *Writer) IsDisjoint() bool { return w.isDisjoint.Load() }

// Answer tells a peer that told its versions which ones this process speaks.
func Answer(out io.Writer, own protocolversion.Span) error {
	answer := &schema.Frame{}
	answer.SpeaksLow, answer.SpeaksHigh = own.Wire()
	return Write(out, answer)
}

// Reader takes the frames of one connection and gives each its sender.
type Reader struct {
	in          io.Reader
	own         protocolversion.Span
	origin      *schema.Frame
	agreed      protocolversion.Version
	isAnswerDue bool
}

// NewReader begins the frames that this program reads from a connection.
func NewReader(in io.Reader) *Reader { return NewReaderFor(in, protocolversion.Own) }

// NewReaderFor begins the frames that a process of those versions reads from a connection.
func NewReaderFor(in io.Reader, own protocolversion.Span) *Reader { return &Reader{in: in, own: own} }

// IsAnswerDue tells that the peer has told its versions and so reads an answer, also if there is none in common.
func (r *Reader) IsAnswerDue() bool { return r.isAnswerDue }

// Read takes one frame.
func (r *Reader) Read() (*schema.Frame, error) {
	frame, err := Read(r.in)
	if err != nil {
		return nil, err
	}
	if err := r.agree(frame); err != nil {
		return nil, err
	}
	switch {
	case frame.From != "":
		r.origin = &schema.Frame{System: frame.System, From: frame.From, Address: frame.Address}
	case r.origin == nil || !protocolversion.Has(r.agreed, protocolversion.SenderOnce):
		return nil, &OriginError{}
	default:
		frame.System, frame.From, frame.Address = r.origin.System, r.origin.From, r.origin.Address
	}
	return frame, nil
}

func (r *Reader) agree(frame *schema.Frame) error {
	low, high := frame.SpeaksLow, frame.SpeaksHigh
	frame.SpeaksLow, frame.SpeaksHigh = 0, 0
	isOriginSent := low != 0 || high != 0
	if r.agreed != 0 {
		if isOriginSent {
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
	r.isAnswerDue = isOriginSent && r.own.High > protocolversion.First && (err == nil || errors.As(err, &disjoint))
	if err != nil {
		return err
	}
	r.agreed = agreed
	return nil
}
