package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	// maxFDs is max-fds of the settings; the platform holds the process to it.
	maxFDs = 4100
	// fillFor is how long users come before the core is killed.
	fillFor = 60 * time.Second
)

// users are the requests a second of new connections in the zones with two machines: the classes whose clients open new connections, on a
// day of high load.
var users = map[string]float64{"kol-ngd": 212 * 0.714, "dgp-rly": 220 * 0.714}

// playDescriptors: each request comes from a user of its own, whose connection stays open and idle after the answer, as long as the configuration
// allows; then all processes of the core are killed at the same moment. Without trouble the users close their connections.
func playDescriptors(f *fleet, hasTrouble bool) error {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Max < 3*maxFDs {
		return fmt.Errorf("this process may have %d descriptors (%v); the users need %d", own.Max, err, 3*maxFDs)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 13 {
		if _, err := f.addBackend("gatewin", zones[i%len(zones)], false, skewed(75*time.Millisecond)); err != nil {
			return err
		}
	}
	for i := range 12 {
		if _, err := f.addBackend("slotdesk", zones[i%len(zones)], false, skewed(75*time.Millisecond)); err != nil {
			return err
		}
	}
	k := class{name: "gate-window-read", host: "jepu9.example", prefix: "/gate/", method: "GET", deadline: 2 * time.Second}
	services := map[string]bool{"gatewin": false, "slotdesk": false}
	first := strings.Replace(string(config(services, []class{k}, map[string]string{k.name: "gatewin"})), `"idle-timeout-ms":15000`, `"idle-timeout-ms":60000`, 1)
	if err := f.start(2); err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := limitFDs(m.process.Process.Pid, maxFDs); err != nil {
			return err
		}
	}
	if err := f.put([]byte(first), 20*time.Second); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	crowd := &crowd{staysOpen: hasTrouble}
	for zone, perSecond := range users {
		c := newCaller(f, zone)
		go c.resolve(ctx, k.host)
		go crowd.come(ctx, c, k, perSecond)
	}
	time.Sleep(fillFor)
	f.noteFDs()
	f.note("all processes of the core are killed")
	for _, m := range f.machines {
		if m.hasDisk {
			m.process.Process.Kill()
			m.process.Wait()
		}
	}
	time.Sleep(700 * time.Millisecond)
	for _, m := range f.machines {
		if !m.hasDisk {
			continue
		}
		if err := f.startAgain(m); err != nil {
			return err
		}
		if err := limitFDs(m.process.Process.Pid, maxFDs); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	f.noteFDs()
	cancel()
	crowd.leave()
	f.note("the users have left")
	time.Sleep(5 * time.Second)
	second := strings.NewReplacer(`"generation":"00000001"`, `"generation":"00000002"`, `"base-version":"00000000"`, `"base-version":"00000001"`,
		`"service":"gatewin"`, `"service":"slotdesk"`).Replace(first)
	if err := f.put([]byte(second), 15*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	f.noteFDs()
	return f.checkInForce(k, "slotdesk")
}

// crowd are users with a connection each.
type crowd struct {
	staysOpen bool
	lock      sync.Mutex
	conns     []net.Conn
	answers   map[string]int
}

func (c *crowd) come(ctx context.Context, where *caller, k class, perSecond float64) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		go c.visit(where, k)
	}
}

// visit makes one request on a new connection. A user who gets no answer leaves.
func (c *crowd) visit(where *caller, k class) {
	where.lock.Lock()
	known := where.known
	where.lock.Unlock()
	if len(known) == 0 {
		return
	}
	address, id := known[rand.IntN(len(known))], where.fleet.random()
	where.fleet.note("sent %016x %s to %s", id, k.name, address)
	conn, answer := request(address, k, id)
	what := answer.what()
	where.fleet.note("answered %016x %s", id, what)
	where.fleet.lock.Lock()
	where.fleet.answers[k.name+" "+what]++
	where.fleet.lock.Unlock()
	if conn == nil {
		return
	}
	if answer == nil || !c.staysOpen {
		conn.Close()
		return
	}
	c.lock.Lock()
	c.conns = append(c.conns, conn)
	c.lock.Unlock()
}

func (c *crowd) leave() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// seen is an answer as a client sees it; nil is none.
type seen struct {
	status int
	body   string
}

func (s *seen) what() string {
	if s == nil {
		return "no answer"
	}
	return fmt.Sprint(s.status)
}

// request sends one request on a new connection and gives what came back; the connection is open still.
func request(address string, k class, id uint64) (net.Conn, *seen) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, nil
	}
	conn.SetDeadline(time.Now().Add(k.deadline))
	fmt.Fprintf(conn, "%s %s2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nDeadline-Remaining: %d\r\n\r\n", k.method, k.prefix, k.host, id, k.deadline.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1024), nil)
	if err != nil {
		return conn, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return conn, nil
	}
	return conn, &seen{response.StatusCode, string(body)}
}

// checkInForce sends requests to every machine for a while: they must be run by a service.
func (f *fleet) checkInForce(k class, service string) error {
	names := map[string]string{}
	for _, l := range f.list {
		names[l.backend.id] = l.backend.service
	}
	for range 8 {
		for _, m := range f.machines {
			conn, answer := request(m.at(frontPort), k, f.random())
			if conn != nil {
				conn.Close()
			}
			ran := ""
			if answer != nil && answer.status == http.StatusOK {
				ran = names[strings.Fields(answer.body)[0]]
			}
			f.note("%s answers %s, run by %q", m.name, answer.what(), ran)
			if ran != "" && ran != service {
				f.violation("CONFIG %s has a request run by %s, as only the older version allows, more than 4 s after the acknowledgement", m.name, ran)
			}
		}
		time.Sleep(time.Second)
	}
	return nil
}

// noteFDs notes how many descriptors each process has.
func (f *fleet) noteFDs() {
	var counts []string
	for _, m := range f.machines {
		if names, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(m.process.Process.Pid), "fd")); err == nil {
			counts = append(counts, fmt.Sprintf("%s %d", m.name, len(names)))
		}
	}
	f.note("descriptors: %s", strings.Join(counts, ", "))
}

// limitFDs bounds a process's descriptors, as the platform does.
func limitFDs(pid int, limit uint64) error {
	bound := syscall.Rlimit{Cur: limit, Max: limit}
	_, _, err := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&bound)), 0, 0, 0)
	if err != 0 {
		return err
	}
	return nil
}
