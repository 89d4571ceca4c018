package sim

import (
	"fmt"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
)

func (f *Fleet) awaitLeader() *Node {
	for range 100 {
		if leader := f.Leader(); leader != nil {
			return leader
		}
		f.RunFor(100 * time.Millisecond)
	}
	return f.pickNode(func(n *Node) bool { return n.HasDisk })
}

func (f *Fleet) putAgain() {
	n := f.pickNode(func(n *Node) bool { return n.IsUp })
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(DefaultDocument), Base: f.acceptedVersion}, func(*schema.OperatorResponse) {})
}

func (f *Fleet) unconfirmedZones() []string {
	var lacking []string
	for i := 0; i < 40 && lacking == nil; i++ {
		f.Operate(f.pickNode(func(n *Node) bool { return n.IsUp }), &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, func(o *schema.OperatorResponse) {
			if o.Refusal == schema.RefusalKind_REFUSAL_NONE {
				lacking = append([]string{}, o.Unconfirmed...)
			}
		})
		f.RunFor(250 * time.Millisecond)
	}
	return lacking
}

func (f *Fleet) expectReadBack() error {
	for range 40 {
		if o := f.Show(f.pickNode(func(n *Node) bool { return n.IsUp })); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return nil
		}
		f.RunFor(250 * time.Millisecond)
	}
	return fmt.Errorf("no read-back within 10 s at %v", f.Now)
}

func (f *Fleet) ownerOf(service, path string) failover.Owner {
	for _, n := range f.Nodes {
		view := f.View(n)
		if known := view.Services[service]; n.IsUp && known != nil && known.Entry(path) != nil {
			if owner, err := failover.Resolve(view, known.Entry(path), failover.Origin{Service: service, Path: path}); err == nil {
				return owner
			}
		}
	}
	return failover.Owner{Region: "r0", Zone: "r0-d0"}
}

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

func (f *Fleet) expectConverged() error {
	leader := f.Leader()
	if leader == nil {
		return fmt.Errorf("no leader at %v", f.Now)
	}
	for _, n := range f.Nodes {
		if n.IsUp && n.HasDisk && f.View(n).Version+50 < f.View(leader).Version {
			return fmt.Errorf("%s is at index %d, the leader at %d", n.Name, f.View(n).Version, f.View(leader).Version)
		}
	}
	return nil
}

func (f *Fleet) expectServed(what string, within time.Duration) error {
	at := f.Now
	isServed := map[string]bool{}
	kinds := []CallerRequest{{Method: "GET", Service: "service0", Path: "/read/x"}, {Method: "POST", Service: "service1", Path: "/pay"}, {Method: "GET", Service: "service2", Path: "/home/x"}, {Method: "POST", Service: "service3", Path: "/book", Key: "x"}}
	for i := 0; len(isServed) < len(kinds) && f.Now < at+within; i++ {
		for _, a := range kinds {
			if isServed[a.Service] {
				continue
			}
			a.Attempt, a.Region, a.Wait = fmt.Sprintf("probe-%d-%s-%d", at.Milliseconds(), a.Service, i), "r0", 2*time.Second
			f.send(a, 1, func(r *checker.Reply) {
				if r != nil && r.Result == "sealed" && !isServed[a.Service] {
					isServed[a.Service] = true
					f.RecoveryTimes[a.Service] = max(f.RecoveryTimes[a.Service], f.Now-at)
				}
			})
		}
		f.RunFor(200 * time.Millisecond)
	}
	for _, a := range kinds {
		if !isServed[a.Service] {
			return fmt.Errorf("%s is not served within %v after %s", a.Service, within, what)
		}
	}
	return nil
}

func (f *Fleet) drainBackend(b *Backend) {
	b.State = "draining"
	f.after(4*time.Second, func() {
		f.Crash(b)
		b.State = "gone"
	})
}

func (f *Fleet) readyBackends(service string) []*Backend {
	var list []*Backend
	for _, b := range f.Backends {
		if b.Service == service && b.IsUp && b.State == "ready" {
			list = append(list, b)
		}
	}
	return list
}

func isIn(zone string) func(*Node) bool {
	return func(n *Node) bool { return n.Zone == zone }
}

func isInRegion(region string) func(*Node) bool {
	return func(n *Node) bool { return n.Region == region }
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
