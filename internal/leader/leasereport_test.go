package leader

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"topazshed/internal/schema"
	"topazshed/internal/sharding"
)

func TestTheLeaseReportSumsUpWhatWasDoneSinceTheLastLine(t *testing.T) {
	var text bytes.Buffer
	logger := slog.New(slog.NewTextHandler(&text, nil))
	report := newLeaseReport()
	report.loggedAt = time.Hour
	report.note([]*schema.Record{{Reason: "merge"}, {Reason: "merge"}}, 3)
	report.answered(sharding.Done)
	report.answered(sharding.Unsent)
	report.log(time.Hour+leaseReportEvery/2, logger, sharding.Stats{Ranges: 5, InFlight: 1})
	if text.Len() > 0 {
		t.Fatalf("a line before it is due: %s", text.String())
	}
	report.log(time.Hour+leaseReportEvery, logger, sharding.Stats{Ranges: 5, InFlight: 1})
	for _, want := range []string{"ranges=5", "inFlight=1", "calls=3", "answers.done=1", "answers.unsent=1", "changes.merge=2"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q lacks %s", text.String(), want)
		}
	}
	text.Reset()
	report.log(time.Hour+2*leaseReportEvery, logger, sharding.Stats{Ranges: 5})
	if !strings.Contains(text.String(), "calls=0") || strings.Contains(text.String(), "merge") {
		t.Errorf("the second line is not of its own time: %q", text.String())
	}
}
