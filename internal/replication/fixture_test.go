package replication

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	homeRegion   = "home"
	remoteRegion = "remote"
	begin        = time.Hour
)

// fakeFleet is a fleet whose nodes a test lists.
type fakeFleet struct {
	isWithoutSystem bool
	hasState        bool
	nodes           []*schema.Node
}

func (f *fakeFleet) HasSystem() bool { return !f.isWithoutSystem }

func (f *fakeFleet) HasState() bool { return f.hasState }

func (f *fakeFleet) Addresses(isFit func(*schema.Node) bool) []string {
	var addresses []string
	for _, node := range f.nodes {
		if isFit(node) {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

func member(address, region string) *schema.Node {
	return &schema.Node{Id: address, Address: address, Region: region, Disk: true}
}

// reader is a Subscription under test with what it rests on.
type reader struct {
	*Subscription
	table *store.Table
	fleet *fakeFleet
}

// newReader makes a reader that prefers its own region; its draws give the first of the candidates.
func newReader(t *testing.T, change func(*SubscriptionOptions), nodes ...*schema.Node) *reader {
	t.Helper()
	options := SubscriptionOptions{
		Region:          homeRegion,
		Seeds:           []string{"seed"},
		Draw:            func(int64) int64 { return 0 },
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		Base:            []string{"node/"},
		RenewEvery:      500 * time.Millisecond,
		ConfirmedWithin: constants.SourceTimeout,
		DigestEvery:     2 * time.Second,
		PrefersHome:     true,
		RemoteAfter:     2500 * time.Millisecond,
	}
	if change != nil {
		change(&options)
	}
	r := &reader{table: store.NewTable(), fleet: &fakeFleet{hasState: true, nodes: nodes}}
	r.Subscription = NewSubscription(options, r.table, r.fleet)
	return r
}

// subscribeRequest gives the one subscription among the envelopes and where it goes.
func subscribeRequest(t *testing.T, envelopes []frame.Envelope) (to string, request *schema.Subscribe) {
	t.Helper()
	for _, envelope := range envelopes {
		if found := envelope.Frame.GetSubscribe(); found != nil {
			if request != nil {
				t.Fatal("more than one subscription is sent")
			}
			to, request = envelope.To, found
		}
	}
	if request == nil {
		t.Fatal("no subscription is sent")
	}
	return to, request
}

// answer lets the source send a delta of a given age in response to its newest subscription.
func (r *reader) answer(now time.Duration, from string, serial uint64, age time.Duration, rows ...*schema.Row) Effects {
	version := uint64(r.table.Version())
	return r.TakeDelta(now, from, &schema.Delta{From: version, To: version + 1, Serial: serial, AgeMs: uint32(age.Milliseconds()), Rows: rows})
}
