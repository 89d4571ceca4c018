package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"topazshed/internal/endless"
)

// The services of the floods: soundService has only sound back ends, floodService only faulty ones, mixedService and leaseService both.
// leaseService is divided by key, so that its back ends are called about leases.
const (
	soundService = "sound"
	mixedService = "mixed"
	floodService = "flooded"
	leaseService = "leased"
)

const (
	// floodHost is the host of all routes.
	floodHost = "floods.example"
	// floodWait is how long callers say that they wait, and the time-out of the routes.
	floodWait = 3 * time.Second
	// floodRate (bytes a second) is what a faulty back end sends on one connection: a quarter of a machine's link.
	floodRate = 32 << 20
	// soundWork is how long a sound back end works on a request.
	soundWork = 5 * time.Millisecond
	// soundBody (bytes) is the size of a sound answer.
	soundBody = 1 << 10
	// floodBackendPort is the port of all back ends.
	floodBackendPort = 8100
	// The kinds of routes of the platform that the floods have.
	repeatableRoute = "idempotent"
	onceRoute       = "effectful"
)

// floodRoute and floodServiceEntry fill the configuration of the floods.
type floodRoute struct{ Service, Kind, Prefix string }

type floodServiceEntry struct {
	Name      string
	IsSharded bool
}

type floodConfiguration struct {
	Host     string
	Wait     time.Duration
	Routes   []floodRoute
	Services []floodServiceEntry
}

func newFloodConfiguration() floodConfiguration {
	c := floodConfiguration{Host: floodHost, Wait: floodWait}
	for _, service := range []string{soundService, mixedService, floodService, leaseService} {
		c.Services = append(c.Services, floodServiceEntry{Name: service, IsSharded: service == leaseService})
		for _, kind := range []string{repeatableRoute, onceRoute} {
			c.Routes = append(c.Routes, floodRoute{Service: service, Kind: kind, Prefix: floodPrefix(service, kind)})
		}
	}
	return c
}

func floodPrefix(service, kind string) string { return "/" + service + "/" + kind + "/" }

// floodBackend is one stand-in back end. A faulty one answers each request, of callers and about leases, by sending without end.
type floodBackend struct {
	all      *floodBackends
	listener net.Listener
	isFaulty bool
}

// floodBackends are the back ends of one run.
type floodBackends struct {
	names    headerNames
	kinds    []endless.Kind
	backends []*floodBackend
	tasks    sync.WaitGroup

	// lock guards what follows.
	lock     sync.Mutex
	random   *rand.Rand
	conns    map[net.Conn]bool
	floods   int
	sent     int64
	isClosed bool
}

// startFloodBackends starts a back end of each service in each zone, and puts them on the fleet's list.
func startFloodBackends(f *platformFleet, seed int64, kinds []endless.Kind) (*floodBackends, error) {
	all := &floodBackends{names: readHeaderNames(), kinds: kinds, random: rand.New(rand.NewSource(seed)), conns: map[net.Conn]bool{}}
	for _, service := range []string{soundService, mixedService, floodService, leaseService} {
		for i, place := range zonePlaces {
			number := len(all.backends) + 1
			address := fmt.Sprintf("127.%d.100.%d:%d", f.net, number, floodBackendPort)
			isFaulty := service == floodService || service != soundService && i%2 == 0
			if err := all.add(address, isFaulty); err != nil {
				all.close()
				return nil, err
			}
			f.backends = append(f.backends, listedBackend{Service: service, Instance: fmt.Sprintf("i-%d", number), Address: address, Zone: place.zone})
		}
	}
	return all, nil
}

func (a *floodBackends) add(address string, isFaulty bool) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	backend := &floodBackend{all: a, listener: listener, isFaulty: isFaulty}
	a.backends = append(a.backends, backend)
	a.tasks.Go(backend.accept)
	return nil
}

func (a *floodBackends) String() string {
	a.lock.Lock()
	defer a.lock.Unlock()
	return fmt.Sprintf("%d back ends, %d floods of %d MB in all", len(a.backends), a.floods, a.sent>>20)
}

// close ends all back ends and their connections.
func (a *floodBackends) close() {
	a.lock.Lock()
	a.isClosed = true
	for conn := range a.conns {
		conn.Close()
	}
	a.lock.Unlock()
	for _, backend := range a.backends {
		backend.listener.Close()
	}
	a.tasks.Wait()
}

// keep notes a connection, and tells whether it may be used.
func (a *floodBackends) keep(conn net.Conn) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if !a.isClosed {
		a.conns[conn] = true
	}
	return !a.isClosed
}

func (a *floodBackends) drop(conn net.Conn) {
	conn.Close()
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.conns, conn)
}

func (a *floodBackends) draw() endless.Kind {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.floods++
	return a.kinds[a.random.Intn(len(a.kinds))]
}

func (a *floodBackends) count(sent int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.sent += int64(sent)
}

func (b *floodBackend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.all.keep(conn) {
			conn.Close()
			return
		}
		b.all.tasks.Go(func() {
			defer b.all.drop(conn)
			b.serve(conn)
		})
	}
}

// serve answers the requests of one connection.
func (b *floodBackend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		names := b.all.names
		head := endless.Head{
			Echo: []string{names.Attempt + ": " + request.Header.Get(names.Attempt)},
			Seal: []string{names.Seal + ": sealed"},
		}
		if b.isFaulty {
			b.flood(conn, head)
			return
		}
		time.Sleep(soundWork)
		length := fmt.Sprintf("Content-Length: %d", soundBody)
		if _, err := io.WriteString(conn, head.Text(http.StatusOK, true, length)+strings.Repeat("s", soundBody)); err != nil {
			return
		}
	}
}

// flood sends bytes of one kind at floodRate until the other end closes the connection.
func (b *floodBackend) flood(conn net.Conn, head endless.Head) {
	stream := b.all.draw().NewStream(head)
	begun := time.Now()
	for total := 0; ; {
		block := stream.Next()
		if block == nil {
			io.Copy(io.Discard, conn)
			return
		}
		sent, err := conn.Write(block)
		total += sent
		b.all.count(sent)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(float64(total)/floodRate*float64(time.Second)) - time.Since(begun))
	}
}
