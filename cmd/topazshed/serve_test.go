package main

import (
	"log/slog"
	"strings"
	"testing"

	"topazshed/internal/settings"
)

func TestReload(t *testing.T) {
	running := &settings.Settings{Peer: "127.0.0.1:1", Seeds: []string{"a", "b", "c"}, LogLevel: "info"}
	for _, c := range []struct {
		name  string
		fresh *settings.Settings
		fault error
		level slog.Level
		want  string
	}{
		{"another log level", &settings.Settings{Peer: "127.0.0.1:1", Seeds: []string{"a", "b", "c"}, LogLevel: "error"}, nil, slog.LevelError, "settings reloaded"},
		{"another address needs a restart", &settings.Settings{Peer: "127.0.0.1:2", Seeds: []string{"a", "b", "c"}, LogLevel: "warn"}, nil, slog.LevelWarn, "stop and start"},
		{"faults change nothing", &settings.Settings{LogLevel: "debug"}, &settings.FaultsError{Faults: []settings.Fault{{Field: "peer", Problem: "is missing", Remedy: "give an IP:port"}}}, slog.LevelInfo, "peer: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var text strings.Builder
			level := &slog.LevelVar{}
			reload(running, c.fresh, c.fault, level, slog.New(slog.NewJSONHandler(&text, nil)))
			if level.Level() != c.level || !strings.Contains(text.String(), c.want) {
				t.Fatalf("level %v, log %s", level.Level(), text.String())
			}
		})
	}
}
