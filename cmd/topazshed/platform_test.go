package main

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"topazshed/platform"
)

func TestPlatformTellsEveryFaultOfItsSettings(t *testing.T) {
	for _, c := range []struct {
		name, text string
		args       []string
		want       []string
	}{
		{"several faults", `{"ip":"x","zone":"mu-a","region":"mu","zones":{"mu-a":"xi"},"seed-nodes":["y"]}`, nil, []string{"setting ip ", "setting region ", "setting inner-port-range ", "setting listen ", "setting seed-nodes[0] "}},
		{"no JSON", `{`, nil, []string{"setting settings "}},
		{"no file", "", nil, []string{"setting " + platform.Variable}},
		{"an argument", `{}`, []string{"more"}, []string{"takes no arguments", `"more"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.json")
			t.Setenv(platform.Variable, path)
			if c.text != "" {
				if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			command := &platformCommand{}
			flags := flag.NewFlagSet("platform", flag.ContinueOnError)
			command.SetFlags(flags)
			if err := flags.Parse(append([]string{"-log-level", "warn"}, c.args...)); err != nil {
				t.Fatal(err)
			}
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			was := os.Stderr
			os.Stderr = writer
			status := command.Execute(context.Background(), flags)
			os.Stderr = was
			writer.Close()
			reported, err := io.ReadAll(reader)
			if err != nil {
				t.Fatal(err)
			}
			if status != subcommands.ExitUsageError {
				t.Errorf("exit status %d", status)
			}
			for _, want := range c.want {
				if !strings.Contains(string(reported), want) {
					t.Errorf("%q is missing in %q", want, reported)
				}
			}
		})
	}
}
