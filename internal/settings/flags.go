package settings

import (
	"flag"
	"strings"
)

// commandLine is what flags say.
type commandLine struct {
	file     string
	seeds    string
	isRouted bool
	given    Settings
	old      oldNames
}

// Flags binds the settings to command-line flags. The returned function reads the file that the flags name, lets flags
// override it and checks the whole; its error is a *FaultsError. It may be called again to read a changed file.
func Flags(flags *flag.FlagSet) func() (*Settings, error) {
	line := &commandLine{}
	flags.StringVar(&line.file, "settings", "", "settings file (JSON); flags override it")
	flags.StringVar(&line.seeds, "seeds", "", "three peer addresses, comma separated")
	flags.StringVar(&line.given.Peer, "peer", "", "IP:port for other processes")
	flags.StringVar(&line.given.PeerShown, "peer-shown", "", "IP:port at which others reach the peer address (default: peer)")
	flags.StringVar(&line.given.Proxy, "proxy", "", "IP:port for callers' requests")
	flags.StringVar(&line.given.ProxyShown, "proxy-shown", "", "IP:port at which others reach the proxy address (default: proxy)")
	flags.StringVar(&line.given.Admin, "admin", "", "IP:port for directory and operators")
	flags.StringVar(&line.given.AdminShown, "admin-shown", "", "IP:port at which others reach the admin address (default: admin)")
	flags.StringVar(&line.given.Zone, "zone", "", "zone of this machine")
	flags.StringVar(&line.given.Region, "region", "", "region of the zone")
	flags.StringVar(&line.given.Data, "data", "", "data folder; only on machines with a disk")
	flags.StringVar(&line.given.Platform, "platform", "", "http URL of the platform's list of back ends")
	flags.StringVar(&line.given.LogLevel, "log-level", "", "debug, info, warn or error (default info)")
	flags.BoolVar(&line.isRouted, "routes", false, "carry routes, with the default bounds if the file gives none")
	flags.StringVar(&line.old.Admin, "door", "", "old spelling of -admin, accepted for one version")
	flags.StringVar(&line.old.AdminShown, "door-shown", "", "old spelling of -admin-shown, accepted for one version")
	flags.StringVar(&line.old.Zone, "district", "", "old spelling of -zone, accepted for one version")
	return line.read
}

func (l *commandLine) read() (*Settings, error) {
	faults := &FaultList{}
	settings := &Settings{}
	if l.file != "" {
		if settings = readFile(l.file, faults); settings == nil {
			return nil, faults.Err()
		}
	}
	given := l.given
	l.old.settle(&given, faults)
	settings.override(&given)
	if l.isRouted && settings.Routes == nil {
		settings.Routes = DefaultRoutes()
	}
	if l.seeds != "" {
		settings.Seeds = strings.Split(l.seeds, ",")
	}
	settings.check(faults)
	return settings, faults.Err()
}

// override takes the texts that are given, and keeps its own where they are not.
func (s *Settings) override(given *Settings) {
	for _, setting := range []struct {
		from string
		to   *string
	}{
		{given.Peer, &s.Peer},
		{given.PeerShown, &s.PeerShown},
		{given.Proxy, &s.Proxy},
		{given.ProxyShown, &s.ProxyShown},
		{given.Admin, &s.Admin},
		{given.AdminShown, &s.AdminShown},
		{given.Zone, &s.Zone},
		{given.Region, &s.Region},
		{given.Data, &s.Data},
		{given.Platform, &s.Platform},
		{given.LogLevel, &s.LogLevel},
	} {
		if setting.from != "" {
			*setting.to = setting.from
		}
	}
}
