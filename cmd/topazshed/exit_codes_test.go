package main

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/subcommands"
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
		{"put without a file", &putCommand{}, []string{"-admin", admin}, subcommands.ExitUsageError},
		{"put of a file that isn't there", &putCommand{}, []string{"-admin", admin, "/nowhere.json"}, subcommands.ExitUsageError},
		{"show", &showCommand{}, []string{"-admin", admin}, subcommands.ExitSuccess},
		{"show from nobody", &showCommand{}, []string{"-admin", "127.0.0.1:1"}, subcommands.ExitFailure},
		{"empty", &zoneCommand{isEmpty: true}, []string{"-admin", admin, "north-a"}, subcommands.ExitSuccess},
		{"empty of an unknown zone", &zoneCommand{isEmpty: true}, []string{"-admin", admin, "moon"}, subcommands.ExitFailure},
		{"empty of none", &zoneCommand{isEmpty: true}, []string{"-admin", admin}, subcommands.ExitUsageError},
		{"empty by the old flag", &zoneCommand{isEmpty: true}, []string{"-door", admin, "north-a"}, subcommands.ExitSuccess},
		{"show by both flags that agree", &showCommand{}, []string{"-door", admin, "-admin", admin}, subcommands.ExitSuccess},
		{"show by both flags that differ", &showCommand{}, []string{"-door", "127.0.0.1:1", "-admin", admin}, subcommands.ExitUsageError},
		{"doctor by both flags that differ", &doctorCommand{}, []string{"-door", "127.0.0.1:1", "-admin", admin}, subcommands.ExitUsageError},
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
