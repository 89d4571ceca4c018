package node

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/endless"
	"topazshed/internal/endless/endlesstest"
	"topazshed/internal/leasecall"
	"topazshed/internal/responses"
)

// Guards against a list that answers with a head without end (FAULT): up to 10 MB of it were kept, and nothing named it.
func TestAListWithoutEndIsCutOff(t *testing.T) {
	for _, kind := range endless.Kinds {
		t.Run(kind.Name, func(t *testing.T) {
			sender := endlesstest.NewSender(t, kind, func(*http.Request) (endless.Head, string) { return endless.Head{}, "" })
			client := leasecall.NewHTTPClient(leasecall.NewDial(localIP("127.0.0.1:1")), time.Second)
			patient := func(context.Context, int, []discovery.Listed) error { return nil }
			items, _, err := listNative(context.Background(), client, "http://"+sender.Address(), patient)
			var exceeded *responses.BoundError
			if err == nil || len(items) > 0 || kind.IsHead && kind.Name != "empty lines" && !errors.As(err, &exceeded) {
				t.Errorf("%v, %v", items, err)
			}
			// A byte of a page takes six in tiny chunks.
			sender.CheckSent(t, 6*listPageLimit)
		})
	}
}
