package main

import (
	"context"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/subcommands"

	"topazshed/internal/constants"
	"topazshed/platform"
)

// wholeSettings are those of a machine without a disk.
const wholeSettings = `{"node-name": "edge-1", "ip": "127.0.0.1", "zone": "mu-a", "region": "mu", "zones": {"mu-a": "mu"},
  "listen": {"front": "127.0.0.1:9100"}, "inner-port-range": [6100, 6110], "seed-nodes": ["127.0.0.1:9102"], "first-start": true}`

// Guards against a start that gives up on a settings file that is being written (FAULT, issue 42).
func TestAStartWaitsForASettingsFileThatIsBeingWritten(t *testing.T) {
	for _, c := range []struct {
		name, first, last string
		isGood            bool
	}{
		{"missing", "", wholeSettings, true},
		{"half of it", wholeSettings[:len(wholeSettings)/2], wholeSettings, true},
		{"half of it for good", wholeSettings[:len(wholeSettings)/2], wholeSettings[:len(wholeSettings)/2], false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "settings.json")
			if c.first != "" {
				if err := os.WriteFile(path, []byte(c.first), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			time.AfterFunc(100*time.Millisecond, func() { os.WriteFile(path, []byte(c.last), 0o600) })
			begun := time.Now()
			err := readWhenWhole(context.Background(), slog.New(slog.DiscardHandler), func() error {
				text, err := os.ReadFile(path)
				if err != nil {
					text = nil
				}
				_, _, _, err = platform.Parse(text)
				return err
			})
			if took := time.Since(begun); (err == nil) != c.isGood || took > constants.SettingsWait+time.Second {
				t.Errorf("after %v: %v", took, err)
			}
		})
	}
}

func TestAStartThatWaitsForItsSettingsEndsWellWhenItIsToldToStop(t *testing.T) {
	t.Setenv(platform.Variable, filepath.Join(t.TempDir(), "none.json"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	command := &platformCommand{}
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	command.SetFlags(flags)
	if status := command.Execute(ctx, flags); status != subcommands.ExitSuccess {
		t.Errorf("exit status %d", status)
	}
}

func TestOnlyNodesTakeSignalsOfTheirOwn(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		want      bool
	}{{[]string{"topazshed", "platform"}, true}, {[]string{"topazshed", "serve", "-settings", "f"}, true}, {[]string{"topazshed", "show"}, false}, {[]string{"topazshed"}, false}} {
		if got := runsNode(c.arguments); got != c.want {
			t.Errorf("%v: %v", c.arguments, got)
		}
	}
}
