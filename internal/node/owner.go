package node

import (
	"time"

	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

// lateTick is the time since the last tick from which on a tick is logged as late: the shortest election time-out.
const lateTick = 600 * time.Millisecond

// do hands a closure to the owner. It blocks while the queue is full and gives up when the node ends.
func (n *Node) do(command func()) {
	select {
	case n.commands <- command:
	case <-n.ctx.Done():
	}
}

// own is the owner's loop: the only caller of the control machine and its driver. A tick that is due goes before commands,
// since heartbeats and elections hang on it.
func (n *Node) own() {
	ticker := time.NewTicker(n.service.tickEvery())
	defer ticker.Stop()
	driver := n.driver()
	tickedAt, commands := n.Now(), 0
	tick := func() {
		n.noteLateTick(n.Now()-tickedAt, commands)
		tickedAt, commands = n.Now(), 0
		n.machine.Tick(tickedAt)
	}
	for {
		select {
		case <-n.ctx.Done():
			return
		case command := <-n.commands:
			command()
			commands++
		case <-ticker.C:
			tick()
		}
		commands += n.runQueued()
		select {
		case <-ticker.C:
			tick()
		default:
		}
		if err := driver.Perform(); err != nil {
			n.fail(err)
			return
		}
	}
}

// noteLateTick logs a tick that came so late that peers may miss this node's heartbeats, with the commands run meanwhile.
func (n *Node) noteLateTick(since time.Duration, commands int) {
	if since >= lateTick {
		n.log.Warn("a tick of the control machine was late", "milliseconds", since.Milliseconds(), "commands", commands)
	}
}

// runQueued runs what is queued already, so that one pass of the driver serves it all, and counts it. What comes meanwhile
// waits for the next pass.
func (n *Node) runQueued() int {
	queued := len(n.commands)
	for range queued {
		command := <-n.commands
		command()
	}
	return queued
}

// fail ends the process: Wait returns the error.
func (n *Node) fail(err error) {
	message := "the disk failed; this process ends so that it does not acknowledge what it has not stored"
	if n.machine.Refused() != nil {
		message = "this process ends because it has no protocol version in common with its fleet"
	}
	n.log.Error(message, "reason", err.Error())
	select {
	case n.fatal <- err:
	default:
	}
	n.cancel()
}

func (n *Node) driver() *controlplane.Driver {
	return &controlplane.Driver{
		Machine: n.machine,
		Journal: n.journal,
		Now:     n.Now,
		Send:    n.transport.send,
		Publish: n.publish,
		Synced:  n.synced,
		Write:   n.write,
		Leased:  n.service.grantLease,
		Answer:  n.operatorAnswered,
	}
}

// publish makes the control machine's newest state visible to all goroutines. The owner calls it.
func (n *Node) publish() {
	current := n.machine.Local()
	current.StaleResponses += n.transport.staleResponses.Load()
	previous := n.local.Load()
	n.local.Store(current)
	n.service.published(previous, current)
}

// SetSeeds replaces the addresses of peers that a node without a source asks.
func (n *Node) SetSeeds(seeds []string) {
	n.do(func() { n.machine.SetSeeds(n.Now(), seeds) })
}

// want tells the control machine that requests for a service arrive here, so that it subscribes to the service's rows.
func (n *Node) want(service string) {
	n.do(func() { n.machine.Want(n.Now(), service) })
}

func (n *Node) setHealthReports(reports []*schema.HealthReport) {
	n.do(func() { n.machine.SetHealthReports(reports) })
}
