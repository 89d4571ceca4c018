package sharding

import (
	"fmt"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// simulatedBackend is a back end of the simulated world. What it knows of leases is by sampled key.
type simulatedBackend struct {
	row      *schema.Backend
	isAlive  bool
	isListed bool
	// cutUntil is when calls reach it again; isRefusing says that connections are refused until then, not dropped.
	cutUntil   time.Duration
	isRefusing bool
	// seen are the highest fences, until and fence those of its leases.
	seen  []Fence
	until []time.Duration
	fence []Fence
	// slowness is by how much its clock is slower than the leader's.
	slowness float64
}

func (w *world) list(backend *simulatedBackend) {
	backend.isListed = true
	w.put(store.EncodeRow(store.BackendKey(backend.row.Service, backend.row.Instance), backend.row))
}

// drain lists a back end as draining.
func (w *world) drain(backend *simulatedBackend) {
	old := backend.row
	backend.row = &schema.Backend{
		Service:  old.Service,
		Instance: old.Instance,
		Address:  old.Address,
		Zone:     old.Zone,
		State:    schema.BackendState_BACKEND_DRAINING,
	}
	w.list(backend)
}

func (w *world) unlist(backend *simulatedBackend) {
	backend.isListed = false
	w.put(store.Tombstone(store.BackendKey(backend.row.Service, backend.row.Instance)))
}

func (w *world) start(service, address, zone string) *simulatedBackend {
	w.serial++
	backend := &simulatedBackend{
		row: &schema.Backend{
			Service:  service,
			Instance: fmt.Sprintf("i%03d", w.serial),
			Address:  address,
			Zone:     zone,
			State:    schema.BackendState_BACKEND_READY,
		},
		isAlive:  true,
		seen:     make([]Fence, len(w.sampledKeys)),
		until:    make([]time.Duration, len(w.sampledKeys)),
		fence:    make([]Fence, len(w.sampledKeys)),
		slowness: 1 / (1 - 0.02*w.random.Float64()),
	}
	w.owners = append(w.owners, backend)
	w.list(backend)
	return backend
}

func (w *world) crash(backend *simulatedBackend) {
	backend.isAlive = false
	clear(backend.until)
}

// send carries a call to whatever process has its address by then.
func (w *world) send(node int, call Call) {
	w.calls++
	sent, isAnswered, isLost, caller := w.now, false, false, w.nodes[node]
	answer := func(a Answer) {
		if !isAnswered {
			isAnswered = true
			a.ID = call.ID
			caller.Answered(w.now, a)
		}
	}
	way := func() time.Duration {
		if w.hasFaults && w.random.Intn(12) == 0 {
			return w.randomDuration(2500 * ms)
		}
		return 1*ms + w.randomDuration(30*ms)
	}
	w.at(sent+call.Timeout, func() {
		if isLost && call.Kind == GrantLease && call.ID%2 == 0 { // no connection came up
			answer(Answer{Result: Unsent})
		}
		answer(Answer{Result: Unknown})
	})
	arrival := sent + way()
	if arrival > sent+call.Timeout+constants.KeyArrivalMargin-stride || w.hasFaults && w.random.Intn(25) == 0 {
		isLost = true
		return
	}
	w.at(arrival, func() {
		var backend *simulatedBackend
		for _, other := range w.owners {
			if other.isAlive && other.row.Address == call.Address {
				backend = other
			}
		}
		back := w.now + way()
		reply := func(a Answer) {
			if !w.hasFaults || w.random.Intn(25) > 0 {
				w.at(back, func() { answer(a) })
			}
		}
		switch {
		case backend == nil || backend.cutUntil > w.now && backend.isRefusing:
			reply(Answer{Result: Unsent})
		case backend.cutUntil > w.now:
			isLost = true
		case call.Kind != Probe && backend.row.Instance != call.Instance:
			reply(Answer{Result: Replaced})
		case call.Kind == Probe:
			reply(Answer{Result: Done})
		case call.Kind == GrantLease:
			reply(w.takeLease(backend, call))
		default:
			w.releaseLease(backend, call, reply, &back, way)
		}
	})
}

// takeLease answers a lease call, as a back end does.
func (w *world) takeLease(backend *simulatedBackend, call Call) Answer {
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last && backend.seen[i] > call.Fence {
			return Answer{Result: Refused}
		}
	}
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last {
			backend.seen[i], backend.fence[i] = call.Fence, call.Fence
			if backend.until[i] <= w.now && call.Handover == "" && call.Fence > 1 {
				w.coldStarts++
			}
			backend.until[i] = w.now + time.Duration(float64(call.LeaseDuration)*backend.slowness)
		}
	}
	return Answer{Result: Done}
}

// releaseLease answers a release call; its keys count as leased until the running work on them has ended.
func (w *world) releaseLease(backend *simulatedBackend, call Call, reply func(Answer), back *time.Duration, way func() time.Duration) {
	end := w.now + w.workTime
	if w.hasFaults {
		end = w.now + w.randomDuration(4*time.Second)
	}
	for i, key := range w.sampledKeys {
		if key >= call.First && key <= call.Last {
			backend.seen[i] = max(backend.seen[i], call.Fence)
		}
	}
	w.at(end, func() {
		if !backend.isAlive {
			return
		}
		for i, key := range w.sampledKeys {
			if key >= call.First && key <= call.Last && backend.fence[i] <= call.Fence {
				backend.until[i] = min(backend.until[i], w.now)
			}
		}
		*back = w.now + way()
		reply(Answer{Result: Done, Handover: fmt.Sprintf("h%d-%d", call.First, call.Fence)})
	})
}
