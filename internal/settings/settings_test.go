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
	good := []string{"-peer", "127.0.0.1:7001", "-proxy", "127.0.0.1:7002", "-admin", "127.0.0.1:7003", "-zone", "a", "-region", "r", "-seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"}
	for _, c := range []struct {
		name   string
		file   string
		args   []string
		faults []string
	}{
		{"all by flags", "", good, nil},
		{"nothing at all", "", nil, []string{"peer", "proxy", "admin", "zone", "region", "seeds"}},
		{"names for addresses, two seeds, a bad level", "", append(slices.Clone(good), "-peer", "localhost:7001", "-seeds", "127.0.0.1:1,127.0.0.1:1", "-log-level", "loud"), []string{"peer", "seeds", "seeds[1]", "log_level"}},
		{"one port for all", "", append(slices.Clone(good), "-admin", "127.0.0.1:7001"), []string{"peer, proxy, admin"}},
		{"a data folder without the platform's list", "", append(slices.Clone(good), "-data", os.TempDir()), []string{"platform"}},
		{"an unspecified address", "", append(slices.Clone(good), "-proxy", "0.0.0.0:7002"), []string{"proxy"}},
		{"a file with an unknown field", `{"peer":"127.0.0.1:1","colour":"red"}`, nil, []string{"settings"}},
		{"a file that is no JSON", `peer=1`, nil, []string{"settings"}},
		{"routes by a flag", "", append(slices.Clone(good), "-routes"), nil},
		{"routes with some bounds", `{"routes":{"retry_ratio":0.1}}`, good, nil},
		{"routes with bounds that can't be kept", `{"routes":{"retry_ratio":-1,"retry_window_ms":5,"list_rate":-3,"stop_grace_ms":0,"apply_within_ms":9}}`, good, []string{"routes.retry_ratio", "routes.retry_window_ms", "routes.list_rate", "routes.stop_grace_ms", "routes.apply_within_ms"}},
		{"routes with an unknown bound", `{"routes":{"colour":1}}`, good, []string{"settings"}},
		{"flags override the file", `{"peer":"nonsense"}`, good, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := readWith(t, c.file, c.args)
			got := faultFields(err)
			if !slices.Equal(got, c.faults) {
				t.Fatalf("faults %v, want %v", err, c.faults)
			}
		})
	}
}

func TestOldSpellingsAreAccepted(t *testing.T) {
	common := []string{"-peer", "127.0.0.1:7001", "-proxy", "127.0.0.1:7002", "-region", "r", "-seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3"}
	const oldFile = `{"door":"127.0.0.1:7003","door_shown":"127.0.0.1:8003","district":"a"}`
	const newFile = `{"admin":"127.0.0.1:7003","admin_shown":"127.0.0.1:8003","zone":"a"}`
	oldFlags := []string{"-door", "127.0.0.1:7003", "-door-shown", "127.0.0.1:8003", "-district", "a"}
	newFlags := []string{"-admin", "127.0.0.1:7003", "-admin-shown", "127.0.0.1:8003", "-zone", "a"}
	allOld := []string{"door", "door_shown", "district"}
	for _, c := range []struct {
		name   string
		file   string
		args   []string
		faults []string
	}{
		{"old names in the file", oldFile, nil, nil},
		{"new names in the file", newFile, nil, nil},
		{"old flags", "", oldFlags, nil},
		{"new flags", "", newFlags, nil},
		{"old and new flags that agree", "", slices.Concat(oldFlags, newFlags), nil},
		{"old and new names in the file that agree", oldFile[:len(oldFile)-1] + "," + newFile[1:], nil, nil},
		{"new flags override old names in the file", `{"door":"127.0.0.1:9","door_shown":"127.0.0.1:9","district":"b"}`, newFlags, nil},
		{"old flags override new names in the file", `{"admin":"127.0.0.1:9","admin_shown":"127.0.0.1:9","zone":"b"}`, oldFlags, nil},
		{"flags that differ", "", append(slices.Clone(newFlags), "-door", "127.0.0.1:9", "-door-shown", "127.0.0.1:9", "-district", "b"), allOld},
		{"names in the file that differ", `{"door":"127.0.0.1:9","door_shown":"127.0.0.1:9","district":"b",` + newFile[1:], nil, allOld},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings, err := readWith(t, c.file, slices.Concat(common, c.args))
			if got := faultFields(err); !slices.Equal(got, c.faults) {
				t.Fatalf("faults %v, want %v", err, c.faults)
			}
			if settings.Admin != "127.0.0.1:7003" || settings.AdminShown != "127.0.0.1:8003" || settings.Zone != "a" {
				t.Errorf("admin %q, shown %q, zone %q", settings.Admin, settings.AdminShown, settings.Zone)
			}
		})
	}
}

func TestFaultsSayWhatToDo(t *testing.T) {
	_, err := readWith(t, "", []string{"-peer", "here", "-log-level", "loud", "-door", "127.0.0.1:1", "-admin", "127.0.0.1:2"})
	var faults *FaultsError
	if !errors.As(err, &faults) {
		t.Fatalf("%v is not a *FaultsError", err)
	}
	for _, fault := range faults.Faults {
		if fault.Kind == "" || fault.Problem == "" || fault.Remedy == "" {
			t.Errorf("%+v lacks a kind, a problem or a remedy", fault)
		}
	}
}

// readWith reads settings from a file of that text (none if it is empty) and flags.
func readWith(t *testing.T, file string, args []string) (*Settings, error) {
	t.Helper()
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	read := Flags(flags)
	if file != "" {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append([]string{"-settings", path}, args...)
	}
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	return read()
}

// faultFields gives the fields of all faults in their order.
func faultFields(err error) []string {
	var faults *FaultsError
	if !errors.As(err, &faults) {
		return nil
	}
	var fields []string
	for _, fault := range faults.Faults {
		fields = append(fields, fault.Field)
	}
	return fields
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
