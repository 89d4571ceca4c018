package sim

import (
	"errors"
	"fmt"
	"math/rand"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/idempotency"
	"topazshed/internal/journal"
	"topazshed/internal/protocolversion"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

// Node is one simulated machine.
type Node struct {
	Name              string
	Zone              string
	Region            string
	HasDisk           bool
	Boot              int
	IsUp              bool
	address           string
	id                string
	disk              *Disk
	machine           *controlplane.Machine
	driver            *controlplane.Driver
	replica           *idempotency.Replica
	loads             *proxy.Loads
	kept              *proxy.Kept
	clockRate         float64
	clockOffset       time.Duration
	frozenUntil       time.Duration
	failedChecks      map[string]int
	pendingCalls      map[uint64]func(*schema.Frame)
	inFlight          map[uint64]*proxyRequest
	isShut            bool
	isUnresponsive    bool
	serial            uint64
	lastIndex         uint64
	lastConfiguration uint64
	syncDelay         time.Duration
	random            *rand.Rand
}

// Start boots a machine from its disk.
func (f *Fleet) Start(n *Node) {
	if n.IsUp {
		return
	}
	n.Boot++
	n.IsUp = true
	n.lastIndex, n.lastConfiguration = 0, 0
	n.isShut, n.inFlight = false, map[uint64]*proxyRequest{}
	n.random = rand.New(rand.NewSource(f.random.Int63()))
	n.id = fmt.Sprintf("%012x", f.random.Int63()&0xffffffffffff)
	self := &schema.Node{Id: n.id, Address: n.address, Proxy: n.address + ":p", Admin: n.address + ":d", Zone: n.Zone, Region: n.Region, Disk: n.HasDisk,
		Incarnation: uint64(f.Now.Milliseconds()) + 1, State: schema.NodeState_NODE_READY}
	options := controlplane.Options{Self: self, Seeds: f.seeds(), Draw: n.random.Int63n, Log: f.log.With("node", n.Name)}
	var j *journal.Journal
	if n.HasDisk {
		sizes := journal.Options{Files: 4, FileBytes: 128 << 10, SnapshotBytes: 512 << 10}
		opened, state, err := journal.Open(n.disk, sizes)
		var newer *protocolversion.DiskError
		if errors.As(err, &newer) {
			f.Counts["disk of a newer version"]++
			n.IsUp = false
			return
		}
		if err != nil {
			f.Counts["identity given up"]++
			n.disk = NewDisk()
			if opened, state, err = journal.Open(n.disk, sizes); err != nil {
				f.addViolation("%s can't open an empty disk: %v", n.Name, err)
				return
			}
		}
		j = opened
		options.Hard, options.Snapshot, options.Items = state.Hard, state.Snapshot, state.Items
		options.System, options.Restart = state.Hard.System, state.Hard.Id != ""
		if options.Restart {
			n.id = state.Hard.Id
			self.Id = n.id
		}
	}
	n.replica = idempotency.NewReplica(n.id, options.Restart)
	n.loads = proxy.NewLoads(func() time.Duration { return f.clock(n) })
	n.kept = proxy.NewKept()
	n.failedChecks = map[string]int{}
	n.pendingCalls = map[uint64]func(*schema.Frame){}
	n.machine = controlplane.New(f.clock(n), options)
	boot := n.Boot
	n.driver = &controlplane.Driver{Core: n.machine, Journal: j, Now: func() time.Duration { return f.clock(n) },
		Send:   func(to string, frame *schema.Frame) { f.transmit(n, to, frame) },
		Answer: func(o controlplane.LocalResponse) { f.answer(n, o) },
		Synced: func(took time.Duration, err error) {
			if took > constants.SlowSync {
				n.machine.SlowDisk(f.clock(n))
			}
		},
		Write: func(work func() error, done func(error)) { f.write(n, boot, work, done) },
		Publish: func() {
			if set := n.machine.Local().View.ReplicaSets[n.Region]; set != nil {
				n.replica.Adopt(f.clock(n), set)
			}
			number, isMember, isReady, _ := n.replica.State()
			n.machine.SetReservationReplica(number, isMember && isReady)
			if f.Options.Fault != "keys" {
				n.machine.SetOldestIndex(n.loads.Floor())
			}
		}}
	f.tick(n, boot)
	f.healthReports(n, boot)
	if n.HasDisk {
		f.readList(n, boot)
	}
}

func (f *Fleet) seeds() []string {
	var seeds []string
	for _, n := range f.Nodes {
		if n.HasDisk && len(seeds) < 3 && (len(seeds) == 0 || f.Node(seeds[len(seeds)-1]).Region != n.Region || f.Options.Regions < 3) {
			seeds = append(seeds, n.address)
		}
	}
	return seeds
}

func (f *Fleet) write(n *Node, boot int, work func() error, done func(error)) {
	disk := n.disk
	disk.isSyncDeferred = n.syncDelay > 0 || f.Options.Fault == "unsynced"
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
		f.on(n, boot, func() {
			done(err)
			f.perform(n)
		})
	})
}

func (f *Fleet) perform(n *Node) {
	if err := n.driver.Perform(); err != nil {
		f.Counts["disk ended a process"]++
		f.Kill(n)
	}
}

func (f *Fleet) tick(n *Node, boot int) {
	f.on(n, boot, func() {
		n.machine.Tick(f.clock(n))
		f.perform(n)
		for _, asking := range n.replica.Ask(f.clock(n)) {
			f.call(n, asking.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationCopyRequest{ReservationCopyRequest: asking.Message}}, func(o *schema.Frame) {
				if result := o.GetReservationCopyResponse(); result != nil {
					n.replica.Copied(f.clock(n), asking.Member.Id, result)
				}
			})
		}
		f.after(constants.Tick, func() { f.tick(n, boot) })
	})
}

// Kill ends a machine at once; its disk keeps what was synced.
func (f *Fleet) Kill(n *Node) {
	n.IsUp = false
	n.isUnresponsive = f.random.Intn(2) == 0
	for _, c := range n.sortedRequests() {
		c.answer(nil, "lost")
	}
	n.disk.Crash(f.random)
}

// Wipe empties a dead machine's disk.
func (f *Fleet) Wipe(n *Node) { n.disk = NewDisk() }

// Mend makes a dead machine's disk work again; it keeps what was synced.
func (f *Fleet) RepairDisk(n *Node) {
	n.disk.Fault, n.disk.Only, n.disk.writesLeft = nil, "", 0
	n.syncDelay = 0
}

// Freeze stops a machine for a while without its knowing.
func (f *Fleet) Freeze(n *Node, d time.Duration) { n.frozenUntil = f.Now + d }

// SlowDisk makes each sync of a machine take that long.
func (f *Fleet) SlowDisk(n *Node, d time.Duration) { n.syncDelay = d }

// Stop ends a machine as planned: it is told off, serves on, finishes what is in flight, then ends.
func (f *Fleet) Stop(n *Node) {
	at, boot := f.Now, n.Boot
	f.on(n, boot, func() {
		n.machine.Stop(f.clock(n))
		f.perform(n)
	})
	linger := constants.StopLinger
	if f.Options.Fault == "stop" {
		linger = 0
	}
	f.after(linger, func() {
		n.isShut = n.Boot == boot
		f.awaitDrained(n, boot, at, f.Now+constants.StopMost-constants.StopLinger)
	})
}

func (f *Fleet) awaitDrained(n *Node, boot int, at, until time.Duration) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if len(n.inFlight) > 0 && f.Now < until && f.Options.Fault != "stop" {
		f.after(10*time.Millisecond, func() { f.awaitDrained(n, boot, at, until) })
		return
	}
	f.Kill(n)
	n.isUnresponsive = false
	f.History.Fleet = append(f.History.Fleet, checker.FleetEvent{At: at, End: f.Now, What: "stop", Node: n.Name, Proxy: n.address + ":p"})
}
