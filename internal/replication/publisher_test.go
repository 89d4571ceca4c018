package replication

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/frame"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const deltaEvery = 250 * time.Millisecond

// publishedTable has a row at index 1 and another one at index 2.
func publishedTable(t *testing.T) *store.Table {
	t.Helper()
	table := store.NewTable()
	for index, key := range []string{"node/a", "s/checkout/policy"} {
		delta := &schema.Delta{From: uint64(index), To: uint64(index + 1), Rows: []*schema.Row{{Key: key, Index: uint64(index + 1), Value: []byte("v")}}}
		if _, isTaken := table.Merge(delta); !isTaken {
			t.Fatal("the table refuses a row")
		}
	}
	return table
}

func deltaOf(t *testing.T, envelopes []frame.Envelope) *schema.Delta {
	t.Helper()
	if len(envelopes) != 1 || envelopes[0].Frame.GetDelta() == nil {
		t.Fatalf("%d envelopes, want one delta", len(envelopes))
	}
	return envelopes[0].Frame.GetDelta()
}

func TestASubscriptionIsAnsweredWithWhatTheReaderLacks(t *testing.T) {
	for _, c := range []struct {
		name    string
		request *schema.Subscribe
		rows    string
		whole   string
		isAll   bool
	}{
		{"nothing yet", &schema.Subscribe{Wanted: []string{"node/"}}, "[node/a]", "[node/]", false},
		{"all that changed since", &schema.Subscribe{Version: 1, Prefixes: []string{"node/", "s/checkout/"}}, "[s/checkout/policy]", "[]", false},
		{"only what it holds", &schema.Subscribe{Version: 1, Prefixes: []string{"node/"}}, "[]", "[]", false},
		{"a further prefix whole", &schema.Subscribe{Version: 2, Prefixes: []string{"s/checkout/"}, Wanted: []string{"node/"}}, "[node/a]", "[node/]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			publisher := NewPublisher(publishedTable(t), deltaEvery)
			c.request.Serial = 7
			confirmation := Confirmation{IsMember: true, Age: 30 * time.Millisecond, Leader: "l"}
			delta := deltaOf(t, publisher.Subscribe(begin, confirmation, "reader", c.request))
			keys := []string{}
			for _, row := range delta.Rows {
				keys = append(keys, row.Key)
			}
			if fmt.Sprint(keys) != c.rows || fmt.Sprint(delta.Whole) != c.whole || delta.All != c.isAll {
				t.Errorf("rows %v, whole %v, all %v", keys, delta.Whole, delta.All)
			}
			if delta.From != c.request.Version || delta.To != 2 || delta.Serial != 7 || delta.AgeMs != 30 || delta.Leader != "l" {
				t.Errorf("delta %v", delta)
			}
		})
	}
}

func TestAReaderThatIsTooFarBehindGetsWholeRanges(t *testing.T) {
	table := publishedTable(t)
	table.Restore(table.Snapshot())
	delta := deltaOf(t, NewPublisher(table, deltaEvery).Subscribe(begin, Confirmation{IsMember: true}, "reader",
		&schema.Subscribe{Version: 1, Prefixes: []string{"node/"}, Wanted: []string{"s/checkout/"}}))
	if !delta.All || fmt.Sprint(delta.Whole) != "[node/ s/checkout/]" || len(delta.Rows) != 2 {
		t.Fatalf("delta %v", delta)
	}
}

func TestWhoMayNotPublishSendsNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		table        *store.Table
		confirmation Confirmation
		version      uint64
	}{
		{"no member of the log", publishedTable(t), Confirmation{}, 0},
		{"an empty table", store.NewTable(), Confirmation{IsMember: true}, 0},
		{"a table that is behind the reader's", publishedTable(t), Confirmation{IsMember: true}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			publisher := NewPublisher(c.table, deltaEvery)
			if envelopes := publisher.Subscribe(begin, c.confirmation, "reader", &schema.Subscribe{Version: c.version}); len(envelopes) > 0 {
				t.Fatalf("%d envelopes", len(envelopes))
			}
		})
	}
}

func TestSubscribersAreKeptInformed(t *testing.T) {
	confirmation := Confirmation{IsMember: true}
	for _, c := range []struct {
		name         string
		after        time.Duration
		isChanged    bool
		confirmation Confirmation
		isSent       bool
	}{
		{"nothing changed and it heard just now", deltaEvery - 1, false, confirmation, false},
		{"a row changed", 0, true, confirmation, true},
		{"nothing changed for a while", deltaEvery, false, confirmation, true},
		{"the subscription was not renewed", constants.SubscriptionTTL + 1, true, confirmation, false},
		{"this node has left the log", 0, true, Confirmation{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := publishedTable(t)
			publisher := NewPublisher(table, deltaEvery)
			publisher.Subscribe(begin, confirmation, "reader", &schema.Subscribe{Wanted: []string{"node/"}})
			if c.isChanged {
				table.Merge(&schema.Delta{From: 2, To: 3, Rows: []*schema.Row{{Key: "node/b", Index: 3, Value: []byte("v")}}})
			}
			envelopes := publisher.Tick(begin+c.after, c.confirmation)
			if isSent := len(envelopes) > 0; isSent != c.isSent {
				t.Fatalf("sent: %v, want %v", isSent, c.isSent)
			}
			if c.isSent && c.isChanged {
				if delta := deltaOf(t, envelopes); len(delta.Rows) != 1 || delta.Rows[0].Key != "node/b" || len(delta.Whole) > 0 {
					t.Fatalf("delta %v", delta)
				}
			}
		})
	}
}

func TestTheAgeOfRowsIsBounded(t *testing.T) {
	publisher := NewPublisher(publishedTable(t), deltaEvery)
	delta := deltaOf(t, publisher.Subscribe(begin, Confirmation{IsMember: true, Age: 1000 * time.Hour}, "reader", &schema.Subscribe{}))
	if age := time.Duration(delta.AgeMs) * time.Millisecond; age != maxReportedAge {
		t.Fatalf("age %v, want %v", age, maxReportedAge)
	}
}

func TestDigestsAreComparedAtTheSameVersionOnly(t *testing.T) {
	table := publishedTable(t)
	same, other := table.Digest("node/"), &schema.RangeDigest{Prefix: "s/", Digest: []byte("other")}
	for _, c := range []struct {
		name      string
		version   uint64
		isDone    bool
		differing string
	}{
		{"the same version", 2, true, "[s/]"},
		{"another version", 1, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			envelopes := NewPublisher(table, deltaEvery).CompareDigests("reader", &schema.DigestRequest{Version: c.version, Ranges: []*schema.RangeDigest{same, other}})
			if isDone := len(envelopes) > 0; isDone != c.isDone {
				t.Fatalf("compared: %v, want %v", isDone, c.isDone)
			}
			if c.isDone && fmt.Sprint(envelopes[0].Frame.GetDigestResponse().Differing) != c.differing {
				t.Fatalf("differing %v, want %s", envelopes[0].Frame.GetDigestResponse().Differing, c.differing)
			}
		})
	}
}
