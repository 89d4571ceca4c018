package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/failover"
	"topazshed/internal/schema"
)

func (f *Fleet) leader() *Node {
	for range 100 {
		if leader := f.Leader(); leader != nil {
			return leader
		}
		f.RunFor(100 * time.Millisecond)
	}
	return f.pick(func(n *Node) bool { return n.HasDisk })
}

func (f *Fleet) change() {
	n := f.pick(func(n *Node) bool { return n.IsUp })
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(DefaultDocument), Base: f.accepted}, func(*schema.OperatorResponse) {})
}

func (f *Fleet) status() []string {
	var lacking []string
	for i := 0; i < 40 && lacking == nil; i++ {
		f.Operate(f.pick(func(n *Node) bool { return n.IsUp }), &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS}, func(o *schema.OperatorResponse) {
			if o.Refusal == schema.RefusalKind_REFUSAL_NONE {
				lacking = append([]string{}, o.Unconfirmed...)
			}
		})
		f.RunFor(250 * time.Millisecond)
	}
	return lacking
}

func (f *Fleet) reads() error {
	for range 40 {
		if o := f.Show(f.pick(func(n *Node) bool { return n.IsUp })); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return nil
		}
		f.RunFor(250 * time.Millisecond)
	}
	return fmt.Errorf("no read-back within 10 s at %v", f.Now)
}

func (f *Fleet) owner(service, path string) failover.Owner {
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

const finalLoss = 15 * time.Second

// Scenario is a named way to bring failures about; it judges what the steps themselves don't.
type Scenario struct {
	Name   string
	About  string
	Shape  Options
	Script func(f *Fleet) error
}

func (f *Fleet) pick(isFit func(*Node) bool) *Node {
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

func (f *Fleet) settled() error {
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

func (f *Fleet) serves(what string, within time.Duration) error {
	at := f.Now
	isServed := map[string]bool{}
	kinds := []Ask{{Method: "GET", Service: "service0", Path: "/read/x"}, {Method: "POST", Service: "service1", Path: "/pay"}, {Method: "GET", Service: "service2", Path: "/home/x"}, {Method: "POST", Service: "service3", Path: "/book", Key: "x"}}
	for i := 0; len(isServed) < len(kinds) && f.Now < at+within; i++ {
		for _, a := range kinds {
			if isServed[a.Service] {
				continue
			}
			a.Attempt, a.Region, a.Wait = fmt.Sprintf("probe-%d-%s-%d", at.Milliseconds(), a.Service, i), "r0", 2*time.Second
			f.send(a, 1, func(r *checker.Reply) {
				if r != nil && r.Result == "sealed" && !isServed[a.Service] {
					isServed[a.Service] = true
					f.Back[a.Service] = max(f.Back[a.Service], f.Now-at)
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

func (f *Fleet) drain(b *Backend) {
	b.State = "draining"
	f.after(4*time.Second, func() {
		f.Crash(b)
		b.State = "gone"
	})
}

func (f *Fleet) of(service string) []*Backend {
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

// Scenarios are the simulator's proofs; each begins with a served fleet under load.
var Scenarios = []Scenario{
	{"calm", "load without failures", Options{}, func(f *Fleet) error { f.RunFor(10 * time.Second); return nil }},
	{"lossy", "lossy, late links", Options{LossPercent: 3, JitterMillis: 15}, func(f *Fleet) error { f.RunFor(15 * time.Second); return nil }},
	{"leader-killed", "the leader is killed and started again", Options{}, func(f *Fleet) error {
		for range 3 {
			if leader := f.Leader(); leader != nil {
				f.Kill(leader)
				f.RunFor(4 * time.Second)
				f.Start(leader)
			}
			f.RunFor(4 * time.Second)
		}
		return f.settled()
	}},
	{"leader-frozen", "the leader freezes and thaws", Options{}, func(f *Fleet) error {
		for _, span := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, 12 * time.Second} {
			if leader := f.Leader(); leader != nil {
				f.Freeze(leader, span)
			}
			f.RunFor(span + 5*time.Second)
		}
		return f.settled()
	}},
	{"proxy-frozen", "any machine freezes and thaws under load", Options{}, func(f *Fleet) error {
		for range 4 {
			f.Freeze(f.pick(func(n *Node) bool { return n.IsUp }), time.Duration(500+f.random.Intn(9000))*time.Millisecond)
			f.RunFor(5 * time.Second)
		}
		f.RunFor(10 * time.Second)
		return f.settled()
	}},
	{"herd", "a herd of machines is killed and comes back", Options{}, func(f *Fleet) error {
		for range 2 {
			for range 5 {
				if n := f.pick(func(n *Node) bool { return n.IsUp }); n.IsUp {
					f.Kill(n)
				}
			}
			f.RunFor(time.Duration(2+f.random.Intn(6)) * time.Second)
			f.startAll()
			f.RunFor(15 * time.Second)
		}
		return f.settled()
	}},
	{"district-lost", "the machines of the district that owns the payments are lost for good", Options{}, func(f *Fleet) error {
		f.RunFor(3 * time.Second)
		lost := f.owner("service1", "/pay").Zone
		f.killAll(isIn(lost))
		if err := f.serves("the loss of "+lost, finalLoss); err != nil {
			return err
		}
		f.RunFor(10 * time.Second)
		return f.settled()
	}},
	{"region-lost", "the machines and back ends of the region that owns the payments are lost for good", Options{}, func(f *Fleet) error {
		f.RunFor(3 * time.Second)
		lost := f.owner("service1", "/pay").Region
		f.killAll(isInRegion(lost))
		for _, b := range f.Backends {
			if regionOf(b.Zone) == lost {
				f.Crash(b)
			}
		}
		if err := f.serves("the loss of "+lost, finalLoss); err != nil {
			return err
		}
		f.RunFor(5 * time.Second)
		return f.settled()
	}},
	{"region-cut", "a region is cut off and heals", Options{}, func(f *Fleet) error {
		for _, region := range []string{"r0", "r2"} {
			f.Split(isInRegion(region), true)
			f.RunFor(14 * time.Second)
			f.Split(isInRegion(region), false)
			f.RunFor(6 * time.Second)
		}
		return f.settled()
	}},
	{"core-split", "the disk machines are split three to three", Options{}, func(f *Fleet) error {
		f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d0" || n.Zone == "r2-d0" }, true)
		f.RunFor(9 * time.Second)
		f.Split(func(*Node) bool { return false }, false)
		for _, a := range f.Nodes {
			for _, b := range f.Nodes {
				f.Cut(a, b, false)
			}
		}
		f.RunFor(8 * time.Second)
		return f.settled()
	}},
	{"one-way", "one-way cuts around the leader and others", Options{}, func(f *Fleet) error {
		for range 4 {
			a, b := f.pick(func(n *Node) bool { return n.HasDisk }), f.pick(func(n *Node) bool { return true })
			if leader := f.Leader(); leader != nil && f.random.Intn(2) == 0 {
				a = leader
			}
			f.Cut(a, b, true)
			f.RunFor(5 * time.Second)
			f.Cut(a, b, false)
			f.RunFor(2 * time.Second)
		}
		return f.settled()
	}},
	{"isolated", "a single machine is isolated and heals", Options{}, func(f *Fleet) error {
		for range 3 {
			n := f.pick(func(n *Node) bool { return n.IsUp })
			f.Split(func(o *Node) bool { return o == n }, true)
			f.RunFor(8 * time.Second)
			f.Split(func(o *Node) bool { return o == n }, false)
			f.RunFor(5 * time.Second)
		}
		return f.settled()
	}},
	{"all-killed", "the whole fleet is killed and started again", Options{}, func(f *Fleet) error {
		before := f.accepted
		f.killAll(func(*Node) bool { return true })
		f.RunFor(2 * time.Second)
		f.startAll()
		if err := f.serves("the restart", finalLoss); err != nil {
			return err
		}
		f.RunFor(8 * time.Second)
		if err := f.settled(); err != nil {
			return err
		}
		if o := f.Show(f.Leader()); o.GetVersion() < before {
			return fmt.Errorf("after the restart the configuration is %d, not %d", o.GetVersion(), before)
		}
		return nil
	}},
	{"wiped", "core machines come back empty, one after another", Options{}, func(f *Fleet) error {
		for range 4 {
			n := f.pick(func(n *Node) bool { return n.HasDisk && n.IsUp })
			f.Kill(n)
			f.Wipe(n)
			f.RunFor(time.Duration(f.random.Intn(3000)) * time.Millisecond)
			f.Start(n)
			f.RunFor(12 * time.Second)
		}
		return f.settled()
	}},
	{"slow-disk", "the disks of the leader and of another voter take 0.1 to 5 s for each sync", Options{}, func(f *Fleet) error {
		for i, pause := range []time.Duration{100, 3000, 400, 900, 3000, 5000} {
			leader := f.leader()
			slow := []*Node{f.pick(func(n *Node) bool { return n.HasDisk && n != leader })}
			if i%2 == 0 {
				slow = append(slow, leader)
			}
			for _, n := range slow {
				f.SlowDisk(n, pause*time.Millisecond)
			}
			f.RunFor(2 * time.Second)
			f.change()
			f.RunFor(4 * time.Second)
			for _, n := range slow {
				f.SlowDisk(n, 0)
			}
			f.RunFor(2 * time.Second)
		}
		f.RunFor(4 * time.Second)
		return f.settled()
	}},
	{"failing-disk", "disks fail to write and to sync, their rings, then their images; the processes end and come back, one wiped", Options{}, func(f *Fleet) error {
		for i, kind := range []string{"ring", "image", ""} {
			n := f.leader()
			if i == 1 {
				n = f.pick(func(n *Node) bool { return n.HasDisk && n.IsUp })
			}
			n.disk.Fault, n.disk.Only = fmt.Errorf("no room"), kind
			for range 3 {
				f.change()
				f.RunFor(time.Second)
			}
			if n.IsUp && kind != "image" {
				return fmt.Errorf("%s goes on with a disk that fails", n.Name)
			}
			if n.IsUp {
				f.Kill(n)
			}
			if f.Mend(n); i == 2 {
				f.Wipe(n)
			}
			f.Start(n)
			f.RunFor(6 * time.Second)
		}
		return f.reads()
	}},
	{"power", "the power of the leader or of another voter goes at each step of a put's way to the disk", Options{}, func(f *Fleet) error {
		for step := range 8 {
			n := f.leader()
			if f.random.Intn(3) == 0 {
				n = f.pick(func(n *Node) bool { return n.HasDisk && n.IsUp })
			}
			n.disk.CutAfter(step)
			f.change()
			f.RunFor(time.Second)
			if n.IsUp {
				f.Kill(n)
			}
			f.Mend(n)
			f.Start(n)
			f.RunFor(3 * time.Second)
			if err := f.reads(); err != nil {
				return err
			}
		}
		return f.settled()
	}},
	{"wiped-after-yes", "the disks of the leader and of another voter are lost right after a put was accepted", Options{}, func(f *Fleet) error {
		for range 3 {
			leader := f.leader()
			other := f.pick(func(n *Node) bool { return n.HasDisk && n.IsUp && n != leader })
			before := f.accepted
			f.change()
			for i := 0; f.accepted == before && i < 300; i++ {
				f.RunFor(10 * time.Millisecond)
			}
			lost := []*Node{leader, other}
			for _, n := range lost {
				f.Kill(n)
				f.Wipe(n)
			}
			f.RunFor(time.Duration(f.random.Intn(3000)) * time.Millisecond)
			for _, n := range lost {
				f.Start(n)
			}
			f.RunFor(6 * time.Second)
			if err := f.reads(); err != nil {
				return err
			}
			f.RunFor(8 * time.Second)
		}
		return f.settled()
	}},
	{"puts", "configurations in bursts, racing, amid a leader's end", Options{}, func(f *Fleet) error {
		base := uint64(1)
		for i := range 12 {
			n := f.pick(func(n *Node) bool { return n.IsUp })
			if i%4 == 3 {
				if leader := f.Leader(); leader != nil {
					f.Kill(leader)
					f.after(3*time.Second, func() { f.Start(leader) })
				}
			}
			var results []*schema.OperatorResponse
			for range 2 {
				at := f.pick(func(n *Node) bool { return n.IsUp })
				f.Operate(at, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(DefaultDocument), Base: base}, func(o *schema.OperatorResponse) {
					results = append(results, o)
				})
			}
			f.RunFor(2 * time.Second)
			wins := 0
			for _, o := range results {
				if o.Refusal == schema.RefusalKind_REFUSAL_NONE {
					wins++
				}
			}
			if wins > 1 {
				f.addViolation("%d racing puts on base %d were accepted", wins, base)
			}
			f.RunFor(4 * time.Second)
			if o := f.Show(n); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
				base = o.Version
			}
		}
		return f.settled()
	}},
	{"emptied", "districts are emptied and restored amid a leader's end", Options{}, func(f *Fleet) error {
		for _, zone := range []string{"r0-d0", "r1-d1"} {
			if !f.Move(zone, true) {
				return fmt.Errorf("emptying %s was not accepted", zone)
			}
			if leader := f.Leader(); leader != nil {
				f.Kill(leader)
				f.after(4*time.Second, func() { f.Start(leader) })
			}
			f.RunFor(9 * time.Second)
			if !f.Move(zone, false) {
				return fmt.Errorf("restoring %s was not accepted", zone)
			}
			f.RunFor(5 * time.Second)
		}
		return f.settled()
	}},
	{"backends", "back ends crash, drain, come and go", Options{}, func(f *Fleet) error {
		for range 8 {
			b := f.Backends[f.random.Intn(len(f.Backends))]
			switch f.random.Intn(3) {
			case 0:
				f.Crash(b)
			case 1:
				f.drain(b)
			case 2:
				f.AddBackend(b.Service, b.Zone)
			}
			f.RunFor(2 * time.Second)
		}
		return f.settled()
	}},
	{"release", "the back ends of a service are replaced one by one; the new ones are cold and slow", Options{}, func(f *Fleet) error {
		for _, service := range []string{"service0", "service3"} {
			for _, b := range f.of(service)[:4] {
				f.AddBackend(b.Service, b.Zone)
				f.RunFor(1500 * time.Millisecond)
				f.drain(b)
				f.RunFor(1500 * time.Millisecond)
			}
		}
		f.RunFor(12 * time.Second)
		return f.settled()
	}},
	{"all-cold", "every back end of each service crashes and comes back cold, after 3 s, then after 1 s", Options{}, func(f *Fleet) error {
		f.hotKey = true
		for _, away := range []time.Duration{3 * time.Second, processBoot} {
			for _, b := range f.Backends {
				f.Crash(b)
				b.isSilent = false
			}
			f.RunFor(away)
			for _, b := range f.Backends {
				f.Return(b)
			}
			f.RunFor(15 * time.Second)
		}
		return f.settled()
	}},
	{"reuse", "addresses pass to back ends of other services", Options{}, func(f *Fleet) error {
		for i := range 6 {
			list := f.of(fmt.Sprintf("service%d", i%4))
			f.Reuse(list[f.random.Intn(len(list))], fmt.Sprintf("service%d", (i+1)%4))
			f.RunFor(3 * time.Second)
		}
		return f.settled()
	}},
	{"bad-outcomes", "back ends run requests and lose, garble, swap, cut or delay the answers", Options{}, func(f *Fleet) error {
		for _, mode := range []Mode{ModeLose, ModeGarbage, ModeForeign, ModeCut, ModeSlow} {
			for _, count := range []int{2, 12} {
				for s := range 4 {
					for i, b := range f.of(fmt.Sprintf("service%d", s)) {
						if b.Mode = ModeGood; i < count {
							b.Mode = mode
						}
					}
				}
				f.RunFor(3 * time.Second)
			}
		}
		for _, b := range f.Backends {
			b.Mode = ModeGood
		}
		return nil
	}},
	{"backend-frozen", "back ends freeze in mid-work and thaw", Options{}, func(f *Fleet) error {
		for range 5 {
			b := f.Backends[f.random.Intn(len(f.Backends))]
			b.frozen = f.Now + time.Duration(1+f.random.Intn(12))*time.Second
			f.RunFor(4 * time.Second)
		}
		return f.settled()
	}},
	{"hot-key", "one key draws most of a keyed service's traffic while its back end drains", Options{}, func(f *Fleet) error {
		f.hotKey = true
		f.RunFor(8 * time.Second)
		busiest, most := f.of("service3")[0], 0
		counts := map[string]int{}
		for _, a := range f.History.Arrivals {
			if counts[a.Instance]++; a.Service == "service3" && counts[a.Instance] > most {
				busiest, most = f.backend(a.Instance), counts[a.Instance]
			}
		}
		f.AddBackend("service3", busiest.Zone)
		f.drain(busiest)
		f.RunFor(15 * time.Second)
		return f.settled()
	}},
	{"backend-cut", "links from proxies to back ends of the keyed service are cut in mid-leg while their keys move", Options{}, func(f *Fleet) error {
		for range 5 {
			list := f.of("service3")
			b := list[f.random.Intn(len(list))]
			b.Mode = ModeSlow
			f.RunFor(time.Second)
			for _, n := range f.Nodes {
				f.cuts[[2]string{b.Instance, n.Name}] = true
				f.cuts[[2]string{n.Name, b.Instance}] = f.random.Intn(2) == 0
			}
			for _, id := range slices.Sorted(maps.Keys(b.open)) {
				b.open[id](fmt.Errorf("connection reset on the way"))
			}
			b.State = "draining"
			f.RunFor(5 * time.Second)
			for _, n := range f.Nodes {
				delete(f.cuts, [2]string{b.Instance, n.Name})
				delete(f.cuts, [2]string{n.Name, b.Instance})
			}
		}
		return f.settled()
	}},
	{"rolling", "machines are stopped as planned and started, one after another", Options{}, func(f *Fleet) error {
		for i := range 6 {
			n := f.Nodes[(i*5+f.random.Intn(5))%len(f.Nodes)]
			f.Stop(n)
			for i := 0; n.IsUp && i < 200; i++ {
				f.RunFor(100 * time.Millisecond)
			}
			if n.IsUp {
				return fmt.Errorf("%s did not end its planned stop", n.Name)
			}
			f.Start(n)
			f.RunFor(1500 * time.Millisecond)
		}
		return f.settled()
	}},
	{"emptied-cut", "a district is emptied while its region is cut off, then while the core is split", Options{}, func(f *Fleet) error {
		f.Split(isInRegion("r1"), true)
		f.RunFor(time.Second)
		if !f.Move("r1-d0", true) {
			return fmt.Errorf("emptying r1-d0 was not accepted")
		}
		if want := []string{"r1-d0", "r1-d1"}; !slices.Equal(f.lacking, want) {
			return fmt.Errorf("the operator was told that %v lack the emptying, not %v", f.lacking, want)
		}
		f.RunFor(8 * time.Second)
		f.Split(isInRegion("r1"), false)
		f.RunFor(8 * time.Second)
		if lacking := f.status(); lacking == nil || len(lacking) > 0 {
			return fmt.Errorf("after the region healed status tells that %v lack the emptying", lacking)
		}
		f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d1" }, true)
		if !f.Move("r2-d0", true) {
			return fmt.Errorf("emptying r2-d0 was not accepted")
		}
		f.RunFor(7 * time.Second)
		f.Split(func(n *Node) bool { return n.Zone == "r0-d0" || n.Zone == "r1-d1" }, false)
		f.RunFor(4 * time.Second)
		return f.settled()
	}},
	{"frozen-leg", "a proxy freezes between the last check of an unsafe leg and its writing; its caller repeats the id", Options{}, func(f *Fleet) error {
		for range 3 {
			f.freezeAttempt = time.Duration(3+f.random.Intn(18)) * time.Second
			f.RunFor(9 * time.Second)
		}
		f.RunFor(14 * time.Second)
		return f.settled()
	}},
	{"bad-list", "the platform's list is empty, short, repeated, lacks pages, or is an old small one", Options{}, func(f *Fleet) error {
		count := func(n *Node) int {
			total := 0
			for _, service := range f.View(n).Services {
				total += len(service.Backends)
			}
			return total
		}
		before := count(f.Leader())
		for _, fault := range []string{"empty", "short", "repeated", "missing", "stale"} {
			f.listFault = fault
			f.RunFor(4 * time.Second)
			leader := f.Leader()
			if leader == nil {
				return fmt.Errorf("no leader at %v", f.Now)
			}
			if after := count(leader); after != before {
				return fmt.Errorf("a list that is %s left %d of %d back ends", fault, after, before)
			}
		}
		f.listFault = ""
		return f.settled()
	}},
	{"chaos", "everything at once, then a last heavy blow", Options{LossPercent: 1, JitterMillis: 5, ClockError: 0.02}, func(f *Fleet) error {
		for range 12 {
			n := f.pick(func(n *Node) bool { return true })
			switch f.random.Intn(8) {
			case 0, 1:
				if n.IsUp {
					f.Kill(n)
					f.after(time.Duration(f.random.Intn(6000))*time.Millisecond, func() { f.Start(n) })
				}
			case 2:
				f.Freeze(n, time.Duration(f.random.Intn(10000))*time.Millisecond)
			case 3:
				region := fmt.Sprintf("r%d", f.random.Intn(3))
				f.Split(isInRegion(region), true)
				f.after(time.Duration(f.random.Intn(9000))*time.Millisecond, func() { f.Split(isInRegion(region), false) })
			case 4:
				other := f.pick(func(*Node) bool { return true })
				f.Cut(n, other, true)
				f.after(6*time.Second, func() { f.Cut(n, other, false) })
			case 5:
				if b := f.Backends[f.random.Intn(len(f.Backends))]; f.random.Intn(3) > 0 {
					f.Return(b)
				} else if b.IsUp {
					f.Crash(b)
				}
			case 6:
				if leader := f.Leader(); leader != nil {
					f.Kill(leader)
					f.after(3*time.Second, func() { f.Start(leader) })
				}
			case 7:
				f.Split(func(o *Node) bool { return o == n }, true)
				f.after(7*time.Second, func() { f.Split(func(o *Node) bool { return o == n }, false) })
			}
			f.RunFor(time.Duration(500+f.random.Intn(4000)) * time.Millisecond)
		}
		f.RunFor(12 * time.Second)
		for _, a := range f.Nodes {
			for _, b := range f.Nodes {
				f.Cut(a, b, false)
			}
		}
		f.startAll()
		for _, b := range f.Backends {
			f.Return(b)
		}
		f.RunFor(5 * time.Second)
		f.killAll(isInRegion(f.owner("service3", "/book").Region))
		if err := f.serves("the last blow", finalLoss); err != nil {
			return err
		}
		for range 20 {
			if o := f.Show(f.pick(func(n *Node) bool { return n.IsUp })); o != nil && o.Refusal == schema.RefusalKind_REFUSAL_NONE {
				return f.settled()
			}
			f.RunFor(time.Second)
		}
		return fmt.Errorf("no read-back within 20 s after the last blow")
	}},
}

// Fault is a protection that can be switched off, the scenario that then shows it, and the rule or invariant whose check must fail.
type Fault struct{ Name, About, Scenario, Caught string }

// Faults are the deliberate ones, at least one for each rule.
var Faults = []Fault{
	{"claims", "keepers take every claim", "calm", "rule once"},
	{"grants", "proxies act as if they always held a grant", "region-cut", "began under"},
	{"grants", "proxies act as if they always held a grant", "region-cut", "rule once"},
	{"touched", "a proxy forgets that a leg was written", "bad-outcomes", "rule once"},
	{"seal", "seals are made to fit whatever came", "bad-outcomes", "rule sealed"},
	{"identity", "connections are used without proof", "reuse", "rule allowed"},
	{"stale", "nodes decide on an image that is 12 s old", "release", "rule gone"},
	{"stale", "nodes decide on an image that is 12 s old", "puts", "rule effect"},
	{"stale", "nodes decide on an image that is 12 s old", "emptied", "rule emptied"},
	{"read-back", "the door tells an older version", "puts", "rule read-back"},
	{"race", "a put's base is forged", "puts", "rule read-back"},
	{"unsynced", "disks tell of syncs that were none", "all-killed", "two leaders in term"},
	{"stop", "a planned stop does not wait", "rolling", "rule dropped"},
	{"budget", "the repeat budget counts first legs twenty times", "bad-outcomes", "rule repeats"},
	{"cold", "proxies see neither the cold mark nor that a back end refused them", "all-cold", "rule cold"},
	{"home", "proxies take every back end as near", "calm", "rule home"},
	{"keys", "nodes do not tell of their running keyed legs", "release", "rule keys"},
}

// Play runs one scenario with one seed under load and gives the fleet with its breaches.
func Play(s Scenario, seed int64, violation string) (*Fleet, error) {
	shape := s.Shape
	shape.Seed, shape.Fault = seed, violation
	f := New(shape)
	if err := f.Begin(); err != nil {
		return f, err
	}
	f.RunFor(4 * time.Second)
	f.staleFrom = f.Now
	f.Load("load", 60, 40*time.Second)
	err := s.Script(f)
	f.RunFor(8 * time.Second)
	f.Verdicts = f.Judge()
	return f, err
}
