package frame

import (
	"bytes"
	"encoding/binary"
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
	n, err := Open(Options{Listen: "127.0.0.1:39217", Handle: func(f *schema.Frame) { taken <- f }, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	oversize := binary.BigEndian.AppendUint32(nil, constants.FrameLimit+1)
	for name, text := range map[string][]byte{"oversize": oversize, "garbage": {0, 0, 0, 3, 0xff, 0xff, 0xff}, "http": []byte("GET / HTTP/1.1\r\n\r\n")} {
		conn, err := net.Dial("tcp", "127.0.0.1:39217")
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
	good := &schema.Frame{From: "a", Body: &schema.Frame_Who{Who: &schema.Who{Node: &schema.Node{Id: "a"}}}}
	n.Send("127.0.0.1:39217", proto.Clone(good).(*schema.Frame))
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
