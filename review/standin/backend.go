package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keys  = 1 << 16
	slots = 6
	queue = 24
)

// backend is a stand-in server. It follows PROTOCOL.md, "Backends" and "Keys that backends hold".
type backend struct {
	fleet   *fleet
	service string
	id      string
	address string
	zone    string
	sharded bool
	work    func() time.Duration

	listener net.Listener

	lock sync.Mutex
	cond *sync.Cond
	// working counts the requests in work, waiting those in the queue.
	working, waiting int
	// runningOn counts the requests in work by key.
	runningOn map[uint32]int
	// seen is the highest fence by key, holds until when new work may start, granted until when the last grant would last.
	seen    []uint64
	holds   []time.Time
	granted []time.Time

	// coldUntil is the end of the present cold time, arrivals are those of the last second.
	coldUntil time.Time
	coldFrom  time.Time
	arrivals  []arrival
	downUntil time.Time
	conns     map[net.Conn]bool

	// spoil tells whether a second copy of this answer is sent late; nil is never.
	spoil func(path string) bool
	// answers counts the answers since the beginning of the trouble, spoilt those with a second copy.
	answers, spoilt int
}

type arrival struct {
	sent, at time.Time
	id       string
}

func newBackend(f *fleet, service, id, address, zone string, sharded bool, work func() time.Duration) (*backend, error) {
	b := &backend{fleet: f, service: service, id: id, address: address, zone: zone, sharded: sharded, work: work,
		runningOn: map[uint32]int{}, conns: map[net.Conn]bool{}}
	b.cond = sync.NewCond(&b.lock)
	if sharded {
		b.seen, b.holds, b.granted = make([]uint64, keys), make([]time.Time, keys), make([]time.Time, keys)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b.listener = listener
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// reply is one answer.
type reply struct {
	status int
	header map[string]string
	body   string
}

func notRun(status int) reply {
	return reply{status: status, header: map[string]string{"Not-Executed": "1"}}
}

func (r reply) text(attempt string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.status, http.StatusText(r.status), len(r.body))
	if attempt != "" {
		fmt.Fprintf(&text, "Attempt-Id: %s\r\n", attempt)
	}
	for name, value := range r.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	return text.String() + "\r\n" + r.body
}

// serve answers the requests of one connection, one at a time. A surplus answer, if there is one, is sent in the place where the next
// answer is due: when the next request has come.
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	b.lock.Lock()
	if time.Now().Before(b.downUntil) {
		b.lock.Unlock()
		return
	}
	b.conns[conn] = true
	b.lock.Unlock()
	defer func() { b.lock.Lock(); delete(b.conns, conn); b.lock.Unlock() }()
	reader := bufio.NewReader(conn)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if surplus != "" {
			b.fleet.note("surplus %s before the answer to %s %s %s", b.id, request.Method, request.URL.Path, strings.TrimSpace(string(body)))
			if _, err := io.WriteString(conn, surplus); err != nil {
				return
			}
			surplus = ""
		}
		answer := b.answer(request, body)
		text := answer.text(request.Header.Get("Attempt-Id"))
		b.lock.Lock()
		b.answers++
		if b.spoil != nil && answer.status == http.StatusOK && b.spoil(request.URL.Path) {
			surplus = text
			b.spoilt++
		}
		b.lock.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func (b *backend) answer(request *http.Request, body []byte) reply {
	if target := request.Header.Get("Target-Instance"); target != "" && target != b.id {
		return notRun(http.StatusMisdirectedRequest)
	}
	switch request.URL.Path {
	case "/health":
		header := map[string]string{"Instance-Id": b.id}
		b.lock.Lock()
		if left := time.Until(b.coldUntil); left > 0 {
			header["Cold-Remaining"] = strconv.Itoa(int(left.Milliseconds()))
		}
		b.lock.Unlock()
		return reply{status: http.StatusOK, header: header}
	case "/grant", "/release":
		return b.lease(request.URL.Path, body)
	}
	return b.run(request)
}

type leaseBody struct {
	First    uint32 `json:"source"`
	Last     uint32 `json:"target-version"`
	Fence    uint64 `json:"fence-token"`
	HoldMS   int64  `json:"hold-ms"`
	Handover string `json:"handover"`
}

func (b *backend) lease(path string, body []byte) reply {
	var call leaseBody
	if err := json.Unmarshal(body, &call); err != nil || call.First > call.Last || call.Last >= keys || !b.sharded {
		return notRun(http.StatusBadRequest)
	}
	if path == "/grant" {
		return b.grant(call)
	}
	return b.release(call)
}

func (b *backend) grant(call leaseBody) reply {
	now := time.Now()
	until := now.Add(time.Duration(call.HoldMS) * time.Millisecond)
	b.lock.Lock()
	for key := call.First; key <= call.Last; key++ {
		if b.seen[key] > call.Fence {
			b.lock.Unlock()
			b.fleet.note("grant %s keys %d-%d fence %d refused", b.id, call.First, call.Last, call.Fence)
			return reply{status: http.StatusConflict}
		}
	}
	isNew := b.holds[call.First].Before(now)
	for key := call.First; key <= call.Last; key++ {
		b.seen[key], b.holds[key], b.granted[key] = call.Fence, until, until
	}
	b.lock.Unlock()
	if isNew {
		b.fleet.note("grant %s keys %d-%d fence %d hold %d ms", b.id, call.First, call.Last, call.Fence, call.HoldMS)
	}
	b.fleet.checkOwner(b, call, now)
	return reply{status: http.StatusOK}
}

// release stops new work at once and answers when the running work has ended.
func (b *backend) release(call leaseBody) reply {
	begun := time.Now()
	b.lock.Lock()
	for key := call.First; key <= call.Last; key++ {
		b.seen[key] = max(b.seen[key], call.Fence)
		b.holds[key] = time.Time{}
	}
	atWork := b.countRunning(call)
	b.fleet.note("release %s keys %d-%d fence %d came, %d in work", b.id, call.First, call.Last, call.Fence, atWork)
	for b.countRunning(call) > 0 {
		b.cond.Wait()
	}
	b.lock.Unlock()
	b.fleet.note("release %s keys %d-%d fence %d done after %d ms", b.id, call.First, call.Last, call.Fence, time.Since(begun).Milliseconds())
	return reply{status: http.StatusOK, header: map[string]string{"Handover": fmt.Sprintf("%016x", b.fleet.random())}}
}

func (b *backend) countRunning(call leaseBody) int {
	count := 0
	for key, n := range b.runningOn {
		if key >= call.First && key <= call.Last {
			count += n
		}
	}
	return count
}

func (b *backend) run(request *http.Request) reply {
	attempt := request.Header.Get("Attempt-Id")
	if attempt == "" {
		return notRun(http.StatusBadRequest)
	}
	wait, err := strconv.Atoi(request.Header.Get("Deadline-Remaining"))
	if err != nil {
		wait = 60000
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	key, err := strconv.ParseUint(request.Header.Get("Shard-Key"), 10, 16)
	if b.sharded && err != nil {
		return notRun(http.StatusMisdirectedRequest)
	}
	b.lock.Lock()
	if b.sharded && !time.Now().Before(b.holds[key]) {
		b.lock.Unlock()
		return notRun(http.StatusMisdirectedRequest)
	}
	if b.noteArrival(attempt) {
		b.lock.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	if b.waiting >= queue {
		b.lock.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	b.waiting++
	for b.working >= slots {
		b.cond.Wait()
	}
	b.waiting--
	if !time.Now().Before(deadline) {
		b.lock.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	if b.sharded && !time.Now().Before(b.holds[key]) {
		b.cond.Broadcast()
		b.lock.Unlock()
		return notRun(http.StatusMisdirectedRequest)
	}
	b.working++
	if b.sharded {
		b.runningOn[uint32(key)]++
	}
	work := b.work()
	b.lock.Unlock()
	b.fleet.note("run %s by %s %s", attempt, b.id, request.Header.Get("Shard-Key"))
	time.Sleep(min(work, time.Until(deadline)))
	b.lock.Lock()
	b.working--
	if b.sharded {
		if b.runningOn[uint32(key)]--; b.runningOn[uint32(key)] == 0 {
			delete(b.runningOn, uint32(key))
		}
	}
	isHeld := !b.sharded || time.Now().Before(b.granted[key])
	b.cond.Broadcast()
	b.lock.Unlock()
	if !isHeld {
		return reply{status: http.StatusInternalServerError}
	}
	if !time.Now().Before(deadline) {
		return reply{status: http.StatusGatewayTimeout}
	}
	return reply{status: http.StatusOK, header: map[string]string{"Server-Seal": b.id + "." + attempt}, body: b.id + " " + request.URL.Path + " " + attempt}
}
