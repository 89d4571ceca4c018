package forwarding

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

func testHeader() http.Header {
	return http.Header{"Connection": {"x-hop, X-Two", "X-Three"}, "X-Hop": {"1"}, "X-Two": {"2"}, "X-Three": {"3"}, "Keep-Alive": {"timeout=1"},
		"Proxy-Connection": {"x"}, "Te": {"x"}, "Trailer": {"x"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"x"}, "Expect": {"x"},
		"Content-Length": {"1"}, "X-Own": {"a", "b"}}
}

func TestEndToEndCopiesWithoutWhatBelongsToTheConnection(t *testing.T) {
	header := testHeader()
	kept := EndToEnd(header)
	if len(kept) != 1 || len(kept["X-Own"]) != 2 || len(header) != len(testHeader()) {
		t.Errorf("kept %v of %v", kept, header)
	}
}

func TestDeleteHopByHopLeavesTheFieldsThatConnectionNames(t *testing.T) {
	header := testHeader()
	DeleteHopByHop(header)
	if len(header) != 4 || header.Get("X-Hop") == "" || header.Get("X-Two") == "" || header.Get("X-Three") == "" || header.Get("X-Own") == "" {
		t.Errorf("kept %v", header)
	}
}

func TestReadUpTo(t *testing.T) {
	for _, c := range []struct {
		name, body, read, rest string
		isLonger               bool
	}{
		{"an empty body", "", "", "", false},
		{"a shorter one", "ab", "ab", "", false},
		{"one of the limit", "abc", "abc", "", false},
		{"a longer one", "abcdef", "abcd", "ef", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := strings.NewReader(c.body)
			read, isLonger, err := ReadUpTo(body, 3)
			rest, _ := io.ReadAll(body)
			if string(read) != c.read || isLonger != c.isLonger || err != nil || string(rest) != c.rest {
				t.Errorf("read %q, longer %v, %v, rest %q", read, isLonger, err, rest)
			}
		})
	}
	t.Run("one that is cut short", func(t *testing.T) {
		cut := errors.New("cut short")
		read, isLonger, err := ReadUpTo(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(cut)), 3)
		if string(read) != "ab" || isLonger || !errors.Is(err, cut) {
			t.Errorf("read %q, longer %v, %v", read, isLonger, err)
		}
	})
}
