package sim

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/failover"
	"topazshed/internal/proxy"
)

func (f *Fleet) addViolation(form string, args ...any) {
	if len(f.Violations) < 50 {
		f.Violations = append(f.Violations, fmt.Sprintf("%v: ", f.Now)+fmt.Sprintf(form, args...))
	}
}

func (f *Fleet) checkNode(n *Node) {
	local := n.machine.Local()
	if local.Role == "leader" {
		if other, isThere := f.leaders[local.Term]; isThere && other != n.id {
			f.addViolation("two leaders in term %d: %s and %s", local.Term, other, n.id)
		}
		f.leaders[local.Term] = n.id
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
	if !local.IsFull || !n.HasDisk {
		return
	}
	sum := sha256.New()
	whole := n.machine.Whole()
	for _, row := range whole.Rows {
		fmt.Fprintf(sum, "%s\x00%x\x00%d\n", row.Key, row.Value, row.Index)
	}
	var digest [32]byte
	sum.Sum(digest[:0])
	if other, isThere := f.applied[whole.Index]; isThere && other != digest {
		f.addViolation("%s differs from another full copy at index %d", n.Name, whole.Index)
	}
	f.applied[whole.Index] = digest
	for _, service := range local.View.Services {
		for path, rows := range service.Assignments {
			for region, row := range rows {
				f.checkRises("standing "+service.Name+path+"@"+region, whole.Index, row.Number)
				if residue := row.Number % constants.Increment; residue%2 == 0 {
					for _, d := range local.View.Zones {
						if uint64(d.Residue) == residue && d.Region != region {
							f.addViolation("region %s of %s%s has group %s of another region", region, service.Name, path, d.Name)
						}
					}
				}
			}
		}
		for path, row := range service.Entities {
			f.checkRises("entity "+service.Name+path, whole.Index, row.Number)
		}
	}
}

func (f *Fleet) checkRises(name string, index, number uint64) {
	at := f.highestNumbers[name+"#"]
	if index >= at {
		if number < f.highestNumbers[name] {
			f.addViolation("%s fell from %d to %d", name, f.highestNumbers[name], number)
		}
		f.highestNumbers[name], f.highestNumbers[name+"#"] = number, index
	}
}

func (f *Fleet) observe() {
	for _, n := range f.Nodes {
		if !f.isInReach(n) {
			f.lastCutOff[n.Name] = f.Now
		}
	}
	for version, at := range f.acceptedAt {
		isEverywhere := true
		for _, n := range f.Nodes {
			if n.IsUp && f.isConnected(n) && n.machine.Local().View.Head.Version < version && proxy.IsFit(f.clock(n), n.machine.Local()) {
				isEverywhere = false
			}
		}
		if isEverywhere {
			f.EffectTimes = append(f.EffectTimes, f.Now-at)
			delete(f.acceptedAt, version)
		} else if f.Now-at > 2500*time.Millisecond {
			f.addViolation("configuration %d is not everywhere %v after its acceptance", version, f.Now-at)
			delete(f.acceptedAt, version)
		}
	}
	f.after(10*time.Millisecond, f.observe)
}

func (f *Fleet) checkTrail(q *proxy.Request, number string) {
	if q.Method == http.MethodGet {
		return
	}
	trail, err := failover.ParseTrail(number)
	if name := q.Service + q.Path; err != nil || f.trails[name].IsNewer(trail) {
		f.addViolation("an unsafe leg of %s began under %q after one under %v", name, number, f.trails[name])
	} else {
		f.trails[name] = trail
	}
}

// Judge has the outside history judged and adds what it finds to the breaches.
func (f *Fleet) Check() []*checker.Verdict {
	verdicts := checker.Check(f.History)
	for _, v := range verdicts {
		for _, text := range v.Violations[:min(5, len(v.Violations))] {
			f.addViolation("rule %s: %s", v.Rule, text)
		}
	}
	return verdicts
}
