package frame

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

// connectionBuffer (bytes) is the buffer of one connection's one direction.
const connectionBuffer = 64 << 10

// Options say how a Network listens and to whom it gives frames.
type Options struct {
	// Listen is a numeric IP:port; outgoing connections come from its IP.
	Listen string
	// Handle takes each frame that arrives. The connection waits for it; several connections call it at once.
	Handle func(*schema.Frame)
	Log    *slog.Logger
	// Speaks are the versions that this process speaks; the zero value is the program's own.
	Speaks protocolversion.Span
}

// ListenError says that the address for peers can't be listened on.
type ListenError struct {
	Address string
	// Cause is the network's error.
	Cause error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for peers on %s: %v; free the address or change the peer setting", e.Address, e.Cause)
}

// Unwrap gives the network's error.
func (e *ListenError) Unwrap() error { return e.Cause }

// Network is a process's frame transport: one outgoing connection for each peer. Any goroutine may use it.
type Network struct {
	options  Options
	listener net.Listener
	local    *net.TCPAddr

	// lock guards the fields up to isClosed.
	lock     sync.Mutex
	links    map[string]*link // by the peer's address
	inbound  map[net.Conn]bool
	isClosed bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Open listens and starts taking frames.
func Open(options Options) (*Network, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, &ListenError{options.Listen, err}
	}
	address, err := netip.ParseAddrPort(options.Listen)
	if err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	n := &Network{
		options:  options,
		listener: listener,
		local:    &net.TCPAddr{IP: address.Addr().AsSlice()},
		links:    map[string]*link{},
		inbound:  map[net.Conn]bool{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.tasks.Go(n.accept)
	return n, nil
}

// Send queues a frame for a peer, and drops it if the queue is full or the network closed. The frame must not change any
// more.
func (n *Network) Send(to string, frame *schema.Frame) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.isClosed {
		return
	}
	peer := n.links[to]
	if peer == nil {
		peer = newLink(n, to)
		n.links[to] = peer
		n.tasks.Go(peer.run)
	}
	select {
	case peer.queue <- frame:
	default:
	}
}

// Close ends all connections and waits for their goroutines.
func (n *Network) Close() error {
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

// removeIdle forgets a link without frames, and tells whether it did.
func (n *Network) removeIdle(peer *link) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if len(peer.queue) > 0 {
		return false
	}
	delete(n.links, peer.address)
	return true
}

func (n *Network) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		if !n.addInbound(conn) {
			conn.Close()
			return
		}
		n.tasks.Go(func() { n.receive(conn) })
	}
}

func (n *Network) addInbound(conn net.Conn) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.isClosed {
		return false
	}
	n.inbound[conn] = true
	return true
}

func (n *Network) removeInbound(conn net.Conn) {
	conn.Close()
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.inbound, conn)
}

// receive hands on the frames of an incoming connection until its end.
func (n *Network) receive(conn net.Conn) {
	defer n.removeInbound(conn)
	reader := NewReaderFor(bufio.NewReaderSize(conn, connectionBuffer), n.options.Speaks.OrOwn())
	for isFirst := true; ; isFirst = false {
		frame, err := reader.Read()
		if isFirst && reader.IsAnswerDue() {
			conn.SetWriteDeadline(time.Now().Add(constants.FrameStall))
			err = errors.Join(err, Answer(conn, n.options.Speaks.OrOwn()))
		}
		if err != nil {
			if !isOrdinaryEnd(err) {
				n.options.Log.Warn("connection from a peer closed", "peer", conn.RemoteAddr().String(), "reason", err.Error())
			}
			return
		}
		n.options.Handle(frame)
	}
}

// isOrdinaryEnd tells whether a connection ended because either side closed it.
func isOrdinaryEnd(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) }
