package endless

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Each kind goes on, or stalls on purpose; a fault of the stand-in would make every test of a bound pass.
func TestEachKindGoesOn(t *testing.T) {
	const limit = 1 << 20
	names := map[string]bool{}
	for _, kind := range Kinds {
		var sent bytes.Buffer
		count, err := kind.SendUpTo(&sent, Head{Echo: []string{"Echo: 1"}, Seal: []string{"Seal: 1"}}, limit)
		isStalled := kind.piece == ""
		if err != nil || count != sent.Len() || (count < limit) != isStalled || names[kind.Name] {
			t.Errorf("%s: %d bytes, %v", kind.Name, count, err)
		}
		names[kind.Name] = true
		response, err := readFinal(&sent)
		if kind.IsHead != (err != nil) {
			t.Errorf("%s: %v", kind.Name, err)
		}
		if err == nil && kind.start != nil && response.Header.Get("Echo") != "1" {
			t.Errorf("%s: it does not name its request", kind.Name)
		}
	}
}

// readFinal reads the first response that is not interim.
func readFinal(source io.Reader) (*http.Response, error) {
	reader := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

func TestKindsHaveNames(t *testing.T) {
	if kinds, err := Named(""); err != nil || len(kinds) != len(Kinds) {
		t.Errorf("%d kinds, %v", len(kinds), err)
	}
	if kinds, err := Named(Kinds[1].Name); err != nil || len(kinds) != 1 || kinds[0].Name != Kinds[1].Name {
		t.Errorf("%v, %v", kinds, err)
	}
	if _, err := Named("no such kind"); err == nil {
		t.Error("a name that is not known is taken")
	}
}
