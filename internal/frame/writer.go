package frame

import (
	"io"
	"sync/atomic"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// AnswerError says that what came back on an outgoing connection is not the one answer that may come.
type AnswerError struct{}

func (e *AnswerError) Error() string {
	return "the other end answered with something else than its versions, or said more; " +
		"the connection is closed, check what program listens at that address"
}

// Writer sends frames on one connection; the first one names the versions that this process speaks. Once the peer has
// answered that it reads protocolversion.SenderOnce, a frame names its sender only where that differs from the frame before.
// Write belongs to one goroutine, ReadAnswer to another.
type Writer struct {
	out io.Writer
	own protocolversion.Span
	// isFirstSent says that the versions were sent, previous is the last frame that was.
	isFirstSent bool
	previous    *schema.Frame
	// agreed is the protocolversion.Version in use.
	agreed     atomic.Uint32
	isDisjoint atomic.Bool
}

// NewWriter begins the frames to a peer that is known to speak this program's newest version.
func NewWriter(out io.Writer) *Writer {
	w := OpenWriter(out, protocolversion.Own)
	w.agreed.Store(uint32(protocolversion.Newest))
	return w
}

// OpenWriter begins the frames to a peer whose versions are not known: it is sent the first version until ReadAnswer learns
// more.
func OpenWriter(out io.Writer, own protocolversion.Span) *Writer {
	w := &Writer{out: out, own: own, previous: &schema.Frame{}}
	w.agreed.Store(uint32(protocolversion.First))
	return w
}

func (w *Writer) version() protocolversion.Version { return protocolversion.Version(w.agreed.Load()) }

func hasSameSender(a, b *schema.Frame) bool {
	return a.System == b.System && a.From == b.From && a.Address == b.Address
}

// Write sends one frame and does not change it.
func (w *Writer) Write(frame *schema.Frame) error {
	sent := &schema.Frame{Call: frame.Call, Response: frame.Response, Body: frame.Body}
	isSenderKnown := frame.From != "" && hasSameSender(frame, w.previous)
	if !isSenderKnown || !protocolversion.Has(w.version(), protocolversion.SenderOnce) {
		sent.System, sent.From, sent.Address = frame.System, frame.From, frame.Address
	}
	if !w.isFirstSent {
		sent.SpeaksLow, sent.SpeaksHigh = w.own.Wire()
	}
	w.isFirstSent, w.previous = true, frame
	return Write(w.out, sent)
}

// ReadAnswer waits for the peer's versions, agrees on one and then waits for the connection's end, whose error it gives:
// io.EOF if the peer closed it. Anything else than one answer is an *AnswerError; a peer without a common version is a
// *protocolversion.DisjointError.
func (w *Writer) ReadAnswer(in io.Reader) error {
	answer, err := readBelow(in, constants.AnswerLimit)
	if err != nil {
		return err
	}
	if !isAnswer(answer) {
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

// isAnswer tells whether a frame has versions and nothing else.
func isAnswer(f *schema.Frame) bool {
	return f.Body == nil && f.From == "" && f.System == "" && f.Address == "" && f.Call == 0 && !f.Response
}

// IsDisjoint tells that the peer answered and speaks no version that this process does.
func (w *Writer) IsDisjoint() bool { return w.isDisjoint.Load() }
