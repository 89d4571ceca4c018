package sim

import (
	"math/rand"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/idempotency"
	"topazshed/internal/proxy"
	"topazshed/internal/raft"
	"topazshed/internal/schema"
)

const (
	// proxySuffix and adminSuffix tell a machine's proxy and admin address from its peer address.
	proxySuffix = ":p"
	adminSuffix = ":d"
	// drainPoll is how often a stopping machine looks whether its last request has ended.
	drainPoll = 10 * time.Millisecond
)

// Node is one simulated machine. It outlives its processes: Boot counts them.
type Node struct {
	Name    string
	Zone    string
	Region  string
	HasDisk bool
	// Boot is the number of the present or last process; IsUp tells whether it runs.
	Boot int
	IsUp bool

	address     string
	clockRate   float64
	clockOffset time.Duration
	disk        *Disk
	// syncDelay is how long each sync of the disk takes.
	syncDelay time.Duration
	// frozenUntil is when the machine thaws.
	frozenUntil time.Duration
	// isUnresponsive tells of a machine that is down whether connections to it get no answer instead of a refusal.
	isUnresponsive bool

	// What follows is state of one process.
	id      string
	random  *rand.Rand
	machine *controlplane.Machine
	driver  *controlplane.Driver
	replica *idempotency.Replica
	loads   *proxy.Loads
	kept    *proxy.ResponseCache
	// failedChecks counts the failed health checks in a row by back end.
	failedChecks map[string]int
	// serial numbers calls and requests; pendingCalls are the calls without an answer, inFlight the proxy's requests.
	serial       uint64
	pendingCalls map[uint64]func(*schema.Frame)
	inFlight     map[uint64]*proxyRequest
	// isShut tells that a planned stop no longer takes connections.
	isShut bool
	// lastIndex and lastConfiguration are the newest that checkNode saw.
	lastIndex         raft.Index
	lastConfiguration uint64
}

// proxyAddress is where callers and other proxies send requests.
func (n *Node) proxyAddress() string { return n.address + proxySuffix }

// perform carries out the effects that the control machine asks for; a failing disk ends the process.
func (f *Fleet) perform(n *Node) {
	if err := n.driver.Perform(); err != nil {
		f.Counts["disk ended a process"]++
		f.Kill(n)
	}
}

// tick steps the control machine and the reservation replica once each constants.Tick.
func (f *Fleet) tick(n *Node, boot int) {
	f.onNode(n, boot, func() {
		n.machine.Tick(f.clock(n))
		f.perform(n)
		for _, task := range n.replica.DueCopies(f.clock(n)) {
			f.copyReservations(n, task.Member, task.Request)
		}
		f.after(constants.Tick, func() { f.tick(n, boot) })
	})
}

// copyReservations asks another replica for a page of its reservations.
func (f *Fleet) copyReservations(n *Node, member *schema.Member, request *schema.ReservationCopyRequest) {
	frame := &schema.Frame{Body: &schema.Frame_ReservationCopyRequest{ReservationCopyRequest: request}}
	f.call(n, member.Address, frame, func(response *schema.Frame) {
		if page := response.GetReservationCopyResponse(); page != nil {
			n.replica.TakeCopy(f.clock(n), member.Id, page)
		}
	})
}

// write runs disk work for the driver. With a slow disk the work counts as synced only after syncDelay.
func (f *Fleet) write(n *Node, boot int, work func() error, done func(error)) {
	disk := n.disk
	disk.isSyncDeferred = n.syncDelay > 0 || f.Options.Fault == FaultUnsynced
	err := work()
	disk.isSyncDeferred = false
	if n.syncDelay == 0 {
		done(err)
		return
	}
	f.after(n.syncDelay, func() {
		if n.IsUp && n.Boot == boot && err == nil {
			disk.Flush()
		}
		f.onNode(n, boot, func() {
			done(err)
			f.perform(n)
		})
	})
}

// Kill ends a machine at once; its disk keeps what was synced.
func (f *Fleet) Kill(n *Node) {
	n.IsUp = false
	n.isUnresponsive = f.random.Intn(2) == 0
	for _, request := range n.sortedRequests() {
		request.answer(nil, "lost")
	}
	n.disk.Crash(f.random)
}

// Wipe empties a dead machine's disk.
func (f *Fleet) Wipe(n *Node) { n.disk = NewDisk() }

// RepairDisk makes a dead machine's disk work again; it keeps what was synced.
func (f *Fleet) RepairDisk(n *Node) {
	n.disk.Fault, n.disk.Only, n.disk.writesLeft = nil, "", 0
	n.syncDelay = 0
}

// Freeze stops a machine for a while without its knowing.
func (f *Fleet) Freeze(n *Node, span time.Duration) { n.frozenUntil = f.Now + span }

// SlowDisk makes each sync of a machine take that long.
func (f *Fleet) SlowDisk(n *Node, syncDelay time.Duration) { n.syncDelay = syncDelay }

// Stop shuts a machine down gracefully: it announces its stop, serves on for constants.StopLinger, finishes what is in
// flight, then ends.
func (f *Fleet) Stop(n *Node) {
	begun, boot := f.Now, n.Boot
	f.onNode(n, boot, func() {
		n.machine.Stop(f.clock(n))
		f.perform(n)
	})
	linger := constants.StopLinger
	if f.Options.Fault == FaultStop {
		linger = 0
	}
	f.after(linger, func() {
		n.isShut = n.Boot == boot
		f.awaitDrained(n, boot, begun, f.Now+constants.MaxStop-constants.StopLinger)
	})
}

// awaitDrained ends a stopping machine once its last request has ended, or at a deadline.
func (f *Fleet) awaitDrained(n *Node, boot int, begun, deadline time.Duration) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if len(n.inFlight) > 0 && f.Now < deadline && f.Options.Fault != FaultStop {
		f.after(drainPoll, func() { f.awaitDrained(n, boot, begun, deadline) })
		return
	}
	f.Kill(n)
	n.isUnresponsive = false
	stop := checker.FleetEvent{At: begun, End: f.Now, What: checker.FleetStop, Node: n.Name, Proxy: n.proxyAddress()}
	f.History.Fleet = append(f.History.Fleet, stop)
}
