package responses

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

var testBounds = Bounds{Bytes: 200, Fields: 3, Interims: 2}

// takeAll gives the first error of a scanner that takes a text in parts of a size.
func takeAll(text string, partSize int) (s scanner, err error) {
	s = scanner{bounds: testBounds}
	s.begin()
	for text != "" && err == nil {
		part := text[:min(partSize, len(text))]
		text = text[len(part):]
		err = s.take([]byte(part))
	}
	return s, err
}

func TestScannerBounds(t *testing.T) {
	const status, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n"
	for _, c := range []struct {
		name, text string
		want       Bound
	}{
		{"a head within its bounds", status + "A: 1\r\nB: 2\r\nC: 3\r\n\r\n", ""},
		{"a body beyond them", status + "\r\n" + strings.Repeat("b\n", 1000), ""},
		{"lines that end without a carriage return", "HTTP/1.1 200 OK\nA: 1\n\n" + strings.Repeat("b\n", 1000), ""},
		{"one field too many", status + "A: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\n", BoundFields},
		{"the same field too often", status + strings.Repeat("A: 1\r\n", 4), BoundFields},
		{"a field with continued lines", status + "A: 1\r\n" + strings.Repeat(" more\r\n", 3), BoundFields},
		{"a field of one byte too many", status + "A: " + strings.Repeat("v", testBounds.Bytes-len(status)-len("A: ")+1), BoundBytes},
		{"a field of the last byte", status + "A: " + strings.Repeat("v", testBounds.Bytes-len(status)-len("A: ")), ""},
		{"bytes without a line end", strings.Repeat("g", 201), BoundBytes},
		{"carriage returns without a line end", strings.Repeat("\r", 201), BoundBytes},
		{"a status line without end", "HTTP/1.1 200 " + strings.Repeat("w", 200), BoundBytes},
		{"as many interim responses as may come", interim + interim + status + "\r\n" + strings.Repeat("b", 1000), ""},
		{"one interim response too many", interim + interim + interim, BoundInterims},
		{"interim responses whose code follows two spaces", strings.Repeat("HTTP/1.1  100 C\r\n\r\n", 3), BoundInterims},
		{"interim responses of another version", strings.Repeat("HTTP/1.0 102 P\n\n", 3), BoundInterims},
		{"responses of a code below 100", strings.Repeat("HTTP/1.1 099 C\r\n\r\n", 3), BoundInterims},
		{"fields of interim responses together", strings.Repeat("HTTP/1.1 103 E\r\nA: 1\r\nB: 2\r\n\r\n", 2), BoundFields},
		{"bytes of interim responses together", strings.Repeat("HTTP/1.1 103 E\r\nA: "+strings.Repeat("v", 100)+"\r\n\r\n", 2), BoundBytes},
		{"a head behind an interim response", interim + status + strings.Repeat("A: 1\r\n", 4), BoundFields},
	} {
		t.Run(c.name, func(t *testing.T) {
			for partSize := 1; partSize <= 300; partSize++ {
				_, err := takeAll(c.text, partSize)
				var exceeded *BoundError
				if errors.As(err, &exceeded) != (c.want != "") || c.want != "" && exceeded.Bound != c.want {
					t.Fatalf("in parts of %d: %v, want bound %q", partSize, err, c.want)
				}
			}
		})
	}
}

// randomHead gives heads with interim responses before them, some of them odd, and the bytes that follow.
func randomHead(random *rand.Rand) string {
	var text strings.Builder
	pick := func(choices ...string) string { return choices[random.IntN(len(choices))] }
	for range random.IntN(4) {
		fmt.Fprintf(&text, "HTTP/1.%d%s%02d Word%s", random.IntN(2), pick(" ", " ", "  ")+pick("1", "0"), random.IntN(100), pick("\r\n", "\n"))
		for range random.IntN(3) {
			text.WriteString(pick("A: 1\r\n", "B:\n", "C: 2 \r\n"))
		}
		text.WriteString(pick("\r\n", "\n"))
	}
	text.WriteString("HTTP/1.1 " + pick("200", "204", "404", "500", "101") + pick(" OK", "", " ") + pick("\r\n", "\n"))
	for range random.IntN(5) {
		text.WriteString(pick("A: 1\r\n", "B:\n", "Long: x\r\n y\r\n", "C: 2 \r\n\tz\n"))
	}
	text.WriteString(pick("\r\n", "\n") + pick("", "body\n\n", "\r\n\r\n", "HTTP/1.1 100 C\r\n\r\n"))
	return text.String()
}

// The scanner must find the end of a head where net/http finds it: what it takes for a body is not bounded.
func TestScannerEndsAHeadWhereNetHTTPDoes(t *testing.T) {
	for seed := range uint64(5000) {
		checkAgainstNetHTTP(t, randomHead(rand.New(rand.NewPCG(seed, 46))))
	}
}

func FuzzScannerEndsAHeadWhereNetHTTPDoes(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(randomHead(rand.New(rand.NewPCG(seed, 46))))
	}
	f.Add("HTTP/0.0 000 \n\nHTTP/0.0 200\n\n")
	f.Fuzz(func(t *testing.T, text string) { checkAgainstNetHTTP(t, text) })
}

// checkAgainstNetHTTP parses a text with net/http, and holds that the scanner took every byte that net/http needed for a head, and none
// behind it.
func checkAgainstNetHTTP(t *testing.T, text string) {
	t.Helper()
	source := strings.NewReader(text)
	reader := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if response.StatusCode >= http.StatusOK {
			break
		}
	}
	size := len(text) - source.Len() - reader.Buffered()
	s := scanner{bounds: Bounds{Bytes: len(text), Fields: len(text), Interims: len(text)}}
	s.begin()
	if err := s.take([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if !s.isPastHead || s.size != size {
		t.Fatalf("%q: the scanner took %d bytes (to the end %v), net/http %d", text, s.size, s.isPastHead, size)
	}
}

func TestScannerKeepsNothing(t *testing.T) {
	s := scanner{bounds: Default()}
	s.begin()
	text := bytes.Repeat([]byte("v"), 1000)
	if allocations := testing.AllocsPerRun(10, func() { s.size = 0; s.take(text) }); allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}
