package settings

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestSettings(t *testing.T) {
	good := []string{"-peer", "127.0.0.1:7001", "-proxy", "127.0.0.1:7002", "-door", "127.0.0.1:7003", "-district", "a", "-region", "r", "-seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"}
	for _, c := range []struct {
		name   string
		file   string
		args   []string
		faults []string
	}{
		{"all by flags", "", good, nil},
		{"nothing at all", "", nil, []string{"peer", "proxy", "door", "district", "region", "seeds"}},
		{"names for addresses, two seeds, a bad level", "", append(slices.Clone(good), "-peer", "localhost:7001", "-seeds", "127.0.0.1:1,127.0.0.1:1", "-log-level", "loud"), []string{"peer", "seeds", "seeds[1]", "log_level"}},
		{"one port for all", "", append(slices.Clone(good), "-door", "127.0.0.1:7001"), []string{"peer, proxy, door"}},
		{"a data folder without the platform's list", "", append(slices.Clone(good), "-data", os.TempDir()), []string{"platform"}},
		{"an unspecified address", "", append(slices.Clone(good), "-proxy", "0.0.0.0:7002"), []string{"proxy"}},
		{"a file with an unknown field", `{"peer":"127.0.0.1:1","colour":"red"}`, nil, []string{"settings"}},
		{"a file that is no JSON", `peer=1`, nil, []string{"settings"}},
		{"routes by a flag", "", append(slices.Clone(good), "-routes"), nil},
		{"routes with some bounds", `{"routes":{"retry_ratio":0.1}}`, good, nil},
		{"routes with bounds that can't be kept", `{"routes":{"retry_ratio":-1,"retry_window_ms":5,"list_rate":-3,"stop_grace_ms":0}}`, good, []string{"routes.retry_ratio", "routes.retry_window_ms", "routes.list_rate", "routes.stop_grace_ms"}},
		{"routes with an unknown bound", `{"routes":{"colour":1}}`, good, []string{"settings"}},
		{"flags override the file", `{"peer":"nonsense"}`, good, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			flags := flag.NewFlagSet("serve", flag.ContinueOnError)
			read := Flags(flags)
			args := c.args
			if c.file != "" {
				path := filepath.Join(t.TempDir(), "settings.json")
				if err := os.WriteFile(path, []byte(c.file), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append([]string{"-settings", path}, args...)
			}
			if err := flags.Parse(args); err != nil {
				t.Fatal(err)
			}
			_, err := read()
			var faults *FaultsError
			var got []string
			if errors.As(err, &faults) {
				for _, fault := range faults.Faults {
					got = append(got, fault.Field)
				}
			}
			if !slices.Equal(got, c.faults) {
				t.Fatalf("faults %v, want %v", err, c.faults)
			}
		})
	}
}

func TestRoutesKeepDefaults(t *testing.T) {
	var got Settings
	if err := json.Unmarshal([]byte(`{"routes":{"retry_slack":68}}`), &got); err != nil {
		t.Fatal(err)
	}
	want := DefaultRoutes()
	want.RetrySlack = 68
	if *got.Routes != *want {
		t.Fatalf("%+v", got.Routes)
	}
}
