package sim

import (
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
)

const (
	// recoveryBound is how soon every kind of request must be served after a heavy loss.
	recoveryBound = 15 * time.Second
	// maxLag is how many log records a machine with a disk may be behind at the end.
	maxLag = 50
	// drainTime is how long a back end drains before its process ends.
	drainTime = 4 * time.Second
	// askPause and askTries bound how often operators ask until they get an answer.
	askPause = 250 * time.Millisecond
	askTries = 40
)

func isUp(n *Node) bool { return n.IsUp }

func hasDisk(n *Node) bool { return n.HasDisk }

func hasDiskAndIsUp(n *Node) bool { return n.HasDisk && n.IsUp }

func isAny(*Node) bool { return true }

func isIn(zone string) func(*Node) bool {
	return func(n *Node) bool { return n.Zone == zone }
}

func isInRegion(region string) func(*Node) bool {
	return func(n *Node) bool { return n.Region == region }
}

func isOnly(node *Node) func(*Node) bool {
	return func(n *Node) bool { return n == node }
}

// pickNode draws one of the machines that fit; the first machine if none does.
func (f *Fleet) pickNode(isFit func(*Node) bool) *Node {
	var options []*Node
	for _, n := range f.Nodes {
		if isFit(n) {
			options = append(options, n)
		}
	}
	if len(options) == 0 {
		return f.Nodes[0]
	}
	return options[f.random.Intn(len(options))]
}

// drawMillis draws a span of less than that many milliseconds.
func (f *Fleet) drawMillis(below int) time.Duration {
	return time.Duration(f.random.Intn(below)) * time.Millisecond
}

// drawBackend draws one of all back ends.
func (f *Fleet) drawBackend() *Backend { return f.Backends[f.random.Intn(len(f.Backends))] }

// awaitLeader gives the leader, or after 10 s a machine with a disk.
func (f *Fleet) awaitLeader() *Node {
	for range 100 {
		if leader := f.Leader(); leader != nil {
			return leader
		}
		f.RunFor(100 * time.Millisecond)
	}
	return f.pickNode(hasDisk)
}

// killLeaderFor kills the leader, if there is one, and starts it again after a while.
func (f *Fleet) killLeaderFor(span time.Duration) {
	if leader := f.Leader(); leader != nil {
		f.Kill(leader)
		f.after(span, func() { f.Start(leader) })
	}
}

func (f *Fleet) killAll(isFit func(*Node) bool) {
	for _, n := range f.Nodes {
		if isFit(n) && n.IsUp {
			f.Kill(n)
		}
	}
}

func (f *Fleet) startAll() {
	for _, n := range f.Nodes {
		f.Start(n)
	}
}

// putAgain puts the configuration once more through any machine, without waiting for the answer.
func (f *Fleet) putAgain() {
	request := &schema.OperatorRequest{
		Kind:     schema.OperatorKind_OPERATOR_PUT,
		Document: []byte(DefaultDocument),
		Base:     f.acceptedVersion,
	}
	f.Operate(f.pickNode(isUp), request, func(*schema.OperatorResponse) {})
}

// unconfirmedZones asks for the status until it is answered, and gives the zones that haven't confirmed the newest
// change; nil means that there was no answer.
func (f *Fleet) unconfirmedZones() []string {
	var zones []string
	for i := 0; i < askTries && zones == nil; i++ {
		request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}
		f.Operate(f.pickNode(isUp), request, func(response *schema.OperatorResponse) {
			if response.Refusal == schema.RefusalKind_REFUSAL_NONE {
				zones = append([]string{}, response.Unconfirmed...)
			}
		})
		f.RunFor(askPause)
	}
	return zones
}

// tryReadBack reads the configuration back through any machine, up to that often.
func (f *Fleet) tryReadBack(tries int, pause time.Duration) bool {
	for range tries {
		response := f.Show(f.pickNode(isUp))
		if response != nil && response.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return true
		}
		f.RunFor(pause)
	}
	return false
}

// expectReadBack fails if the configuration can't be read back.
func (f *Fleet) expectReadBack() error {
	if !f.tryReadBack(askTries, askPause) {
		return fmt.Errorf("no read-back within 10 s at %v", f.Now)
	}
	return nil
}

// expectConverged fails if there is no leader or a machine with a disk is far behind it.
func (f *Fleet) expectConverged() error {
	leader := f.Leader()
	if leader == nil {
		return fmt.Errorf("no leader at %v", f.Now)
	}
	newest := f.View(leader).Version
	for _, n := range f.Nodes {
		if n.IsUp && n.HasDisk && f.View(n).Version+maxLag < newest {
			return fmt.Errorf("%s is at index %d, the leader at %d", n.Name, f.View(n).Version, newest)
		}
	}
	return nil
}

// expectServed fails if not every kind of request is served within recoveryBound of now. It notes how long each took.
func (f *Fleet) expectServed(loss string) error {
	begun := f.Now
	isServed := map[string]bool{}
	probes := []CallerRequest{
		{Method: http.MethodGet, Service: "service0", Path: "/read/x"},
		{Method: http.MethodPost, Service: "service1", Path: "/pay"},
		{Method: http.MethodGet, Service: "service2", Path: "/home/x"},
		{Method: http.MethodPost, Service: "service3", Path: "/book", Key: "x"},
	}
	for round := 0; len(isServed) < len(probes) && f.Now < begun+recoveryBound; round++ {
		for _, probe := range probes {
			if isServed[probe.Service] {
				continue
			}
			probe.Attempt = fmt.Sprintf("probe-%d-%s-%d", begun.Milliseconds(), probe.Service, round)
			probe.Region, probe.Wait = firstRegion, probeWait
			f.send(probe, 1, func(reply *checker.Reply) {
				if reply != nil && reply.Result == checker.ResultSealed && !isServed[probe.Service] {
					isServed[probe.Service] = true
					f.RecoveryTimes[probe.Service] = max(f.RecoveryTimes[probe.Service], f.Now-begun)
				}
			})
		}
		f.RunFor(200 * time.Millisecond)
	}
	for _, probe := range probes {
		if !isServed[probe.Service] {
			return fmt.Errorf("%s is not served within %v after %s", probe.Service, recoveryBound, loss)
		}
	}
	return nil
}

// ownerOf gives the owner of an entry by the first machine that knows one.
func (f *Fleet) ownerOf(service, path string) failover.Owner {
	for _, n := range f.Nodes {
		view := f.View(n)
		known := view.Services[service]
		if !n.IsUp || known == nil || known.Entry(path) == nil {
			continue
		}
		owner, err := failover.Resolve(view, known.Entry(path), failover.Origin{Service: service, Path: path})
		if err == nil {
			return owner
		}
	}
	return failover.Owner{Region: firstRegion, Zone: "r0-d0"}
}

// drainBackend marks a back end as draining and ends it after drainTime.
func (f *Fleet) drainBackend(b *Backend) {
	b.State = checker.BackendDraining
	f.after(drainTime, func() {
		f.Crash(b)
		b.State = checker.BackendGone
	})
}

// readyBackends gives the running, ready back ends of a service.
func (f *Fleet) readyBackends(service string) []*Backend {
	var ready []*Backend
	for _, b := range f.Backends {
		if b.Service == service && b.IsUp && b.State == checker.BackendReady {
			ready = append(ready, b)
		}
	}
	return ready
}
