// Package frame carries schema frames over TCP: four length bytes, then one protobuf message.
package frame

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// OversizeError says that a peer announced a frame above the limit.
type OversizeError struct{ Size uint32 }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d; the connection is closed, check the peer's version", e.Size, constants.FrameLimit)
}

// Write sends one frame.
func Write(w io.Writer, frame *schema.Frame) error {
	text := make([]byte, 4, 512)
	text, err := proto.MarshalOptions{}.MarshalAppend(text, frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(text)-4 > constants.FrameLimit {
		return &OversizeError{uint32(len(text) - 4)}
	}
	binary.BigEndian.PutUint32(text, uint32(len(text)-4))
	_, err = w.Write(text)
	return err
}

// Read takes one frame.
func Read(r io.Reader) (*schema.Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > constants.FrameLimit {
		return nil, &OversizeError{size}
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

// OriginError says that the first frame of a connection does not tell who sent it.
type OriginError struct{}

func (e *OriginError) Error() string {
	return "the first frame of a connection names no sender; the connection is closed, check the peer's version"
}

// Writer sends frames on one connection; only the first one, and those that differ from it, name their sender.
type Writer struct {
	out    io.Writer
	origin *schema.Frame
}

// NewWriter begins a connection's frames.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, origin: &schema.Frame{}} }

func isSameOrigin(a, b *schema.Frame) bool {
	return a.System == b.System && a.From == b.From && a.Address == b.Address
}

// Write sends one frame, which stays as it is.
func (w *Writer) Write(frame *schema.Frame) error {
	if frame.From != "" && isSameOrigin(frame, w.origin) {
		return Write(w.out, &schema.Frame{Call: frame.Call, Outcome: frame.Outcome, Body: frame.Body})
	}
	w.origin = frame
	return Write(w.out, frame)
}

// Reader takes the frames of one connection and gives each its sender.
type Reader struct {
	in     io.Reader
	origin *schema.Frame
}

// NewReader begins a connection's frames.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read takes one frame.
func (r *Reader) Read() (*schema.Frame, error) {
	frame, err := Read(r.in)
	switch {
	case err != nil:
		return nil, err
	case frame.From != "":
		r.origin = &schema.Frame{System: frame.System, From: frame.From, Address: frame.Address}
	case r.origin == nil:
		return nil, &OriginError{}
	default:
		frame.System, frame.From, frame.Address = r.origin.System, r.origin.From, r.origin.Address
	}
	return frame, nil
}

// Options say how a Net listens and to whom it gives frames.
type Options struct {
	Listen string
	Handle func(*schema.Frame)
	Log    *slog.Logger
}

// Net is a process's frame transport: one outgoing connection for each peer.
type Net struct {
	options  Options
	listener net.Listener
	local    *net.TCPAddr
	lock     sync.Mutex
	links    map[string]*link
	inbound  map[net.Conn]bool
	isClosed bool
	tasks    sync.WaitGroup
	context  context.Context
	cancel   context.CancelFunc
}

type link struct {
	queue chan *schema.Frame
}

// Open listens and starts taking frames.
func Open(options Options) (*Net, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers on %s: %w; free the address or change the peer setting", options.Listen, err)
	}
	address, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	n := &Net{options: options, listener: listener, links: map[string]*link{}, inbound: map[net.Conn]bool{},
		local: &net.TCPAddr{IP: address.Addr().AsSlice()}}
	n.context, n.cancel = context.WithCancel(context.Background())
	n.tasks.Go(n.accept)
	return n, nil
}

func (n *Net) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.lock.Lock()
		if n.isClosed {
			n.lock.Unlock()
			conn.Close()
			return
		}
		n.inbound[conn] = true
		n.lock.Unlock()
		n.tasks.Go(func() { n.receive(conn) })
	}
}

func (n *Net) receive(conn net.Conn) {
	defer func() {
		conn.Close()
		n.lock.Lock()
		delete(n.inbound, conn)
		n.lock.Unlock()
	}()
	reader := NewReader(bufio.NewReaderSize(conn, 64<<10))
	for {
		frame, err := reader.Read()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				n.options.Log.Warn("peer connection closed", "peer", conn.RemoteAddr().String(), "reason", err.Error())
			}
			return
		}
		n.options.Handle(frame)
	}
}

// Send queues a frame for a peer; a full queue drops it, since the protocols repeat.
func (n *Net) Send(to string, frame *schema.Frame) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.isClosed {
		return
	}
	l := n.links[to]
	if l == nil {
		l = &link{queue: make(chan *schema.Frame, constants.FrameQueue)}
		n.links[to] = l
		n.tasks.Go(func() { n.transmit(to, l) })
	}
	select {
	case l.queue <- frame:
	default:
	}
}

func (n *Net) transmit(to string, l *link) {
	var conn net.Conn
	var buffer *bufio.Writer
	var writer *Writer
	var failedAt time.Time
	dialer := net.Dialer{Timeout: constants.DialWait, LocalAddr: n.local, Control: sockets.Silence(constants.FrameSilence)}
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	idle := time.NewTimer(time.Minute)
	for {
		var frame *schema.Frame
		idle.Reset(time.Minute)
		select {
		case <-n.context.Done():
			return
		case frame = <-l.queue:
		case <-idle.C:
			n.lock.Lock()
			if len(l.queue) == 0 {
				delete(n.links, to)
				n.lock.Unlock()
				return
			}
			n.lock.Unlock()
			continue
		}
		if conn == nil {
			if time.Since(failedAt) < 100*time.Millisecond {
				continue
			}
			fresh, err := dialer.DialContext(n.context, "tcp", to)
			if err != nil {
				failedAt = time.Now()
				for len(l.queue) > 0 {
					<-l.queue
				}
				continue
			}
			conn, buffer = fresh, bufio.NewWriterSize(fresh, 64<<10)
			writer = NewWriter(buffer)
			watched := conn
			n.tasks.Go(func() {
				io.Copy(io.Discard, watched)
				watched.Close()
			})
		}
		conn.SetWriteDeadline(time.Now().Add(constants.FrameStall))
		err := writer.Write(frame)
		for err == nil && len(l.queue) > 0 {
			err = writer.Write(<-l.queue)
		}
		if err == nil {
			err = buffer.Flush()
		}
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// Close ends all connections and waits for their tasks.
func (n *Net) Close() error {
	n.lock.Lock()
	n.isClosed = true
	for conn := range n.inbound {
		conn.Close()
	}
	n.lock.Unlock()
	n.cancel()
	err := n.listener.Close()
	n.tasks.Wait()
	return err
}
