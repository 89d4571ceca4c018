package main

import (
	"bytes"
	"errors"
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

// The ports of a machine.
const (
	peerPort  = 7001
	proxyPort = 7002
	adminPort = 7003
)

const (
	// adminTimeout bounds a call to a machine's admin address.
	adminTimeout = 8 * time.Second
	// killTimeout and stopTimeout bound how long a process may take to end when killed, and when stopped as planned.
	killTimeout = 5 * time.Second
	stopTimeout = 30 * time.Second
)

// Machine is one machine of the fleet and its process.
type Machine struct {
	name    string
	place   zonePlace
	zone    int
	number  int
	hasDisk bool
	data    string
	relays  []*Relay
	// moves counts how often the machine got new addresses.
	moves int

	// lock guards what follows; boot counts the processes, exited gets the present one's end.
	lock    sync.Mutex
	command *exec.Cmd
	exited  chan error
	boot    int
}

// listenAddress is where the process listens on a port.
func (m *Machine) listenAddress(port int) string { return m.address(machineNet, port) }

// publicAddress is where others reach that port, through a relay.
func (m *Machine) publicAddress(port int) string { return m.address(publicNet, port) }

func (m *Machine) address(net, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", net, m.zone, m.number+m.moves*movedBy, port)
}

// bootCount gives how many processes the machine had.
func (m *Machine) bootCount() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.boot
}

// fleetOptions shape a fleet of processes.
type fleetOptions struct {
	// program is the program to run, folder where data, settings and logs lie.
	program, folder string
	// platformURL is the platform's list.
	platformURL string
	logLevel    string
	history     *checker.History
	// routes are the route settings of a fleet that carries routes; nil for one that serves entries.
	routes *routeSettings
	// more is how many machines without a disk each zone has beyond the usual ones.
	more int
}

// Fleet runs the processes of 15 machines, or more, in six zones, each behind relays.
type Fleet struct {
	fleetOptions
	links    *Links
	machines []*Machine
	// faultyDiskProgram, where it is set, runs the machines with a disk: this program's machine command.
	faultyDiskProgram string
	spawner           spawner
}

// newFleet makes the machines and their relays and starts no process.
func newFleet(options fleetOptions) (*Fleet, error) {
	f := &Fleet{fleetOptions: options}
	f.links = newLinks(func(from, to string) time.Duration { return delayBetween(zoneOfLink(from), zoneOfLink(to)) })
	for zone, place := range zonePlaces {
		count := 3 - zone%2 + options.more
		for number := 1; number <= count; number++ {
			f.addMachine(place, zone, number)
		}
	}
	for _, m := range f.machines {
		if err := f.addRelays(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addMachine makes one machine; the first of each zone has a disk.
func (f *Fleet) addMachine(place zonePlace, zone, number int) {
	m := &Machine{
		name:    fmt.Sprintf("%s-%d", place.zone, number),
		place:   place,
		zone:    zone,
		number:  number,
		hasDisk: number == 1,
	}
	if m.hasDisk {
		m.data = filepath.Join(f.folder, m.name)
	}
	f.machines = append(f.machines, m)
}

// addRelays puts a relay in front of each port of a machine's present address.
func (f *Fleet) addRelays(m *Machine) error {
	for _, port := range []int{peerPort, proxyPort, adminPort} {
		relay, err := newRelay(relayOptions{
			links:    f.links,
			listen:   m.publicAddress(port),
			target:   m.listenAddress(port),
			name:     m.name,
			linkName: f.linkName,
		})
		if err != nil {
			return fmt.Errorf("relay for %s: %w", m.name, err)
		}
		m.relays = append(m.relays, relay)
	}
	return nil
}

// diskFaultFile is the file that holds a machine's present disk fault.
func (f *Fleet) diskFaultFile(m *Machine) string { return filepath.Join(f.folder, m.name+".disk") }

// seeds gives the seed addresses: a machine with a disk of each region.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, m := range f.machines {
		if m.hasDisk && strings.HasSuffix(m.place.zone, "-a") {
			seeds = append(seeds, m.publicAddress(peerPort))
		}
	}
	return seeds
}

// find gives the machine of a name, or nil.
func (f *Fleet) find(name string) *Machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// printAddresses prints each machine's admin and proxy address.
func (f *Fleet) printAddresses() {
	for _, m := range f.machines {
		fmt.Printf("  %s admin %s proxy %s\n", m.name, m.publicAddress(adminPort), m.publicAddress(proxyPort))
	}
}

// adminAnswer is the answer of a machine's admin address.
type adminAnswer struct {
	status int
	header http.Header
	body   []byte
}

// adminCall calls a machine's admin address.
func (f *Fleet) adminCall(m *Machine, method, path string, query url.Values, body []byte) (adminAnswer, error) {
	address := url.URL{Scheme: "http", Host: m.publicAddress(adminPort), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, address.String(), bytes.NewReader(body))
	if err != nil {
		return adminAnswer{}, err
	}
	client := http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return adminAnswer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return adminAnswer{status: response.StatusCode, header: response.Header, body: text}, err
}

// startAll starts every machine's process.
func (f *Fleet) startAll() error {
	var errs []error
	for _, m := range f.machines {
		errs = append(errs, f.start(m))
	}
	return errors.Join(errs...)
}

// close kills every process, also frozen ones, and ends the relays.
func (f *Fleet) close() {
	for _, m := range f.machines {
		f.signal(m, syscall.SIGCONT)
		f.signal(m, syscall.SIGKILL)
	}
	for _, m := range f.machines {
		f.await(m, killTimeout)
		for _, relay := range m.relays {
			relay.close()
		}
	}
}
