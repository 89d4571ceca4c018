package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

// processSettings is the settings file of a process (docs/operators.md).
type processSettings struct {
	Peer       string         `json:"peer"`
	PeerShown  string         `json:"peer_shown"`
	Proxy      string         `json:"proxy"`
	ProxyShown string         `json:"proxy_shown"`
	Admin      string         `json:"admin"`
	AdminShown string         `json:"admin_shown"`
	Zone       string         `json:"zone"`
	Region     string         `json:"region"`
	Seeds      []string       `json:"seeds"`
	LogLevel   string         `json:"log_level"`
	Data       string         `json:"data,omitempty"`
	Platform   string         `json:"platform,omitempty"`
	Routes     *routeSettings `json:"routes,omitempty"`
}

// routeSettings are the settings of a fleet that carries routes.
type routeSettings struct {
	ListLagMs   int `json:"list_lag_ms"`
	RetrySlack  int `json:"retry_slack"`
	ColdMargin  int `json:"cold_margin"`
	StopGraceMs int `json:"stop_grace_ms"`
}

// settings gives the settings of a machine's process.
func (f *Fleet) settings(m *Machine) processSettings {
	s := processSettings{
		Peer:       m.listenAddress(peerPort),
		PeerShown:  m.publicAddress(peerPort),
		Proxy:      m.listenAddress(proxyPort),
		ProxyShown: m.publicAddress(proxyPort),
		Admin:      m.listenAddress(adminPort),
		AdminShown: m.publicAddress(adminPort),
		Zone:       m.place.zone,
		Region:     m.place.region,
		Seeds:      f.seeds(),
		LogLevel:   f.logLevel,
		Routes:     f.routes,
	}
	if m.hasDisk {
		s.Data, s.Platform = m.data, f.platformURL
	}
	return s
}

// start starts a machine's process; its log goes to a file in the fleet's folder.
func (f *Fleet) start(m *Machine) error {
	text, err := json.Marshal(f.settings(m))
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, m.name+".json")
	if err := os.WriteFile(file, text, reportMode); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, reportMode)
	if err != nil {
		return err
	}
	command := exec.Command(f.program, "serve", "-settings", file)
	if m.hasDisk && f.faultyDiskProgram != "" {
		command = exec.Command(f.faultyDiskProgram, "machine", "-settings", file, "-faults", f.diskFaultFile(m))
	}
	command.Stderr, command.Stdout = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.spawner.start(command); err != nil {
		return errors.Join(err, log.Close())
	}
	m.lock.Lock()
	defer m.lock.Unlock()
	m.command = command
	m.boot++
	exited := make(chan error, 1)
	m.exited = exited
	go func() {
		exited <- command.Wait()
		log.Close()
	}()
	return nil
}

// signal sends a signal to a machine's process, if it was ever started.
func (f *Fleet) signal(m *Machine, signal syscall.Signal) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.command == nil {
		return nil
	}
	return m.command.Process.Signal(signal)
}

// await gives how a machine's process ended; it is an error if it doesn't within a limit.
func (f *Fleet) await(m *Machine, limit time.Duration) error {
	m.lock.Lock()
	exited := m.exited
	m.lock.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case err := <-exited:
		exited <- err
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %v", m.name, limit)
	}
}

// kill ends a machine's process at once.
func (f *Fleet) kill(m *Machine) {
	f.signal(m, syscall.SIGKILL)
	f.await(m, killTimeout)
	f.record(checker.FleetEvent{At: f.history.Now(), What: checker.FleetKill, Node: m.name, Proxy: m.publicAddress(proxyPort)})
}

// stop ends a machine's process as planned and waits for its end.
func (f *Fleet) stop(m *Machine) error {
	begun := f.history.Now()
	if err := f.signal(m, syscall.SIGTERM); err != nil {
		return err
	}
	err := f.await(m, stopTimeout)
	f.record(checker.FleetEvent{
		At:    begun,
		End:   f.history.Now(),
		What:  checker.FleetStop,
		Node:  m.name,
		Proxy: m.publicAddress(proxyPort),
	})
	return err
}

func (f *Fleet) record(event checker.FleetEvent) {
	checker.Record(f.history, &f.history.Fleet, event)
}
