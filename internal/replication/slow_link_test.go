package replication

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
	"topazshed/internal/store"
	"topazshed/internal/testseeds"
)

// slowLink is a reader behind a link that carries so many bytes a second, whoever sends them, among members of the log whose rows keep changing.
type slowLink struct {
	t          *testing.T
	reader     *reader
	table      *store.Table
	publishers map[string]*Publisher
	addresses  []string
	bytesASec  int
	// freeAt is when the link has carried all that was sent; arriving is what is on its way, in order.
	freeAt   time.Duration
	arriving []sentDelta
	isCut    bool
}

type sentDelta struct {
	at    time.Duration
	from  string
	delta *schema.Delta
}

const (
	// tickEvery is how often the nodes look at the clock.
	tickEvery = constants.RoutedTick
	// rowBytes is the size of a row's value.
	rowBytes = 400
)

func newSlowLink(t *testing.T, random *rand.Rand, bytesASec int) *slowLink {
	l := &slowLink{t: t, table: store.NewTable(), publishers: map[string]*Publisher{}, bytesASec: bytesASec}
	var nodes []*schema.Node
	for i := range 6 {
		node := member(fmt.Sprint("m", i), homeRegion)
		nodes = append(nodes, node)
		l.addresses = append(l.addresses, node.Address)
		l.publishers[node.Address] = NewPublisher(l.table, constants.RoutedDelta)
	}
	l.reader = newReader(t, func(options *SubscriptionOptions) {
		options.Draw = random.Int63n
		options.RenewEvery = constants.RoutedSubscribe
	}, nodes...)
	return l
}

// change writes rows, the same ones again and again.
func (l *slowLink) change(rows int) {
	record := &schema.Record{Kind: schema.RecordKind_RECORD_ROWS}
	for i := range rows {
		record.Rows = append(record.Rows, &schema.Row{Key: fmt.Sprintf("node/%03d", (int(l.table.Version())*rows+i)%300), Value: make([]byte, rowBytes)})
	}
	noCheck := func(*store.Table, *schema.Row) error { return nil }
	if _, err := l.table.Apply(l.table.Version()+1, record, noCheck); err != nil {
		l.t.Fatal(err)
	}
}

// send puts a member's deltas on the link; what is sent while it is cut is lost.
func (l *slowLink) send(now time.Duration, from string, envelopes []frame.Envelope) {
	for _, envelope := range envelopes {
		delta := envelope.Frame.GetDelta()
		if delta == nil || l.isCut {
			continue
		}
		l.freeAt = max(l.freeAt, now) + time.Duration(proto.Size(envelope.Frame))*time.Second/time.Duration(l.bytesASec)
		l.arriving = append(l.arriving, sentDelta{l.freeAt, from, proto.Clone(delta).(*schema.Delta)})
	}
}

// ask hands the reader's requests to the members at once.
func (l *slowLink) ask(now time.Duration, envelopes []frame.Envelope) {
	for _, envelope := range envelopes {
		if request := envelope.Frame.GetSubscribe(); request != nil && !l.isCut {
			l.send(now, envelope.To, l.publishers[envelope.To].Subscribe(now, confirmedNow(), "reader", request))
		}
	}
}

func confirmedNow() Confirmation {
	return Confirmation{IsMember: true, Age: 300 * time.Millisecond}
}

func (l *slowLink) step(now time.Duration) {
	for len(l.arriving) > 0 && l.arriving[0].at <= now {
		arrived := l.arriving[0]
		l.arriving = l.arriving[1:]
		l.ask(now, l.reader.TakeDelta(now, arrived.from, arrived.delta).Sends)
	}
	l.ask(now, l.reader.Tick(now))
	for _, address := range l.addresses {
		l.send(now, address, l.publishers[address].Tick(now, confirmedNow()))
	}
}

// Guards against rows that stay seconds behind for good once a source was lost (CONFIG): each member that a reader asked went on sending it rows, together more
// than its link carries, so that the rows of its source came late and it looked for another one.
func TestAReaderBehindASlowLinkCatchesUpAfterACut(t *testing.T) {
	const (
		linkBytes   = 60_000
		changeEvery = 100 * time.Millisecond
		changedRows = 8
		cutAt       = begin + 5*time.Second
		healedAt    = cutAt + 4*time.Second
		caughtUp    = healedAt + 8*time.Second
		applyWithin = 2500 * time.Millisecond
	)
	testseeds.Each(t, 20, func(t *testing.T, seed int64) {
		l := newSlowLink(t, rand.New(rand.NewSource(seed)), linkBytes)
		l.change(200)
		changedAt := begin
		worst := time.Duration(0)
		for now := begin; now < healedAt+20*time.Second; now += tickEvery {
			if now-changedAt >= changeEvery {
				l.change(changedRows)
				changedAt = now
			}
			l.isCut = now >= cutAt && now < healedAt
			l.step(now)
			if now > caughtUp {
				worst = max(worst, now-l.reader.FreshAt())
			}
		}
		if worst > applyWithin {
			t.Errorf("its rows are up to %v old from %v after the cut on; version %d of %d", worst, caughtUp-healedAt, l.reader.table.Version(), raft.Index(l.table.Version()))
		}
	})
}
