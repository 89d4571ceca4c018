package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestBrokenFramesCloseOnlyTheirConnection(t *testing.T) {
	taken := make(chan *schema.Frame, 4)
	address := freeAddress(t)
	n, err := Open(Options{Listen: address, Handle: func(f *schema.Frame) { taken <- f }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	oversize := binary.BigEndian.AppendUint32(nil, constants.FrameLimit+1)
	for name, text := range map[string][]byte{"oversize": oversize, "garbage": {0, 0, 0, 3, 0xff, 0xff, 0xff}, "no sender": {0, 0, 0, 2, 0x20, 0x05}, "http": []byte("GET / HTTP/1.1\r\n\r\n")} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(text); err != nil {
			t.Fatal(err)
		}
		if n, err := conn.Read(make([]byte, 1)); err == nil {
			t.Fatalf("%s: the connection lives on and gave %d bytes", name, n)
		}
		conn.Close()
	}
	good := &schema.Frame{From: "a", Body: &schema.Frame_DiscoverRequest{DiscoverRequest: &schema.DiscoverRequest{Node: &schema.Node{Id: "a"}}}}
	n.Send(address, proto.Clone(good).(*schema.Frame))
	if got := <-taken; !proto.Equal(got, good) {
		t.Fatalf("got %v", got)
	}
}

func TestTruncatedFrame(t *testing.T) {
	var buffer bytes.Buffer
	if err := Write(&buffer, &schema.Frame{From: "abc"}); err != nil {
		t.Fatal(err)
	}
	text := buffer.Bytes()
	for cut := 1; cut < len(text); cut++ {
		if f, err := Read(bytes.NewReader(text[:cut])); err == nil {
			t.Fatalf("%d of %d bytes gave %v", cut, len(text), f)
		}
	}
}

func TestOriginsAreSentOncePerConnection(t *testing.T) {
	probe := func(system, from, address string) *schema.Frame {
		return &schema.Frame{System: system, From: from, Address: address, Call: 7, Response: true, Body: &schema.Frame_Probe{Probe: &schema.Probe{Subject: "s", Serial: 3}}}
	}
	bare := proto.Size(probe("", "", "")) + 4
	for _, c := range []struct {
		name   string
		frames []*schema.Frame
		isBare []bool
	}{
		{"one sender", []*schema.Frame{probe("x", "a", "1"), probe("x", "a", "1"), probe("x", "a", "1")}, []bool{false, true, true}},
		{"the system becomes known", []*schema.Frame{probe("", "a", "1"), probe("", "a", "1"), probe("x", "a", "1"), probe("x", "a", "1")}, []bool{false, true, false, true}},
		{"another identity at the same address", []*schema.Frame{probe("x", "a", "1"), probe("x", "b", "1"), probe("x", "b", "1"), probe("x", "a", "1")}, []bool{false, false, true, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var buffer bytes.Buffer
			writer := NewWriter(&buffer)
			for i, f := range c.frames {
				before, was := buffer.Len(), proto.Clone(f)
				if err := writer.Write(f); err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(f, was) {
					t.Fatalf("frame %d was changed to %v by its writing", i, f)
				}
				if isBare := buffer.Len()-before == bare; isBare != c.isBare[i] {
					t.Errorf("frame %d took %d bytes, %d without its sender", i, buffer.Len()-before, bare)
				}
			}
			reader := NewReader(&buffer)
			for i, f := range c.frames {
				got, err := reader.Read()
				if err != nil || !proto.Equal(got, f) {
					t.Fatalf("frame %d: got %v, %v, want %v", i, got, err, f)
				}
			}
		})
	}
}

func TestAnAnonymousFirstFrameIsRefused(t *testing.T) {
	var buffer bytes.Buffer
	if err := Write(&buffer, &schema.Frame{Call: 5}); err != nil {
		t.Fatal(err)
	}
	var origin *OriginError
	if f, err := NewReader(&buffer).Read(); !errors.As(err, &origin) {
		t.Fatalf("got %v, %v", f, err)
	}
}
