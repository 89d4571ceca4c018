// Package frame carries schema frames between processes over TCP: four length bytes, big endian, then one protobuf message.
//
// A connection carries frames one way, from the process that opened it. The first frame names the protocol versions that its
// sender speaks; the receiver answers once with its own. From then on both use the highest version that they share.
//
// Goroutines: a Network has one that accepts connections, one for each incoming connection (it calls Options.Handle), and for
// each peer that was sent to one that owns the outgoing connection and one that reads the peer's answer. Network.Close waits
// for all of them. The package retries nothing: a frame that can't be sent is dropped, since the protocols above repeat.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	// lengthBytes (bytes) hold a frame's length.
	lengthBytes = 4
	// usualBytes (bytes) is room for most frames with their length.
	usualBytes = 512
)

// OversizeError says that a peer announced a frame above the limit, in bytes.
type OversizeError struct{ Size, Limit uint32 }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d; the connection is closed, check the peer's version", e.Size, e.Limit)
}

// Write sends one frame; one above constants.FrameLimit is an *OversizeError and nothing is sent.
func Write(w io.Writer, frame *schema.Frame) error {
	text := make([]byte, lengthBytes, usualBytes)
	text, err := proto.MarshalOptions{}.MarshalAppend(text, frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	size := len(text) - lengthBytes
	if size > constants.FrameLimit {
		return &OversizeError{uint32(size), constants.FrameLimit}
	}
	binary.BigEndian.PutUint32(text, uint32(size))
	_, err = w.Write(text)
	return err
}

// Read takes one frame. At the end of r between two frames the error is io.EOF.
func Read(r io.Reader) (*schema.Frame, error) { return readBelow(r, constants.FrameLimit) }

func readBelow(r io.Reader, limit uint32) (*schema.Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > limit {
		return nil, &OversizeError{size, limit}
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(r, text); err != nil {
		return nil, fmt.Errorf("frame cut short: %w", err)
	}
	frame := &schema.Frame{}
	if err := proto.Unmarshal(text, frame); err != nil {
		return nil, fmt.Errorf("frame is not readable: %w", err)
	}
	return frame, nil
}
