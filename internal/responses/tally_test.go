package responses

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"topazshed/internal/constants"
)

func TestTallyCountsByPartyAndBound(t *testing.T) {
	var text bytes.Buffer
	tally := NewTally(slog.New(slog.NewTextHandler(&text, nil)))
	tooLong := &BoundError{Bound: BoundBytes, Limit: 5}
	tally.Note("b", fmt.Errorf("read: %w", tooLong))
	tally.Note("b", tooLong)
	tally.Note("b", &BoundError{Bound: BoundFields, Limit: 5})
	tally.Note("a", tooLong)
	tally.Note("a", errors.New("reset"))
	tally.Note("a", nil)
	want := []Count{{"a", BoundBytes, 1}, {"b", BoundBytes, 2}, {"b", BoundFields, 1}}
	if got := tally.Counts(); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if lines := strings.Count(text.String(), "\n"); lines != 1 || !strings.Contains(text.String(), "party=b bound=head_bytes limit=5") {
		t.Errorf("logged %q", text.String())
	}
}

// Back ends come and go: what is kept of them is bounded.
func TestTallyKeepsABoundedNumberOfParties(t *testing.T) {
	tally := NewTally(slog.New(slog.DiscardHandler))
	for i := range 3 * constants.TalliedParties {
		tally.Note(fmt.Sprint("i-", i), &BoundError{Bound: BoundBytes})
	}
	counts := tally.Counts()
	if len(counts) != constants.TalliedParties+1 || counts[0] != (Count{"", BoundBytes, 2 * constants.TalliedParties}) {
		t.Errorf("%d counts, the first is %v", len(counts), counts[0])
	}
}

func TestANilTallyCountsNothing(t *testing.T) {
	var tally *Tally
	tally.Note("a", &BoundError{})
	if counts := tally.Counts(); len(counts) > 0 {
		t.Errorf("%v", counts)
	}
}
