// Package settings reads and checks what a process is told about its place.
package settings

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
)

// Settings is a process's place in the fleet.
type Settings struct {
	Peer       string   `json:"peer"`
	PeerShown  string   `json:"peer_shown"`
	Proxy      string   `json:"proxy"`
	ProxyShow  string   `json:"proxy_shown"`
	Admin      string   `json:"door"`
	AdminShown string   `json:"door_shown"`
	Zone       string   `json:"district"`
	Region     string   `json:"region"`
	Seeds      []string `json:"seeds"`
	Data       string   `json:"data"`
	Platform   string   `json:"platform"`
	LogLevel   string   `json:"log_level"`
	// DiskBytes bounds the data folder; 0 is no bound.
	DiskBytes int64 `json:"disk_bytes"`
	// Rejoin says that the system was founded before: a machine without state joins it and never founds another.
	Rejoin bool `json:"rejoin"`
	// Routes, where it is given, makes this a fleet that carries routes; without it the fleet carries entries.
	Routes *Routes `json:"routes,omitempty"`
}

// Fault is one thing wrong with the settings and how to mend it.
type Fault struct{ Field, Message string }

// FaultsError carries every fault of the settings at once.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s", fault.Field, fault.Message)
	}
	return strings.Join(lines, "; ")
}

// Flags binds the settings to command-line flags; the returned closure merges file and flags.
func Flags(flags *flag.FlagSet) func() (*Settings, error) {
	file := flags.String("settings", "", "settings file (JSON); flags override it")
	var given Settings
	seeds := flags.String("seeds", "", "three peer addresses, comma separated")
	flags.StringVar(&given.Peer, "peer", "", "IP:port for other processes")
	flags.StringVar(&given.PeerShown, "peer-shown", "", "IP:port others reach the peer address by (default: peer)")
	flags.StringVar(&given.Proxy, "proxy", "", "IP:port for callers' queries")
	flags.StringVar(&given.ProxyShow, "proxy-shown", "", "IP:port others reach the proxy address by (default: proxy)")
	flags.StringVar(&given.Admin, "door", "", "IP:port for directory and operators")
	flags.StringVar(&given.AdminShown, "door-shown", "", "IP:port others reach the door by (default: door)")
	flags.StringVar(&given.Zone, "district", "", "district (zone) of this machine")
	flags.StringVar(&given.Region, "region", "", "region of the district")
	flags.StringVar(&given.Data, "data", "", "data folder; only on machines with a disk")
	flags.StringVar(&given.Platform, "platform", "", "http URL of the platform's back-end list")
	flags.StringVar(&given.LogLevel, "log-level", "", "debug, info, warn or error (default info)")
	isRouted := flags.Bool("routes", false, "carry routes, with the default bounds if the file gives none")
	return func() (*Settings, error) {
		settings := &Settings{}
		if *file != "" {
			text, err := os.ReadFile(*file)
			if err != nil {
				return nil, &FaultsError{[]Fault{{"settings", fmt.Sprintf("can't be read (%v); name a readable file", err)}}}
			}
			reader := json.NewDecoder(bytes.NewReader(text))
			reader.DisallowUnknownFields()
			if err := reader.Decode(settings); err != nil {
				return nil, &FaultsError{[]Fault{{"settings", fmt.Sprintf("is not the expected JSON (%v); see the README's example", err)}}}
			}
		}
		for _, pair := range []struct {
			from string
			to   *string
		}{
			{given.Peer, &settings.Peer}, {given.PeerShown, &settings.PeerShown}, {given.Proxy, &settings.Proxy},
			{given.ProxyShow, &settings.ProxyShow}, {given.Admin, &settings.Admin}, {given.AdminShown, &settings.AdminShown},
			{given.Zone, &settings.Zone}, {given.Region, &settings.Region}, {given.Data, &settings.Data},
			{given.Platform, &settings.Platform}, {given.LogLevel, &settings.LogLevel},
		} {
			if pair.from != "" {
				*pair.to = pair.from
			}
		}
		if *isRouted && settings.Routes == nil {
			settings.Routes = DefaultRoutes()
		}
		if *seeds != "" {
			settings.Seeds = strings.Split(*seeds, ",")
		}
		return settings, settings.Check()
	}
}

var compileNameForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}$`) })

// Check fills defaults and reports every fault.
func (s *Settings) Check() error {
	var faults []Fault
	add := func(field, form string, args ...any) {
		faults = append(faults, Fault{field, fmt.Sprintf(form, args...)})
	}
	checkAddress := func(field, text string) {
		if text == "" {
			add(field, "is missing; give an IP:port")
			return
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			add(field, "%q is no IP:port; give a numeric IP and a port", text)
		} else if address.Port() == 0 || address.Addr().IsUnspecified() {
			add(field, "%q names no exact address; others must be able to reach it", text)
		}
	}
	for _, pair := range []struct{ shown, real *string }{{&s.PeerShown, &s.Peer}, {&s.ProxyShow, &s.Proxy}, {&s.AdminShown, &s.Admin}} {
		if *pair.shown == "" {
			*pair.shown = *pair.real
		}
	}
	checkAddress("peer", s.Peer)
	checkAddress("proxy", s.Proxy)
	checkAddress("door", s.Admin)
	for _, pair := range [][3]string{{"peer_shown", s.PeerShown, s.Peer}, {"proxy_shown", s.ProxyShow, s.Proxy}, {"door_shown", s.AdminShown, s.Admin}} {
		if pair[1] != pair[2] {
			checkAddress(pair[0], pair[1])
		}
	}
	if s.Peer != "" && (s.Peer == s.Proxy || s.Peer == s.Admin) || s.Proxy != "" && s.Proxy == s.Admin {
		add("peer, proxy, door", "must differ; give each its own port")
	}
	if !compileNameForm().MatchString(s.Zone) {
		add("district", "%q is no name; use up to 31 small letters, digits and hyphens, a letter first", s.Zone)
	}
	if !compileNameForm().MatchString(s.Region) {
		add("region", "%q is no name; use up to 31 small letters, digits and hyphens, a letter first", s.Region)
	}
	if len(s.Seeds) != 3 {
		add("seeds", "has %d addresses; name three peers", len(s.Seeds))
	}
	seen := map[string]bool{}
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
		if seed != "" && seen[seed] {
			add(fmt.Sprintf("seeds[%d]", i), "%q is named twice; name three different peers", seed)
		}
		seen[seed] = true
	}
	if s.Data != "" {
		if info, err := os.Stat(s.Data); err == nil && !info.IsDir() {
			add("data", "%q is no folder; name a folder or leave it out", s.Data)
		}
	}
	if s.Platform != "" && !strings.HasPrefix(s.Platform, "http://") {
		add("platform", "%q is no http URL; give the list's address", s.Platform)
	}
	if s.Data != "" && s.Platform == "" {
		add("platform", "is missing; a machine with a data folder may lead and must reach the list")
	}
	if s.Routes != nil {
		s.Routes.check(add)
	}
	switch s.LogLevel {
	case "":
		s.LogLevel = "info"
	case "debug", "info", "warn", "error":
	default:
		add("log_level", "%q is unknown; use debug, info, warn or error", s.LogLevel)
	}
	if len(faults) > 0 {
		return &FaultsError{faults}
	}
	return nil
}
