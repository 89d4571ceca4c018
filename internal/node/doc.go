// Package node assembles one topazshed process: it opens the data folder and the listeners, feeds the control machine
// (internal/controlplane) and carries out the effects that the machine asks for. It decides nothing about the fleet.
//
// Goroutines and what they own:
//
//   - The owner (owner.go) alone calls the control machine and its driver. Everybody else hands it a closure through
//     Node.do. It publishes an immutable controlplane.Local, which any goroutine may read with Node.local.
//   - A disk write of the driver runs in a goroutine of its own, one at a time, and reports back through Node.do.
//   - The peer network (internal/frame) has its own goroutines. They call Node.receive, which either answers at once
//     from a part that has its own lock or passes the frame on to the owner.
//   - Each HTTP listener has one goroutine that accepts connections; net/http adds one for each connection.
//   - Each periodic task (health checks, reads of the endpoint list, copies of reservations, upkeep of the gateway) is
//     one goroutine. It keeps its own state and ends with the node's context.
//   - A call to a back end about a shard lease runs in a goroutine of its own and reports back through Node.do.
//
// Node.tasks counts all of them; Node.Close cancels the node's context and waits for them before the data folder closes.
package node
