package frame

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/protocolversion"
	"topazshed/internal/schema"
)

func probeFrom(from string, serial uint64) *schema.Frame {
	return &schema.Frame{System: "x", From: from, Address: from + ":1", Body: &schema.Frame_Probe{Probe: &schema.Probe{Subject: "s", Serial: serial}}}
}

func encoded(t testing.TB, frames ...*schema.Frame) []byte {
	var buffer bytes.Buffer
	for _, f := range frames {
		if err := Write(&buffer, f); err != nil {
			t.Fatal(err)
		}
	}
	return buffer.Bytes()
}

// freeAddress gives a loopback address with a port that was free a moment ago. Each is on an IP that nothing else uses, so
// that outgoing connections of other processes don't take the port meanwhile.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.79.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestSendersAreLeftOutOnlyTowardsPeersThatReadIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      protocolversion.Span
		answer   []byte
		agreed   protocolversion.Version
		isRead   bool
		disjoint bool
	}{
		{"a peer that stays silent speaks the first", protocolversion.Own, nil, 1, true, false},
		{"a peer that told ours", protocolversion.Own, encoded(t, &schema.Frame{SpeaksHigh: 2}), 2, true, false},
		{"a newer peer", protocolversion.Own, encoded(t, &schema.Frame{SpeaksHigh: 7}), 2, true, false},
		{"an older peer that answers", protocolversion.Span{Low: 1, High: 3}, encoded(t, &schema.Frame{SpeaksHigh: 2}), 2, true, false},
		{"a peer that closes in the middle of its answer", protocolversion.Own, encoded(t, &schema.Frame{SpeaksHigh: 2})[:6], 1, true, false},
		{"a peer without a common version", protocolversion.Own, encoded(t, &schema.Frame{SpeaksLow: 5, SpeaksHigh: 7}), 1, false, true},
		{"an impossible span", protocolversion.Own, encoded(t, &schema.Frame{SpeaksLow: 7, SpeaksHigh: 5}), 1, false, false},
		{"a frame that is no answer", protocolversion.Own, encoded(t, &schema.Frame{SpeaksHigh: 2, From: "b"}), 1, false, false},
		{"an answer above the limit", protocolversion.Own, []byte{0, 0, 1, 0, 1, 2, 3}, 1, false, false},
		{"garbage", protocolversion.Own, []byte("HTTP/1.1 400 Bad Request\r\n\r\n"), 1, false, false},
		{"more than one answer", protocolversion.Own, encoded(t, &schema.Frame{SpeaksHigh: 2}, &schema.Frame{SpeaksHigh: 2}), 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent bytes.Buffer
			writer := OpenWriter(&sent, c.own)
			if err := writer.Write(probeFrom("a", 1)); err != nil {
				t.Fatal(err)
			}
			first, err := Read(&sent)
			if err != nil || first.From != "a" || first.SpeaksHigh != uint32(c.own.High) {
				t.Fatalf("first frame %v, %v", first, err)
			}
			err = writer.ReadAnswer(bytes.NewReader(c.answer))
			isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
			if err == nil || isEnd != c.isRead || writer.IsDisjoint() != c.disjoint {
				t.Errorf("answer read with %v, disjoint %v", err, writer.IsDisjoint())
			}
			if err := writer.Write(probeFrom("a", 2)); err != nil {
				t.Fatal(err)
			}
			second, err := Read(&sent)
			if err != nil || (second.From == "") != protocolversion.Has(c.agreed, protocolversion.SenderOnce) || second.SpeaksHigh != 0 {
				t.Errorf("second frame %v, %v at version %d", second, err, c.agreed)
			}
		})
	}
}

func TestReadersHoldPeersToWhatTheyAnnounced(t *testing.T) {
	bare := &schema.Frame{Body: &schema.Frame_Probe{Probe: &schema.Probe{Serial: 2}}}
	announced := func(low, high uint32) *schema.Frame {
		f := probeFrom("a", 1)
		f.SpeaksLow, f.SpeaksHigh = low, high
		return f
	}
	for _, c := range []struct {
		name     string
		own      protocolversion.Span
		frames   []*schema.Frame
		read     int
		isAnswer bool
		fault    any
	}{
		{"a version-1 peer names its sender each time and gets no answer", protocolversion.Own, []*schema.Frame{announced(0, 0), probeFrom("a", 2)}, 2, false, io.EOF},
		{"and may not leave it out", protocolversion.Own, []*schema.Frame{announced(0, 0), bare}, 1, false, new(*OriginError)},
		{"a version-2 peer may", protocolversion.Own, []*schema.Frame{announced(0, 2), bare, probeFrom("b", 3), bare}, 4, true, io.EOF},
		{"a newer peer", protocolversion.Own, []*schema.Frame{announced(2, 9), bare}, 2, true, io.EOF},
		{"the first frame names no sender", protocolversion.Own, []*schema.Frame{{SpeaksHigh: 2, Call: 4}}, 0, true, new(*OriginError)},
		{"no version in common: it is told ours before the end", protocolversion.Own, []*schema.Frame{announced(3, 9)}, 0, true, new(*protocolversion.DisjointError)},
		{"a silent peer that is too old", protocolversion.Span{Low: 2, High: 3}, []*schema.Frame{announced(0, 0)}, 0, false, new(*protocolversion.DisjointError)},
		{"an impossible span", protocolversion.Own, []*schema.Frame{announced(9, 3)}, 0, false, new(*protocolversion.ImpossibleError)},
		{"a span out of reach", protocolversion.Own, []*schema.Frame{announced(1, 1<<30)}, 0, false, new(*protocolversion.ImpossibleError)},
		{"a span told twice", protocolversion.Own, []*schema.Frame{announced(0, 2), announced(0, 2)}, 1, true, new(*RepeatedSpanError)},
		{"a span told late", protocolversion.Own, []*schema.Frame{announced(0, 0), announced(0, 2)}, 1, false, new(*RepeatedSpanError)},
		{"a version-1 process reads a version-2 peer and answers nothing", protocolversion.Span{Low: 1, High: 1}, []*schema.Frame{announced(0, 2), probeFrom("a", 2)}, 2, false, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			reader := NewReaderFor(bytes.NewReader(encoded(t, c.frames...)), c.own)
			read := 0
			var err error
			for {
				var f *schema.Frame
				if f, err = reader.Read(); err != nil {
					break
				}
				if read++; f.From == "" || f.SpeaksLow != 0 || f.SpeaksHigh != 0 {
					t.Errorf("frame %v", f)
				}
			}
			isRight := false
			switch want := c.fault.(type) {
			case error:
				isRight = errors.Is(err, want)
			default:
				isRight = errors.As(err, want)
			}
			if !isRight || read != c.read || reader.IsAnswerDue() != c.isAnswer {
				t.Errorf("read %d frames, then %v; answer due %v", read, err, reader.IsAnswerDue())
			}
		})
	}
}

func TestOldAndNewProcessesTalk(t *testing.T) {
	old := protocolversion.Span{Low: 1, High: 1}
	for _, c := range []struct {
		name string
		a, b protocolversion.Span
		want protocolversion.Version
	}{
		{"new with new", protocolversion.Own, protocolversion.Own, 2},
		{"new with old", protocolversion.Own, old, 1},
		{"old with new", old, protocolversion.Own, 1},
		{"old with old", old, old, 1},
		{"new with the one after it", protocolversion.Own, protocolversion.Span{Low: 2, High: 3}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			addresses := []string{freeAddress(t), freeAddress(t)}
			taken := []chan *schema.Frame{make(chan *schema.Frame, 64), make(chan *schema.Frame, 64)}
			var nets []*Network
			for i, speaks := range []protocolversion.Span{c.a, c.b} {
				n, err := Open(Options{Listen: addresses[i], Handle: func(f *schema.Frame) { taken[i] <- f }, Log: log, Speaks: speaks})
				if err != nil {
					t.Fatal(err)
				}
				defer n.Close()
				nets = append(nets, n)
			}
			for serial := range uint64(20) {
				for i, n := range nets {
					f := probeFrom(addresses[i], serial)
					n.Send(addresses[1-i], f)
					if got := <-taken[1-i]; !proto.Equal(got, f) {
						t.Fatalf("got %v, want %v", got, f)
					}
				}
			}
		})
	}
}

func TestAVersionOnePeerIsSpokenToInVersionOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, own := listener.Addr().String(), freeAddress(t)
	taken := make(chan *schema.Frame, 4)
	n, err := Open(Options{Listen: own, Handle: func(f *schema.Frame) { taken <- f }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	n.Send(peer, probeFrom("a", 0))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for serial := range uint64(5) {
		if f, err := Read(conn); err != nil || f.From != "a" || f.GetProbe().Serial != serial {
			t.Fatalf("version 1 read %v, %v", f, err)
		}
		n.Send(peer, probeFrom("a", serial+1))
	}
	back, err := net.Dial("tcp", own)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	for serial := range uint64(5) {
		if err := Write(back, probeFrom("b", serial)); err != nil {
			t.Fatal(err)
		}
		if f := <-taken; f.From != "b" || f.GetProbe().Serial != serial {
			t.Fatalf("read %v from version 1", f)
		}
	}
}

func FuzzReader(f *testing.F) {
	first := probeFrom("a", 1)
	first.SpeaksHigh = 2
	f.Add(encoded(f, first, &schema.Frame{Call: 3}))
	f.Add(encoded(f, probeFrom("a", 1), &schema.Frame{Call: 3}))
	f.Add(encoded(f, &schema.Frame{From: "a", SpeaksLow: 9, SpeaksHigh: 2}))
	f.Add([]byte{0, 0, 0, 3, 0xff, 0xff, 0xff})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) >= 4 && text[0]|text[1] != 0 {
			text[0], text[1] = 0, 0
		}
		reader := NewReader(bytes.NewReader(text))
		for {
			frame, err := reader.Read()
			if err != nil {
				return
			}
			if frame.From == "" || frame.SpeaksLow != 0 || frame.SpeaksHigh != 0 {
				t.Fatalf("frame %v", frame)
			}
		}
	})
}

func FuzzReadAnswer(f *testing.F) {
	f.Add(encoded(f, &schema.Frame{SpeaksHigh: 2}))
	f.Add(encoded(f, &schema.Frame{SpeaksLow: 5, SpeaksHigh: 9}))
	f.Add(encoded(f, &schema.Frame{}))
	f.Add([]byte{0, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		writer := OpenWriter(io.Discard, protocolversion.Own)
		if err := writer.ReadAnswer(bytes.NewReader(text)); err == nil {
			t.Fatal("reading the answer ended without a reason")
		}
		if agreed := writer.agreed.Load(); !protocolversion.Own.Has(protocolversion.Version(agreed)) {
			t.Fatalf("agreed on %d", agreed)
		}
	})
}
