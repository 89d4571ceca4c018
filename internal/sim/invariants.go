package sim

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

const (
	// maxViolations bounds how many violations a fleet keeps, maxPerRule how many of one rule.
	maxViolations = 50
	maxPerRule    = 5
	// effectBound is the time within which an accepted configuration must be on every connected machine.
	effectBound = 2500 * time.Millisecond
	// observeEvery is how often machines are compared with each other.
	observeEvery = 10 * time.Millisecond
	// roleLeader is the role of a leader in controlplane.Local.
	roleLeader = "leader"
)

// digest is the SHA-256 of a full copy's rows.
type digest [sha256.Size]byte

// numberAt is a failover number and the log index at which it was seen.
type numberAt struct{ index, number uint64 }

// invariants is what the checks inside the machines remember of the past.
type invariants struct {
	// leaders by term, votes by voter and term, digests of full copies by index.
	leaders map[uint64]string
	votes   map[string]string
	applied map[uint64]digest
	// numbers are the newest failover numbers by assignment or entity.
	numbers map[string]numberAt
	// trails are the newest trails under which unsafe attempts began, by service and path.
	trails map[string]failover.Trail
}

func newInvariants() invariants {
	return invariants{
		leaders: map[uint64]string{},
		votes:   map[string]string{},
		applied: map[uint64]digest{},
		numbers: map[string]numberAt{},
		trails:  map[string]failover.Trail{},
	}
}

// addViolation notes that something happened that must never happen.
func (f *Fleet) addViolation(format string, args ...any) {
	if len(f.Violations) < maxViolations {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now)+fmt.Sprintf(format, args...))
	}
}

// Check has the history judged by the checker and adds what it finds to the violations.
func (f *Fleet) Check() []*checker.Verdict {
	verdicts := checker.Check(f.History)
	for _, verdict := range verdicts {
		for _, text := range verdict.Violations[:min(maxPerRule, len(verdict.Violations))] {
			f.addViolation("rule %s: %s", verdict.Rule, text)
		}
	}
	return verdicts
}

// checkNode checks a machine after each event: one leader a term, nothing applied goes back, equal full copies,
// and failover numbers that only rise.
func (f *Fleet) checkNode(n *Node) {
	local := n.machine.Local()
	if local.Role == roleLeader {
		f.checkLeader(n, local.Term)
	}
	if local.View.Version < n.lastIndex {
		f.addViolation("%s went back from index %d to %d", n.Name, n.lastIndex, local.View.Version)
	}
	if local.View.Head.Version < n.lastConfiguration {
		f.addViolation("%s went back from configuration %d to %d", n.Name, n.lastConfiguration, local.View.Head.Version)
	}
	if local.View.Version == n.lastIndex {
		return
	}
	n.lastIndex, n.lastConfiguration = local.View.Version, local.View.Head.Version
	if local.IsFull && n.HasDisk {
		f.checkFullCopy(n, local)
	}
}

func (f *Fleet) checkLeader(n *Node, term uint64) {
	if other, isKnown := f.invariants.leaders[term]; isKnown && other != n.id {
		f.addViolation("two leaders in term %d: %s and %s", term, other, n.id)
	}
	f.invariants.leaders[term] = n.id
}

// checkFullCopy compares the rows of a machine with a disk with those of others at the same index.
func (f *Fleet) checkFullCopy(n *Node, local *controlplane.Local) {
	whole := n.machine.Snapshot()
	hash := sha256.New()
	for _, row := range whole.Rows {
		fmt.Fprintf(hash, "%s\x00%x\x00%d\n", row.Key, row.Value, row.Index)
	}
	sum := digest(hash.Sum(nil))
	if other, isKnown := f.invariants.applied[whole.Index]; isKnown && other != sum {
		f.addViolation("%s differs from another full copy at index %d", n.Name, whole.Index)
	}
	f.invariants.applied[whole.Index] = sum
	for _, service := range local.View.Services {
		f.checkAssignments(whole.Index, local.View, service)
	}
}

// checkAssignments checks the failover numbers of a service's assignments and entities.
func (f *Fleet) checkAssignments(index uint64, view *store.View, service *store.Service) {
	for path, rows := range service.Assignments {
		for region, row := range rows {
			f.checkRises("assignment "+service.Name+path+"@"+region, index, row.Number)
			f.checkGroup(view, service.Name+path, region, row)
		}
	}
	for path, row := range service.Entities {
		f.checkRises("entity "+service.Name+path, index, row.Number)
	}
}

// checkGroup checks that an assignment's number names no group of another region. Even residues name groups.
func (f *Fleet) checkGroup(view *store.View, entry, region string, row *schema.FailoverAssignment) {
	residue := row.Number % constants.Increment
	if residue%2 != 0 {
		return
	}
	for _, zone := range view.Zones {
		if uint64(zone.Residue) == residue && zone.Region != region {
			f.addViolation("region %s of %s has group %s of another region", region, entry, zone.Name)
		}
	}
}

// checkRises checks that a failover number never falls from one log index to a later one.
func (f *Fleet) checkRises(name string, index, number uint64) {
	newest := f.invariants.numbers[name]
	if index < newest.index {
		return
	}
	if number < newest.number {
		f.addViolation("%s fell from %d to %d", name, newest.number, number)
	}
	f.invariants.numbers[name] = numberAt{index: index, number: number}
}

// checkTrail checks that unsafe attempts never begin under an older trail of failover numbers than one before.
func (f *Fleet) checkTrail(request *proxy.Request, number string) {
	if request.Method == http.MethodGet {
		return
	}
	entry := request.Service + request.Path
	newest := f.invariants.trails[entry]
	trail, err := failover.ParseTrail(number)
	if err != nil || newest.IsNewer(trail) {
		f.addViolation("an unsafe attempt of %s began under %q after one under %v", entry, number, newest)
		return
	}
	f.invariants.trails[entry] = trail
}

// observe compares machines with each other, each observeEvery.
func (f *Fleet) observe() {
	for _, n := range f.Nodes {
		if !f.reachesMajority(n) {
			f.links.lastCutOff[n.Name] = f.Now
		}
	}
	for version, acceptedAt := range f.acceptedAt {
		age := f.Now - acceptedAt
		switch {
		case f.isInEffect(version):
			f.EffectTimes = append(f.EffectTimes, age)
			delete(f.acceptedAt, version)
		case age > effectBound:
			f.addViolation("configuration %d is not everywhere %v after its acceptance", version, age)
			delete(f.acceptedAt, version)
		}
	}
	f.after(observeEvery, f.observe)
}

// isInEffect tells whether every connected machine that serves has a configuration.
func (f *Fleet) isInEffect(version uint64) bool {
	for _, n := range f.Nodes {
		if !n.IsUp || !f.isConnected(n) {
			continue
		}
		if n.machine.Local().View.Head.Version < version && proxy.IsFit(f.clock(n), n.machine.Local()) {
			return false
		}
	}
	return true
}
