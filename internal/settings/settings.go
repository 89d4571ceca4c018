// Package settings reads and checks what a process is told about its place in the fleet, from flags and a file. It opens
// no address and changes no file. Its values are read-only once they are checked.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
)

// seedsWanted is how many seeds a process is given: enough that a majority of them can found a system.
const seedsWanted = 3

// Settings are a process's place in the fleet. Addresses are numeric IP:port texts; an address with "Shown" is the one at
// which others reach the address of that name, and equals it if nothing is said.
type Settings struct {
	// Peer is for frames from other processes of the fleet.
	Peer      string `json:"peer"`
	PeerShown string `json:"peer_shown"`
	// Proxy is for callers' requests.
	Proxy      string `json:"proxy"`
	ProxyShown string `json:"proxy_shown"`
	// Admin is for the directory and operators.
	Admin      string `json:"admin"`
	AdminShown string `json:"admin_shown"`
	// Zone and Region are where the machine stands.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Seeds are the peer addresses of three machines, which a process without a system asks.
	Seeds []string `json:"seeds"`
	// Data is the data folder; only a machine with a disk has one, and only such a machine may vote and lead.
	Data string `json:"data"`
	// Platform is the http URL of the list of back ends.
	Platform string `json:"platform"`
	// LogLevel is debug, info, warn or error; info if nothing is said.
	LogLevel string `json:"log_level"`
	// DiskBytes bounds the data folder; 0 is no bound.
	DiskBytes int64 `json:"disk_bytes"`
	// Rejoin says that the system was founded before: a machine without state joins it and never founds another.
	Rejoin bool `json:"rejoin"`
	// Routes, where it is given, makes this a fleet that carries routes; without it the fleet carries entries.
	Routes *Routes `json:"routes,omitempty"`
}

var compileNameForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[a-z][a-z0-9-]{0,30}$`) })

// Check fills defaults in and reports every fault; the error is a *FaultsError.
func (s *Settings) Check() error {
	faults := &FaultList{}
	s.check(faults)
	return faults.Err()
}

func (s *Settings) check(faults *FaultList) {
	s.fillShown()
	s.checkAddresses(faults)
	checkName(faults, "zone", s.Zone)
	checkName(faults, "region", s.Region)
	s.checkSeeds(faults)
	s.checkData(faults)
	if s.Routes != nil {
		s.Routes.check(faults)
	}
	s.checkLogLevel(faults)
}

func (s *Settings) fillShown() {
	for _, address := range []struct{ shown, real *string }{
		{&s.PeerShown, &s.Peer}, {&s.ProxyShown, &s.Proxy}, {&s.AdminShown, &s.Admin},
	} {
		if *address.shown == "" {
			*address.shown = *address.real
		}
	}
}

func (s *Settings) checkAddresses(faults *FaultList) {
	checkAddress(faults, "peer", s.Peer)
	checkAddress(faults, "proxy", s.Proxy)
	checkAddress(faults, "admin", s.Admin)
	for _, address := range []struct{ field, shown, real string }{
		{"peer_shown", s.PeerShown, s.Peer}, {"proxy_shown", s.ProxyShown, s.Proxy}, {"admin_shown", s.AdminShown, s.Admin},
	} {
		if address.shown != address.real {
			checkAddress(faults, address.field, address.shown)
		}
	}
	isPeerShared := s.Peer != "" && (s.Peer == s.Proxy || s.Peer == s.Admin)
	isProxyShared := s.Proxy != "" && s.Proxy == s.Admin
	if isPeerShared || isProxyShared {
		faults.Add(Conflicting, "peer, proxy, admin", "give each its own port", "must differ")
	}
}

func checkAddress(faults *FaultList, field, text string) {
	if text == "" {
		faults.Add(Missing, field, "give an IP:port", "is missing")
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		faults.Add(Malformed, field, "give a numeric IP and a port", "%q is no IP:port", text)
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() {
		faults.Add(OutOfRange, field, "others must be able to reach it", "%q names no exact address", text)
	}
}

func checkName(faults *FaultList, field, name string) {
	if !compileNameForm().MatchString(name) {
		faults.Add(Malformed, field, "use up to 31 small letters, digits and hyphens, a letter first", "%q is no name", name)
	}
}

func (s *Settings) checkSeeds(faults *FaultList) {
	if len(s.Seeds) != seedsWanted {
		faults.Add(OutOfRange, "seeds", "name three peers", "has %d addresses", len(s.Seeds))
	}
	seen := map[string]bool{}
	for i, seed := range s.Seeds {
		field := fmt.Sprintf("seeds[%d]", i)
		checkAddress(faults, field, seed)
		if seed != "" && seen[seed] {
			faults.Add(Conflicting, field, "name three different peers", "%q is named twice", seed)
		}
		seen[seed] = true
	}
}

func (s *Settings) checkData(faults *FaultList) {
	if s.Data != "" {
		if info, err := os.Stat(s.Data); err == nil && !info.IsDir() {
			faults.Add(Malformed, "data", "name a folder or leave it out", "%q is no folder", s.Data)
		}
	}
	if s.Platform != "" && !strings.HasPrefix(s.Platform, "http://") {
		faults.Add(Malformed, "platform", "give the list's address", "%q is no http URL", s.Platform)
	}
	if s.Data != "" && s.Platform == "" {
		faults.Add(Missing, "platform", "a machine with a data folder may lead and must reach the list", "is missing")
	}
}

func (s *Settings) checkLogLevel(faults *FaultList) {
	switch s.LogLevel {
	case "":
		s.LogLevel = "info"
	case "debug", "info", "warn", "error":
	default:
		faults.Add(Malformed, "log_level", "use debug, info, warn or error", "%q is unknown", s.LogLevel)
	}
}
