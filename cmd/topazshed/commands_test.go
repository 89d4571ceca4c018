package main

import (
	"context"
	"flag"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"topazshed/internal/settings"
)

func TestExitCodes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/empty") && !strings.Contains(r.URL.Path, "north-a") {
			w.WriteHeader(http.StatusNotFound)
			w.Write([]byte(`{"kind":"unknown","message":"no such district"}`))
			return
		}
		w.Header().Set("Topazshed-Version", "3")
		w.Write([]byte(`{"entries":[]}`))
	}))
	defer server.Close()
	admin := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		name    string
		command subcommands.Command
		args    []string
		want    subcommands.ExitStatus
	}{
		{"serve without settings", &serveCommand{}, nil, subcommands.ExitUsageError},
		{"serve with an argument", &serveCommand{}, []string{"now"}, subcommands.ExitUsageError},
		{"serve with a file that isn't there", &serveCommand{}, []string{"-settings", "/nowhere.json"}, subcommands.ExitUsageError},
		{"put without a file", &putCommand{}, []string{"-door", admin}, subcommands.ExitUsageError},
		{"put of a file that isn't there", &putCommand{}, []string{"-door", admin, "/nowhere.json"}, subcommands.ExitUsageError},
		{"show", &showCommand{}, []string{"-door", admin}, subcommands.ExitSuccess},
		{"show from nobody", &showCommand{}, []string{"-door", "127.0.0.1:1"}, subcommands.ExitFailure},
		{"empty", &zoneCommand{isEmpty: true}, []string{"-door", admin, "north-a"}, subcommands.ExitSuccess},
		{"empty of an unknown district", &zoneCommand{isEmpty: true}, []string{"-door", admin, "moon"}, subcommands.ExitFailure},
		{"empty of none", &zoneCommand{isEmpty: true}, []string{"-door", admin}, subcommands.ExitUsageError},
		{"doctor of nothing", &doctorCommand{}, nil, subcommands.ExitUsageError},
		{"version", &versionCommand{}, nil, subcommands.ExitSuccess},
	} {
		t.Run(c.name, func(t *testing.T) {
			flags := flag.NewFlagSet(c.command.Name(), flag.ContinueOnError)
			c.command.SetFlags(flags)
			if err := flags.Parse(c.args); err != nil {
				t.Fatal(err)
			}
			if got := c.command.Execute(context.Background(), flags); got != c.want {
				t.Fatalf("exit code %d, want %d", got, c.want)
			}
		})
	}
}

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
		{"faults change nothing", &settings.Settings{LogLevel: "debug"}, &settings.FaultsError{Faults: []settings.Fault{{Field: "peer", Message: "is missing"}}}, slog.LevelInfo, "peer: is missing"},
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
