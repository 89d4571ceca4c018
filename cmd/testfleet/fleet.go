package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

type zonePlace struct{ zone, region string }

var zonePlaces = []zonePlace{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}, {"east-a", "east"}, {"east-b", "east"}}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

func delayBetween(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case regionOf(a) == regionOf(b):
		return time.Millisecond
	}
	switch regionOf(a) + regionOf(b) {
	case "northsouth", "southnorth":
		return 20 * time.Millisecond
	case "northeast", "eastnorth":
		return 27 * time.Millisecond
	}
	return 35 * time.Millisecond
}

// Machine is one machine of the fleet and its process.
type Machine struct {
	name    string
	place   zonePlace
	zone    int
	number  int
	hasDisk bool
	data    string
	command *exec.Cmd
	exited  chan error
	boot    int
	relays  []*Relay
	lock    sync.Mutex
	moves   int
}

func (m *Machine) listenAddress(port int) string {
	return fmt.Sprintf("127.10.%d.%d:%d", m.zone, m.number+m.moves*50, port)
}
func (m *Machine) publicAddress(port int) string {
	return fmt.Sprintf("127.20.%d.%d:%d", m.zone, m.number+m.moves*50, port)
}

// Fleet runs the processes.
type Fleet struct {
	program           string
	folder            string
	links             *Links
	history           *checker.History
	machines          []*Machine
	platformURL       string
	faultyDiskProgram string
	level             string
	routes            map[string]any
	spawner           sync.Once
	spawns            chan func()
}

// link names are machine names; callers and the rest use their zone.
func (f *Fleet) placeOf(ip string) string {
	parts := strings.Split(ip, ".")
	zone, _ := strconv.Atoi(parts[2])
	number, _ := strconv.Atoi(parts[3])
	if parts[1] == "10" {
		for _, m := range f.machines {
			if m.zone == zone && m.number == number%50 {
				return m.name
			}
		}
	}
	return "callers-" + zonePlaces[zone%len(zonePlaces)].zone
}

func zoneOfPlace(name string) string {
	if rest, isCaller := strings.CutPrefix(name, "callers-"); isCaller {
		return rest
	}
	return name[:strings.LastIndex(name, "-")]
}

func newFleet(program, folder, platform, level string, h *checker.History) (*Fleet, error) {
	f := &Fleet{program: program, folder: folder, platformURL: platform, level: level, history: h}
	f.links = newLinks(func(from, to string) time.Duration { return delayBetween(zoneOfPlace(from), zoneOfPlace(to)) })
	for zone, p := range zonePlaces {
		count := 3 - zone%2
		for number := 1; number <= count; number++ {
			m := &Machine{name: fmt.Sprintf("%s-%d", p.zone, number), place: p, zone: zone, number: number, hasDisk: number == 1}
			if m.hasDisk {
				m.data = filepath.Join(folder, m.name)
			}
			f.machines = append(f.machines, m)
		}
	}
	for _, m := range f.machines {
		if err := f.relay(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) relay(m *Machine) error {
	for _, port := range []int{7001, 7002, 7003} {
		r, err := newRelay(f.links, m.publicAddress(port), m.listenAddress(port), m.name, f.placeOf)
		if err != nil {
			return fmt.Errorf("relay for %s: %w", m.name, err)
		}
		m.relays = append(m.relays, r)
	}
	return nil
}

func (f *Fleet) diskFaultFile(m *Machine) string { return filepath.Join(f.folder, m.name+".disk") }

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, m := range f.machines {
		if m.hasDisk && strings.HasSuffix(m.place.zone, "-a") {
			seeds = append(seeds, m.publicAddress(7001))
		}
	}
	return seeds
}

func (f *Fleet) find(name string) *Machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

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

func (f *Fleet) close() {
	for _, m := range f.machines {
		f.signal(m, syscall.SIGCONT)
		f.signal(m, syscall.SIGKILL)
	}
	for _, m := range f.machines {
		f.await(m, 5*time.Second)
		for _, r := range m.relays {
			r.close()
		}
	}
}

func (f *Fleet) adminCall(m *Machine, method, path string, query url.Values, body []byte) (int, http.Header, []byte, error) {
	address := url.URL{Scheme: "http", Host: m.publicAddress(7003), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, address.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	client := http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, text, err
}
