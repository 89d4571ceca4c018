package frame

import (
	"bufio"
	"net"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/sockets"
)

// linkIdle (time) is how long the connection to a peer is kept that nothing is sent to.
const linkIdle = time.Minute

// link is the outgoing connection to one peer. All but its queue belongs to the goroutine of run.
type link struct {
	network *Network
	address string
	queue   chan *schema.Frame

	dialer net.Dialer
	conn   net.Conn // nil while there is none
	buffer *bufio.Writer
	writer *Writer
	// failedAt is when the last try to connect failed; no other is made before pause has passed.
	failedAt time.Time
	pause    time.Duration
}

func newLink(n *Network, address string) *link {
	return &link{
		network: n,
		address: address,
		queue:   make(chan *schema.Frame, constants.FrameQueue),
		dialer: net.Dialer{
			Timeout:   constants.DialWait,
			LocalAddr: n.local,
			Control:   sockets.IdleTimeout(constants.FrameIdleTimeout),
		},
		pause: constants.DialPause,
	}
}

// run sends what is queued until the network closes or nothing was queued for linkIdle.
func (l *link) run() {
	defer l.disconnect()
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		idle.Reset(linkIdle)
		select {
		case <-l.network.ctx.Done():
			return
		case frame := <-l.queue:
			l.deliver(frame)
		case <-idle.C:
			if l.network.removeIdle(l) {
				return
			}
		}
	}
}

// deliver sends a frame and all that are queued behind it; without a connection it drops them.
func (l *link) deliver(frame *schema.Frame) {
	if l.conn == nil {
		if time.Since(l.failedAt) < l.pause {
			return
		}
		if !l.connect() {
			l.dropQueued()
			return
		}
	}
	if err := l.write(frame); err != nil {
		l.disconnect()
		l.pause = constants.DialPause
		if l.writer.IsDisjoint() {
			l.failedAt, l.pause = time.Now(), constants.DisjointPause
		}
	}
}

func (l *link) connect() bool {
	conn, err := l.dialer.DialContext(l.network.ctx, "tcp", l.address)
	if err != nil {
		l.failedAt = time.Now()
		return false
	}
	l.conn, l.buffer = conn, bufio.NewWriterSize(conn, connectionBuffer)
	writer := OpenWriter(l.buffer, l.network.options.Speaks.OrOwn())
	l.writer = writer
	l.network.tasks.Go(func() { l.readAnswer(conn, writer) })
	return true
}

func (l *link) write(frame *schema.Frame) error {
	l.conn.SetWriteDeadline(time.Now().Add(constants.FrameStall))
	if err := l.writer.Write(frame); err != nil {
		return err
	}
	for len(l.queue) > 0 {
		if err := l.writer.Write(<-l.queue); err != nil {
			return err
		}
	}
	return l.buffer.Flush()
}

func (l *link) dropQueued() {
	for len(l.queue) > 0 {
		<-l.queue
	}
}

func (l *link) disconnect() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// readAnswer takes what the other end of a connection says: which versions it speaks, once. One that says nothing speaks the
// first. It runs in a goroutine of its own and ends with the connection, which it closes.
func (l *link) readAnswer(conn net.Conn, writer *Writer) {
	defer conn.Close()
	err := writer.ReadAnswer(conn)
	if !isOrdinaryEnd(err) && l.network.ctx.Err() == nil {
		l.network.options.Log.Warn("connection to a peer closed", "peer", l.address, "reason", err.Error())
	}
}
