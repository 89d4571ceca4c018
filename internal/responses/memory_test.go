package responses

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"topazshed/internal/constants"
	"topazshed/internal/forwarding"
)

// textConn is a connection on which a text arrives.
type textConn struct {
	net.Conn
	text *strings.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.text.Read(p) }

// Guards against heads that take many times their bytes once they are parsed (FAULT): what is planned for one must be enough.
func TestAParsedHeadTakesNoMoreThanIsPlanned(t *testing.T) {
	const count = 200
	bounds := Default()
	for name, field := range map[string]func(i, size int) string{
		"few bytes a field":    func(i, _ int) string { return fmt.Sprintf("X-%d: v\r\n", i) },
		"empty fields":         func(i, _ int) string { return fmt.Sprintf("%x:\r\n", i+1<<12) },
		"all bytes":            func(i, size int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("v", size)) },
		"all bytes of one":     func(_, size int) string { return "X: " + strings.Repeat("v", size) + "\r\n" },
		"names of all bytes":   func(i, size int) string { return fmt.Sprintf("%s%d:\r\n", strings.Repeat("n", size), i) },
		"values of one length": func(i, size int) string { return fmt.Sprintf("Y-%d:%s\r\n", i%7, strings.Repeat(" v", size/2)) },
	} {
		t.Run(name, func(t *testing.T) {
			text := "HTTP/1.1 200 OK\r\n"
			for i := range bounds.Fields {
				text += field(i, bounds.Bytes/bounds.Fields-len("X-000: \r\n"))
			}
			text += "\r\n"
			if len(text) > bounds.Bytes {
				t.Fatalf("a head of %d bytes is beyond its bound", len(text))
			}
			var kept [count]struct {
				response *http.Response
				header   http.Header
			}
			before := liveBytes()
			for i := range kept {
				response, err := NewReader(textConn{text: strings.NewReader(text)}, 4<<10).Next(&http.Request{Method: http.MethodGet})
				if err != nil {
					t.Fatal(err)
				}
				kept[i].response, kept[i].header = response, forwarding.EndToEnd(response.Header)
			}
			if each := (liveBytes() - before) / count; each > constants.ParsedHead {
				t.Errorf("a head takes %d bytes, %d are planned", each, constants.ParsedHead)
			}
			runtime.KeepAlive(&kept)
		})
	}
}

// liveBytes is the size of the live heap.
func liveBytes() int {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int(memory.HeapAlloc)
}
