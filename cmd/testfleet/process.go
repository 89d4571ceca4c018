package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

func (f *Fleet) start(m *Machine) error {
	settings := map[string]any{"peer": m.listenAddress(7001), "peer_shown": m.publicAddress(7001), "proxy": m.listenAddress(7002), "proxy_shown": m.publicAddress(7002), "door": m.listenAddress(7003), "door_shown": m.publicAddress(7003),
		"district": m.place.zone, "region": m.place.region, "seeds": f.seeds(), "log_level": f.level}
	if m.hasDisk {
		settings["data"] = m.data
		settings["platform"] = f.platformURL
	}
	if f.routes != nil {
		settings["routes"] = f.routes
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, m.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(f.program, "serve", "-settings", file)
	if m.hasDisk && f.faultyDiskProgram != "" {
		command = exec.Command(f.faultyDiskProgram, "machine", "-settings", file, "-faults", f.diskFaultFile(m))
	}
	command.Stderr, command.Stdout = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.spawn(command); err != nil {
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

func (f *Fleet) spawn(command *exec.Cmd) error {
	f.spawner.Do(func() {
		f.spawns = make(chan func())
		go func() {
			runtime.LockOSThread()
			for spawn := range f.spawns {
				spawn()
			}
		}()
	})
	result := make(chan error)
	f.spawns <- func() { result <- command.Start() }
	return <-result
}

func (f *Fleet) signal(m *Machine, s syscall.Signal) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.command == nil {
		return nil
	}
	return m.command.Process.Signal(s)
}

func (f *Fleet) kill(m *Machine) {
	f.signal(m, syscall.SIGKILL)
	f.await(m, 5*time.Second)
	checker.Record(f.history, &f.history.Fleet, checker.FleetEvent{At: f.history.Now(), What: "kill", Node: m.name, Proxy: m.publicAddress(7002)})
}

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

func (f *Fleet) stop(m *Machine) error {
	at := f.history.Now()
	if err := f.signal(m, syscall.SIGTERM); err != nil {
		return err
	}
	err := f.await(m, 30*time.Second)
	checker.Record(f.history, &f.history.Fleet, checker.FleetEvent{At: at, End: f.history.Now(), What: "stop", Node: m.name, Proxy: m.publicAddress(7002)})
	return err
}
