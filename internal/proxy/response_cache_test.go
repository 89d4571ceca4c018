package proxy

import (
	"fmt"
	"strings"
	"testing"

	"topazshed/internal/constants"
)

func TestKeptResultsAreBounded(t *testing.T) {
	k := NewResponseCache()
	o := sealed("x", "l-1", strings.Repeat("y", 30<<10))
	total := 2 * constants.KeptBytes / len(o.Body)
	for i := range total {
		k.Put(noon, &Request{Attempt: fmt.Sprintf("attempt-%05d", i), Digest: []byte("d")}, o)
	}
	kept, weight := 0, 0
	for i := range total {
		if k.Get(fmt.Sprintf("attempt-%05d", i), []byte("d")) != nil {
			kept++
			weight += len(o.Body)
		}
	}
	if kept == 0 || weight > constants.KeptBytes || k.Get("attempt-00000", []byte("d")) != nil {
		t.Errorf("%d responses of %d bytes are kept, the first still there: %v", kept, weight, k.Get("attempt-00000", []byte("d")) != nil)
	}
	k.Put(noon, &Request{Attempt: "large", Digest: []byte("d")}, sealed("x", "l-1", strings.Repeat("y", constants.KeptResponse)))
	if k.Get("large", []byte("d")) != nil {
		t.Error("a response above the limit is kept")
	}
}
