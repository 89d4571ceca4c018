package controlplane

import (
	"testing"
	"time"
)

// Guards against duties that are planned, and leases that are granted, on rows older than what a former leader had committed: a new leader took them up
// before it had applied what it knew to be committed.
func TestANodeLeadsOnlyOnceItHasAppliedWhatIsCommitted(t *testing.T) {
	f := newFleet(t)
	former := f.leader()
	f.operate(former, configOf(1, 0, "one"))
	f.run(time.Second)
	f.isDown[former] = true
	elections := 0
	wasLeading := map[*Machine]bool{}
	f.received = func(machine *Machine) {
		if machine.IsLeading() && !wasLeading[machine] {
			elections++
			if applied, commit := machine.state.Version(), machine.raft.CommitIndex(); applied < commit {
				t.Errorf("it leads with the rows up to record %d, and %d are committed", applied, commit)
			}
		}
		wasLeading[machine] = machine.IsLeading()
	}
	f.run(5 * time.Second)
	if elections == 0 {
		t.Fatal("no other machine was elected")
	}
}
