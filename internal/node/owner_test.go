package node

import "testing"

// Guards against a control side that never comes back (CONFIG): commands that kept coming held up the ticks of a leader, so
// that its heartbeats were late and another one was elected.
func TestCommandsThatKeepComingLeaveTheOwnerATurn(t *testing.T) {
	const queued, most = 8, 100_000
	n := &Node{commands: make(chan func(), commandQueue)}
	run := 0
	var command func()
	command = func() {
		run++
		if run < most {
			n.commands <- command
		}
	}
	for range queued {
		n.commands <- command
	}
	n.runQueued()
	if run > queued {
		t.Errorf("%d commands were run before the owner's next turn; %d were queued when this one began", run, queued)
	}
	if left := len(n.commands); left != queued {
		t.Errorf("%d commands are left, want the %d that came meanwhile", left, queued)
	}
}
