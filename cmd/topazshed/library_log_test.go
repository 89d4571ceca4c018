package main

import (
	"bytes"
	"log"
	"log/slog"
	"strings"
	"testing"
)

// Guards against back ends that fill a node's log: net/http writes what they send unasked to the standard log.
func TestTheLibrariesLogIsTheNodesAtDebugLevel(t *testing.T) {
	flags, output := log.Flags(), log.Writer()
	defer func() {
		log.SetFlags(flags)
		log.SetOutput(output)
	}()
	for _, c := range []struct {
		level slog.Level
		want  string
	}{{slog.LevelInfo, ""}, {slog.LevelDebug, `"level":"DEBUG","msg":"unasked"`}} {
		var text bytes.Buffer
		takeLibraryLog(slog.NewJSONHandler(&text, &slog.HandlerOptions{Level: c.level}))
		log.Print("unasked")
		if !strings.Contains(text.String(), c.want) || c.want == "" && text.Len() > 0 {
			t.Errorf("at %v: %q, want %q", c.level, text.String(), c.want)
		}
	}
}
