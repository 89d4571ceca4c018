// Package sim runs whole fleets of the production state machines on virtual time.
//
// It owns the simulated event loop, network, clocks and disks, the machines and back ends of a fleet, its callers and
// operators, and the scenarios that inject failures. It decides nothing about requests or the control plane: the code
// under test is that of controlplane, raft, journal, idempotency, proxy and directory. What callers, back ends, the
// platform and operators saw goes to a checker.History, which package checker judges; invariants that need a view
// into the machines are checked here after every event (invariants.go).
//
// A fleet runs on one goroutine and draws every random number from its seed, so one seed gives one history.
// Events, draws and iterations that matter happen in a fixed order; fleets of different seeds may run side by side.
package sim
