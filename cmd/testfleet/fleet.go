package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"topazshed/internal/checker"
)

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
