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
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// OversizeError says that a peer announced a frame above the limit.
type OversizeError struct{ Size, Limit uint32 }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d; the connection is closed, check the peer's version", e.Size, e.Limit)
}

// Write sends one frame.
func Write(w io.Writer, frame *schema.Frame) error {
	text := make([]byte, 4, 512)
	text, err := proto.MarshalOptions{}.MarshalAppend(text, frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(text)-4 > constants.FrameLimit {
		return &OversizeError{uint32(len(text) - 4), constants.FrameLimit}
	}
	binary.BigEndian.PutUint32(text, uint32(len(text)-4))
	_, err = w.Write(text)
	return err
}

// Read takes one frame.
func Read(r io.Reader) (*schema.Frame, error) { return readBelow(r, constants.FrameLimit) }

func readBelow(r io.Reader, limit uint32) (*schema.Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
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

// Options say how a Net listens and to whom it gives frames.
type Options struct {
	Listen string
	Handle func(*schema.Frame)
	Log    *slog.Logger
	// Speaks are the versions that this process speaks; the zero value is the program's own.
	Speaks protocolversion.Span
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
	reader := NewReaderFor(bufio.NewReaderSize(conn, 64<<10), n.options.Speaks.OrOwn())
	for isFirst := true; ; isFirst = false {
		frame, err := reader.Read()
		if isFirst && reader.IsAnswerDue() {
			conn.SetWriteDeadline(time.Now().Add(constants.FrameStall))
			err = errors.Join(err, Answer(conn, n.options.Speaks.OrOwn()))
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				n.options.Log.Warn("peer connection closed", "peer", conn.RemoteAddr().String(), "reason", err.Error())
			}
			return
		}
		n.options.Handle(frame)
	}
}

// heed takes what the other end of an outgoing connection says: which versions it speaks, once; one that says nothing speaks the first.
func (n *Net) heed(to string, conn net.Conn, writer *Writer) {
	defer conn.Close()
	err := writer.Heed(conn)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && n.context.Err() == nil {
		n.options.Log.Warn("connection to a peer closed", "peer", to, "reason", err.Error())
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
	pause := constants.DialPause
	dialer := net.Dialer{Timeout: constants.DialWait, LocalAddr: n.local, Control: sockets.IdleTimeout(constants.FrameIdleTimeout)}
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
			if time.Since(failedAt) < pause {
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
			writer = OpenWriter(buffer, n.options.Speaks.OrOwn())
			watched, telling := conn, writer
			n.tasks.Go(func() { n.heed(to, watched, telling) })
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
			if pause = constants.DialPause; writer.IsDisjoint() {
				failedAt, pause = time.Now(), constants.DisjointPause
			}
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
