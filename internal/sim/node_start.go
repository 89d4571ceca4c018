package sim

import (
	"errors"
	"fmt"
	"math/rand"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/idempotency"
	"topazshed/internal/journal"
	"topazshed/internal/protocolversion"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

// journalSizes are small, so that a scenario fills the ring and compacts it.
var journalSizes = journal.Options{Files: 4, FileBytes: 128 << 10, SnapshotBytes: 512 << 10}

// nodeIDMask keeps the 48 bits of a drawn identity.
const nodeIDMask = 0xffffffffffff

// Start boots a machine from its disk; it does nothing if the machine runs.
func (f *Fleet) Start(n *Node) {
	if n.IsUp {
		return
	}
	n.Boot++
	n.IsUp = true
	n.lastIndex, n.lastConfiguration = 0, 0
	n.isShut, n.inFlight = false, map[uint64]*proxyRequest{}
	n.random = rand.New(rand.NewSource(f.random.Int63()))
	n.id = fmt.Sprintf("%012x", f.random.Int63()&nodeIDMask)
	options := controlplane.Options{
		Self:  f.self(n),
		Seeds: f.seeds(),
		Draw:  n.random.Int63n,
		Log:   f.log.With("node", n.Name),
	}
	var openedJournal *journal.Journal
	if n.HasDisk {
		var isOpen bool
		if openedJournal, isOpen = f.openDisk(n, &options); !isOpen {
			return
		}
	}
	n.replica = idempotency.NewReplica(n.id, options.Restart)
	n.loads = proxy.NewLoads(func() time.Duration { return f.clock(n) })
	n.kept = proxy.NewResponseCache()
	n.failedChecks = map[string]int{}
	n.pendingCalls = map[uint64]func(*schema.Frame){}
	n.machine = controlplane.New(f.clock(n), options)
	n.driver = f.newDriver(n, openedJournal)
	f.tick(n, n.Boot)
	f.reportHealth(n, n.Boot)
	if n.HasDisk {
		f.readList(n, n.Boot)
	}
}

// self gives the row with which a machine joins.
func (f *Fleet) self(n *Node) *schema.Node {
	return &schema.Node{
		Id:          n.id,
		Address:     n.address,
		Proxy:       n.proxyAddress(),
		Admin:       n.address + adminSuffix,
		Zone:        n.Zone,
		Region:      n.Region,
		Disk:        n.HasDisk,
		Incarnation: uint64(f.Now.Milliseconds()) + 1,
		State:       schema.NodeState_NODE_READY,
	}
}

// openDisk opens a machine's journal and fills in what it holds. A damaged disk is replaced by an empty one; false means
// that the process ended because the disk is of a newer version.
func (f *Fleet) openDisk(n *Node, options *controlplane.Options) (*journal.Journal, bool) {
	opened, state, err := journal.Open(n.disk, journalSizes)
	var newer *protocolversion.DiskError
	if errors.As(err, &newer) {
		f.Counts["disk of a newer version"]++
		n.IsUp = false
		return nil, false
	}
	if err != nil {
		f.Counts["identity given up"]++
		n.disk = NewDisk()
		if opened, state, err = journal.Open(n.disk, journalSizes); err != nil {
			f.addViolation("%s can't open an empty disk: %v", n.Name, err)
			return nil, false
		}
	}
	options.HardState, options.Snapshot, options.Entries = state.HardState, state.Snapshot, state.Entries
	options.System, options.Restart = state.HardState.System, state.HardState.Id != ""
	if options.Restart {
		n.id = state.HardState.Id
		options.Self.Id = n.id
	}
	return opened, true
}

// newDriver connects a machine's control machine to the simulated network, disk and proxy.
func (f *Fleet) newDriver(n *Node, openedJournal *journal.Journal) *controlplane.Driver {
	boot := n.Boot
	return &controlplane.Driver{
		Machine: n.machine,
		Journal: openedJournal,
		Now:     func() time.Duration { return f.clock(n) },
		Send:    func(to string, frame *schema.Frame) { f.transmit(n, to, frame) },
		Answer:  func(response controlplane.LocalResponse) { f.answer(n, response) },
		Synced: func(took time.Duration, _ error) {
			if took > constants.SlowSync {
				n.machine.SlowDisk(f.clock(n))
			}
		},
		Write:   func(work func() error, done func(error)) { f.write(n, boot, work, done) },
		Publish: func() { f.publish(n) },
	}
}

// publish hands the rows that changed to the reservation replica, and the replica's state to the control machine.
func (f *Fleet) publish(n *Node) {
	if set := n.machine.Local().View.ReplicaSets[n.Region]; set != nil {
		n.replica.Adopt(f.clock(n), set)
	}
	status := n.replica.Status()
	n.machine.SetReservationReplica(status.SetNumber, status.IsMember && status.IsReady)
	if f.Options.Fault != FaultKeys {
		n.machine.SetOldestIndex(n.loads.OldestVersion())
	}
}
