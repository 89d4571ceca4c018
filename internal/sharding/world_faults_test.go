package sharding

import (
	"time"

	"topazshed/internal/store"
)

// formerLeader is a leader that does not know that it was replaced.
type formerLeader struct {
	node      int
	table     *store.Table
	view      *store.View
	electedAt time.Duration
	leaseAt   time.Duration
	from      time.Duration
	until     time.Duration
}

// depose lets another node lead; the old leader may go on unknowing for a while.
func (w *world) depose() {
	copied := store.NewTable()
	copied.Restore(w.table.Snapshot())
	w.decideCommits()
	old := &formerLeader{
		node:      w.leader,
		table:     copied,
		view:      store.Compile(copied),
		electedAt: w.electedAt,
		leaseAt:   w.now,
		from:      w.now,
		until:     w.now + 3*time.Second,
	}
	wait := 600*ms + w.randomDuration(1500*ms)
	switch w.random.Intn(4) {
	case 0: // crashed
		w.nodes[w.leader], old = New(Options{MaxLease: 10 * time.Second}), nil
	case 1: // frozen
		old.from = w.now + w.randomDuration(3*time.Second)
	case 2: // handed over
		wait = 40 * ms
	}
	w.retire()
	w.former = old
	w.leader = (w.leader + 1 + w.random.Intn(2)) % 3
	if w.former == nil {
		w.nodes[w.leader].Step(Facts{})
	}
	w.electedAt = w.now + wait
}

// retire lets the former leader learn that it was replaced.
func (w *world) retire() {
	if w.former != nil {
		w.nodes[w.former.node].Step(Facts{})
		w.former = nil
	}
}

// decideCommits lets a part of the records under way commit and loses the others.
func (w *world) decideCommits() {
	for _, c := range w.commits {
		if w.random.Intn(2) == 0 {
			w.apply(c.record)
		}
	}
	w.commits = nil
}

// injectFault lets one random fault or change happen.
func (w *world) injectFault() {
	backend := w.owners[w.random.Intn(len(w.owners))]
	if !backend.isAlive {
		return
	}
	switch w.random.Intn(9) {
	case 0, 1:
		w.crash(backend)
		w.at(w.now+500*ms+w.randomDuration(2*time.Second), func() { w.unlist(backend) })
		w.at(w.now+2*time.Second+w.randomDuration(3*time.Second), func() { w.start(backend.row.Service, backend.row.Address, backend.row.Zone) })
	case 2:
		w.drain(backend)
		w.at(w.now+2500*ms, func() {
			if backend.isAlive {
				w.crash(backend)
				w.unlist(backend)
				w.at(w.now+2*time.Second, func() { w.start(backend.row.Service, backend.row.Address, backend.row.Zone) })
			}
		})
	case 3:
		zone := backend.row.Zone
		w.empty(zone, true)
		w.at(w.now+time.Second+w.randomDuration(6*time.Second), func() { w.empty(zone, false) })
	case 4:
		backend.cutUntil = w.now + w.randomDuration(9*time.Second)
		backend.isRefusing = w.random.Intn(2) == 0
	case 5: // taken off the list although it runs on
		backend.cutUntil = w.now + w.randomDuration(6*time.Second)
		backend.isRefusing = w.random.Intn(2) == 0
		w.unlist(backend)
		w.at(w.now+w.randomDuration(12*time.Second), func() {
			if backend.isAlive {
				w.list(backend)
			}
		})
	case 6:
		w.setLoad(w.random.Intn(buckets), 1+w.random.Intn(20), 30)
	default:
		w.depose()
	}
}
