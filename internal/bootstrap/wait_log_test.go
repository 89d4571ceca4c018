package bootstrap

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

// Guards against a system that is never founded while no log tells why: a node names the seeds that it waits for.
func TestANodeWithoutASystemLogsForWhomItWaits(t *testing.T) {
	var text strings.Builder
	m := newMachine(t, diskNode("b"), []string{"a", "b", "c"}, func(o *Options) {
		o.Log = slog.New(slog.NewTextHandler(&text, nil))
	})
	for now := begin; now <= begin+logWaitEvery+constants.DiscoverEvery; now += constants.DiscoverEvery {
		m.TakeAnswer(now, "c", &schema.DiscoverResponse{})
		m.Ask(now)
	}
	for _, want := range []string{"silent_seeds=[a]", "seeds_without_system=[c]", "may_found=false", "rejoins=false"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing in %q", want, text.String())
		}
	}
	if count := strings.Count(text.String(), "belongs to no system"); count != 1 {
		t.Errorf("logged %d times in %v", count, logWaitEvery+2*time.Second)
	}
}
