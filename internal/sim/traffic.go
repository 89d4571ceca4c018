package sim

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/directory"
	"topazshed/internal/failover"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

type found struct {
	match    *directory.Match
	until    time.Duration
	isCutOff bool
}

// Ask is what a simulated caller wants.
type Ask struct {
	Attempt, Method, Service, Path, Region, Key string
	Wait                                        time.Duration
	HasTwin                                     bool
	Age                                         time.Duration
}

func (a Ask) isUnsafe() bool { return a.Method != http.MethodGet }

type carried struct {
	fleet   *Fleet
	node    *Node
	boot    int
	id      uint64
	request *proxy.Request
	machine *proxy.RequestMachine
	respond func(o *proxy.Result, broken string)
	step    int
	isOver  bool
	backend *Backend
	peer    *Node
	peerRun int
}

func (n *Node) sorted() []*carried {
	var list []*carried
	for _, id := range slices.Sorted(maps.Keys(n.flying)) {
		list = append(list, n.flying[id])
	}
	return list
}

func (f *Fleet) local(n *Node) *controlplane.Local {
	local := n.core.Local()
	switch f.Options.Fault {
	case "grants":
		local.LeaseUntil = f.clock(n) + time.Hour
	case "stale":
		old := f.stale[n.Name]
		if old == nil || f.staleFrom == 0 || f.clock(n)-old.TickAt > 12*time.Second || old.View.Head.Version == 0 {
			copied := *local
			f.stale[n.Name], old = &copied, &copied
		}
		local.View = old.View
	case "cold", "home":
		view := *local.View
		view.Services = map[string]*store.Service{}
		for name, service := range local.View.Services {
			copied := *service
			copied.Backends = nil
			for _, b := range service.Backends {
				row := &schema.Backend{Service: b.Service, Instance: b.Instance, Address: b.Address, Zone: b.Zone, State: b.State, Failing: b.Failing, Cold: b.Cold && f.Options.Fault != "cold"}
				if f.Options.Fault == "home" {
					row.Zone = n.Zone
				}
				copied.Backends = append(copied.Backends, row)
			}
			view.Services[name] = &copied
		}
		local.View = &view
	}
	return local
}

func (f *Fleet) carry(n *Node, r *http.Request, respond func(o *proxy.Result, broken string)) {
	if !n.IsUp || n.isShut {
		respond(nil, "dial")
		return
	}
	f.on(n, n.Boot, func() {
		q, fault := proxy.ReadRequest(r)
		if fault != nil {
			respond(proxy.CallerResult(n.ident, r.Header.Get(proxy.HeaderAttempt), nil, fault), "")
			return
		}
		q.SetDigest()
		n.serial++
		c := &carried{fleet: f, node: n, boot: n.Boot, id: n.serial, request: q, respond: respond}
		c.machine = proxy.NewRequestMachine(proxy.RequestOptions{Self: &schema.Node{Id: n.ident, Zone: n.Zone, Region: n.Region}, Loads: n.loads, Kept: n.kept, Draw: n.random.Int63n, Request: q,
			Owner: fmt.Sprintf("%s/%d", n.ident, n.serial), Begun: f.clock(n)})
		n.flying[c.id] = c
		c.next(0, proxy.Event{Kind: proxy.EventBegun})
	})
}

func (c *carried) answer(o *proxy.Result, broken string) {
	if !c.isOver {
		c.isOver = true
		delete(c.node.flying, c.id)
		c.respond(o, broken)
	}
}

func (c *carried) next(step int, e proxy.Event) {
	f, n := c.fleet, c.node
	f.on(n, c.boot, func() {
		if c.isOver || step != c.step {
			return
		}
		if f.Options.Fault == "touched" {
			e.IsTouched = false
		}
		if f.Options.Fault == "budget" {
			for range 20 {
				n.loads.First(f.clock(n), c.request.Service)
			}
		}
		before := c.machine.Repeats
		order := c.machine.Next(f.clock(n), f.local(n), e)
		f.Counts["repeats"] += c.machine.Repeats - before
		if order.Kind != proxy.OrderListen {
			c.step++
		}
		c.obey(order)
	})
}

func (c *carried) obey(order proxy.Order) {
	f, n, step := c.fleet, c.node, c.step
	switch order.Kind {
	case proxy.OrderReply:
		if order.Fault != nil {
			f.Counts[order.Fault.Result+" "+order.Fault.Kind]++
		}
		c.answer(proxy.CallerResult(n.ident, c.request.Attempt, order.Result, order.Fault), "")
	case proxy.OrderWait:
		if order.Wanted != "" {
			n.core.Want(f.clock(n), order.Wanted)
			f.perform(n)
		}
		f.after(max(order.For, time.Microsecond), func() { c.next(step, proxy.Event{Kind: proxy.EventWoken}) })
	case proxy.OrderConnect:
		c.connect(step, order)
	case proxy.OrderSend:
		c.send(step, order)
	case proxy.OrderReserve:
		c.reserve(step, order, func(o *schema.ReservationResponse) {
			c.next(step, proxy.Event{Kind: proxy.EventReserved, Reserved: o})
		})
	case proxy.OrderReplay:
		tell := func(o *schema.ReplayResponse) { c.next(step, proxy.Event{Kind: proxy.EventReplayed, Replayed: o}) }
		f.after(order.For, func() { tell(nil) })
		f.call(n, order.Address, &schema.Frame{Body: &schema.Frame_ReplayRequest{ReplayRequest: order.Replay}}, func(o *schema.Frame) { tell(o.GetReplayResponse()) })
	case proxy.OrderRelease:
		left := len(order.Reservations)
		c.reserve(step, order, func(*schema.ReservationResponse) {
			if left--; left == 0 {
				c.next(step, proxy.Event{Kind: proxy.EventReleased})
			}
		})
	}
}

func (c *carried) reserve(step int, order proxy.Order, take func(*schema.ReservationResponse)) {
	f := c.fleet
	for _, call := range order.Reservations {
		isNotified := false
		tell := func(o *schema.ReservationResponse) {
			if !isNotified {
				isNotified = true
				take(o)
			}
		}
		f.after(order.For, func() { tell(nil) })
		f.call(c.node, call.Member.Address, &schema.Frame{Body: &schema.Frame_ReservationRequest{ReservationRequest: call.Request}}, func(o *schema.Frame) { tell(o.GetReservationResponse()) })
	}
}

func (c *carried) connect(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	tell := func(after time.Duration, err error) {
		f.after(after, func() { c.next(step, proxy.Event{Kind: proxy.EventConnected, Err: err}) })
	}
	c.backend, c.peer = nil, nil
	if name, isProxy := strings.CutSuffix(order.Address, ":p"); isProxy {
		peer := f.Node(name)
		span := 2 * f.delay(n, peer)
		switch {
		case f.cuts[[2]string{n.Name, name}] || f.cuts[[2]string{name, n.Name}] || f.Now < peer.frozen || !peer.IsUp && peer.isSilent:
			tell(order.For, fmt.Errorf("connect to %s: no answer", name))
		case !peer.IsUp || peer.isShut:
			tell(span, fmt.Errorf("connect to %s: refused", name))
		case peer.ident != order.Who.Instance:
			tell(span, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: "topazshed", Instance: peer.ident}})
		default:
			c.peer, c.peerRun = peer, peer.Boot
			tell(span, nil)
		}
		return
	}
	b := f.at(order.Address)
	switch {
	case b == nil:
		span, err := time.Millisecond, f.refused(order.Address)
		if listed := f.backend(order.Who.Instance); listed != nil && listed.isSilent {
			span, err = order.For, fmt.Errorf("connect to %s: no answer", order.Address)
		}
		tell(span, err)
	case f.cuts[[2]string{n.Name, b.Instance}] || f.Now < b.frozen:
		tell(order.For, fmt.Errorf("connect to %s: no answer", order.Address))
	case (b.Service != order.Who.Service || b.Instance != order.Who.Instance) && f.Options.Fault != "identity":
		tell(time.Millisecond, &proxy.IdentityError{Want: order.Who, Got: proxy.Identity{Service: b.Service, Instance: b.Instance}})
	default:
		c.backend = b
		tell(time.Millisecond, nil)
	}
}

func (c *carried) send(step int, order proxy.Order) {
	f, n := c.fleet, c.node
	finish := func(e proxy.Event) { c.next(step, e) }
	late := proxy.Event{Kind: proxy.EventAnswered, Err: os.ErrDeadlineExceeded, IsTouched: true}
	f.after(order.For, func() { finish(late) })
	if c.peer == nil {
		b := c.backend
		f.began(c.request, order.Header.Get(proxy.HeaderNumber))
		if f.freezeAttempt > 0 && c.request.Method != http.MethodGet {
			f.Freeze(n, f.freezeAttempt)
			f.freezeAttempt = 0
		}
		f.after(500*time.Microsecond, func() {
			f.onWire(n, c.boot, func() {
				switch {
				case !b.IsUp:
					finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset by %s", b.Instance), IsTouched: true})
				case !f.cuts[[2]string{n.Name, b.Instance}]:
					f.arrive(b, n, order, c.request.Method, finish)
				}
			})
		})
		return
	}
	peer, run := c.peer, c.peerRun
	link, back := [2]string{n.Name, peer.Name}, [2]string{peer.Name, n.Name}
	f.after(f.delay(n, peer), func() {
		if f.cuts[link] || f.Now < peer.frozen && !peer.IsUp {
			return
		}
		if !peer.IsUp || peer.Boot != run {
			finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset by %s", peer.Name), IsTouched: true})
			return
		}
		target, err := url.Parse("http://" + peer.Name + order.Path)
		if err != nil {
			f.addViolation("a forward has path %q", order.Path)
			return
		}
		f.carry(peer, &http.Request{Method: c.request.Method, URL: target, Header: order.Header.Clone()}, func(o *proxy.Result, broken string) {
			f.after(f.delay(n, peer), func() {
				switch {
				case f.cuts[back]:
				case broken != "":
					finish(proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("the proxy's connection broke: %s", broken), IsTouched: true})
				default:
					finish(proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true})
				}
			})
		})
	})
}

func (f *Fleet) began(q *proxy.Request, number string) {
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

func (f *Fleet) onWire(n *Node, boot int, do func()) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if f.Now < n.frozen {
		f.after(n.frozen-f.Now+time.Microsecond, func() { f.onWire(n, boot, do) })
		return
	}
	do()
}

// Stop ends a machine as planned: it is told off, serves on, finishes what is in flight, then ends.
func (f *Fleet) Stop(n *Node) {
	at, boot := f.Now, n.Boot
	f.on(n, boot, func() {
		n.core.Stop(f.clock(n))
		f.perform(n)
	})
	linger := constants.StopLinger
	if f.Options.Fault == "stop" {
		linger = 0
	}
	f.after(linger, func() {
		n.isShut = n.Boot == boot
		f.finish(n, boot, at, f.Now+constants.StopMost-constants.StopLinger)
	})
}

func (f *Fleet) finish(n *Node, boot int, at, until time.Duration) {
	if !n.IsUp || n.Boot != boot {
		return
	}
	if len(n.flying) > 0 && f.Now < until && f.Options.Fault != "stop" {
		f.after(10*time.Millisecond, func() { f.finish(n, boot, at, until) })
		return
	}
	f.Kill(n)
	n.isSilent = false
	f.History.Fleet = append(f.History.Fleet, checker.FleetEvent{At: at, End: f.Now, What: "stop", Node: n.Name, Proxy: n.address + ":p"})
}

// Request is one simulated sending; done is told its response: sealed, refused, doubtful, unreached, broken or late.
func (f *Fleet) Request(attempt, method, service, path string, region string, wait time.Duration, done func(result string)) {
	f.send(Ask{Attempt: attempt, Method: method, Service: service, Path: path, Region: region, Wait: wait}, 1, func(r *checker.Reply) {
		switch {
		case r == nil:
			done("unreached")
		case r.Result != "":
			done(r.Result)
		default:
			done(r.Broken)
		}
	})
}

func (f *Fleet) send(a Ask, serial int, done func(*checker.Reply)) {
	name := a.Region + "/" + a.Service + a.Path
	until := f.Now + a.Wait
	if m := f.matches[name]; m != nil && f.Now < m.until {
		f.post(a, serial, m, until, done)
		return
	}
	var options []*Node
	for _, n := range f.Nodes {
		if n.IsUp && n.core != nil && !n.isShut && f.Now >= n.frozen {
			options = append(options, n)
		}
	}
	if len(options) == 0 {
		done(nil)
		return
	}
	n := options[f.random.Intn(len(options))]
	f.after(f.far(a.Region, n), func() { f.match(n, n.Boot, a, serial, until, 0, done) })
}

func (f *Fleet) far(region string, n *Node) time.Duration {
	if region == n.Region {
		return 500 * time.Microsecond
	}
	return between(region, n.Region)
}

func (f *Fleet) match(n *Node, boot int, a Ask, serial int, until, parked time.Duration, done func(*checker.Reply)) {
	isOver := false
	f.after(min(time.Second, max(until-f.Now, 0)), func() {
		if !isOver {
			isOver = true
			done(nil)
		}
	})
	var try func()
	try = func() {
		f.on(n, boot, func() {
			if isOver {
				return
			}
			match, fault, wanted := directory.Decide(f.clock(n), f.local(n), a.Region, a.Service, a.Path, parked, n.random.Int63n)
			if wanted != "" {
				n.core.Want(f.clock(n), wanted)
				f.perform(n)
			}
			if match == nil && fault == nil {
				parked += constants.ParkStep
				f.after(constants.ParkStep, try)
				return
			}
			isOver = true
			seen := checker.MatchSeen{At: f.Now, Admin: n.Name, Service: a.Service, Path: a.Path, Status: http.StatusOK, Boot: boot, IsCutOff: f.isOutOfReach(n)}
			f.after(f.far(a.Region, n), func() {
				if fault != nil {
					seen.Status = fault.Status
					f.History.Matches = append(f.History.Matches, seen)
					done(&checker.Reply{At: f.Now, End: f.Now, Attempt: a.Attempt, Service: a.Service, Path: a.Path, Result: proxy.ResultRefused, Kind: fault.Kind, Status: fault.Status, Later: fault.RetryAfter, IsCutOff: seen.IsCutOff})
					return
				}
				seen.Version, seen.Zone = match.Version, match.Proxies[0].Zone
				f.History.Matches = append(f.History.Matches, seen)
				m := &found{match, f.Now + time.Duration(match.LiveMilli)*time.Millisecond, seen.IsCutOff}
				f.matches[a.Region+"/"+a.Service+a.Path] = m
				f.post(a, serial, m, until, done)
			})
		})
	}
	try()
}

func (f *Fleet) post(a Ask, serial int, m *found, until time.Duration, done func(*checker.Reply)) {
	match := m.match
	chosen := match.Proxies[f.random.Intn(len(match.Proxies))]
	n := f.Node(strings.TrimSuffix(chosen.Address, ":p"))
	left := until - f.Now
	r := &checker.Reply{At: f.Now, Service: a.Service, Path: a.Path, Method: a.Method, Attempt: a.Attempt, Send: fmt.Sprintf("%s/%d", a.Attempt, serial), Zone: chosen.Zone, Proxy: chosen.Address,
		IsUnsafe: a.isUnsafe(), IsProper: true, IsCutOff: m.isCutOff || f.isOutOfReach(n)}
	limit := left
	if !r.IsUnsafe {
		limit = min(limit, 2*time.Second)
	}
	isOver := false
	end := func(o *proxy.Result, broken string) {
		if isOver {
			return
		}
		isOver = true
		r.End, r.Broken = f.Now, broken
		if o != nil {
			r.Status, r.Result = o.Status, o.Header.Get(proxy.HeaderOutcome)
			if r.Result == proxy.ResultSealed {
				if r.Digest = proxy.ContentDigest(o.Body); o.Header.Get(proxy.HeaderAttempt) != a.Attempt || o.Status == http.StatusOK && !strings.Contains(string(o.Body), `"attempt":"`+a.Attempt+`"`) {
					r.Digest = "not for this attempt"
				}
			} else if _, text, isCut := strings.Cut(string(o.Body), `"kind":"`); isCut {
				r.Kind, _, _ = strings.Cut(text, `"`)
			}
			if seconds, err := strconv.Atoi(o.Header.Get("Retry-After")); err == nil {
				r.Later = time.Duration(seconds) * time.Second
			}
		}
		f.History.Replies = append(f.History.Replies, r)
		done(r)
	}
	f.after(limit, func() { end(nil, "late") })
	target, err := url.Parse("http://" + n.Name + "/" + a.Service + a.Path)
	if err != nil {
		f.addViolation("a caller has path %q", a.Path)
		return
	}
	request := &http.Request{Method: a.Method, URL: target, Header: http.Header{}}
	request.Header.Set(proxy.HeaderAttempt, a.Attempt)
	request.Header.Set(proxy.HeaderWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(proxy.HeaderOrigin, match.Origin)
	request.Header.Set("X-Send", r.Send)
	if a.Age > 0 {
		request.Header.Set(proxy.HeaderAge, strconv.FormatInt(a.Age.Milliseconds()+1, 10))
	}
	if a.Key != "" {
		request.Header.Set(proxy.HeaderKey, a.Key)
	}
	span := f.far(a.Region, n)
	f.after(span, func() {
		if !n.IsUp && n.isSilent {
			return
		}
		f.carry(n, request, func(o *proxy.Result, broken string) {
			f.after(span, func() { end(o, broken) })
		})
	})
}

// Attempt carries one attempt to its end as an honest caller would.
func (f *Fleet) Attempt(a Ask) {
	call := &checker.Call{At: f.Now, Service: a.Service, Path: a.Path, Attempt: a.Attempt, IsUnsafe: a.isUnsafe()}
	until := f.Now + a.Wait
	kind := "safe "
	if call.IsUnsafe {
		kind = "unsafe "
	}
	isDoubtful := a.HasTwin
	end := func(result string) {
		if result == "declined" && isDoubtful {
			result = "doubtful"
		}
		call.Result, call.End = result, f.Now
		f.History.Calls = append(f.History.Calls, call)
		f.Counts[kind+result]++
		if result != "sealed" {
			f.Lost[kind+result+" "+call.Last]++
		}
	}
	last := "none"
	var try func()
	try = func() {
		left := until - f.Now
		if left <= 0 || call.Sends >= 40 {
			end(last)
			return
		}
		call.Sends++
		ask := a
		ask.Wait = left
		if isDoubtful && call.IsUnsafe {
			ask.Age = f.Now - call.At
		}
		f.send(ask, call.Sends, func(r *checker.Reply) {
			pause := time.Duration(100+f.random.Intn(100)*min(call.Sends, 6)) * time.Millisecond
			if r == nil {
				f.after(300*time.Millisecond, try)
				return
			}
			call.Last = strings.TrimSpace(r.Kind + " " + r.Broken)
			if r.Result != proxy.ResultSealed {
				delete(f.matches, a.Region+"/"+a.Service+a.Path)
			}
			switch r.Result {
			case proxy.ResultSealed:
				end("sealed")
				return
			case proxy.ResultRefused:
				last = "declined"
				if r.Status < 500 && r.Status != http.StatusConflict {
					end("declined")
					return
				}
				if until-f.Now <= r.Later+50*time.Millisecond {
					end("declined")
					return
				}
				pause = r.Later + time.Duration(f.random.Intn(200))*time.Millisecond
			default:
				last = "none"
				isDoubtful = true
				if call.IsUnsafe && r.Result == proxy.ResultAmbiguous {
					end("doubtful")
					return
				}
			}
			f.after(pause, try)
		})
	}
	try()
}

// Load sends requests at a rate for a while; one unsafe caller in seven is impatient and sends its attempt id twice at once.
func (f *Fleet) Load(name string, perSecond int, span time.Duration) {
	total := int(span.Seconds() * float64(perSecond))
	for i := range total {
		f.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			a := Ask{Attempt: fmt.Sprintf("%s-%06d", name, i), Method: http.MethodGet, Region: fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)), Wait: 5 * time.Second}
			switch f.random.Intn(5) {
			case 4:
				a.Method, a.Service, a.Path = http.MethodPost, "service3", "/book"
				a.Key = fmt.Sprintf("key-%d", f.random.Intn(40))
				if f.hotKey && f.random.Intn(10) < 6 {
					a.Key = "key-hot"
				}
			case 0:
				a.Method, a.Service, a.Path = http.MethodPost, "service1", "/pay"
				if i%9 == 0 {
					a.HasTwin = true
					late := a
					late.Age = time.Duration(8+f.random.Intn(24)) * time.Second
					f.after(late.Age, func() {
						f.send(late, 92, func(r *checker.Reply) {
							if r != nil {
								f.Counts["late repeat "+r.Result]++
							}
						})
					})
				}
				if i%7 == 0 {
					twin := a
					a.HasTwin = true
					twin.Region, twin.Wait = fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)), 4*time.Second
					f.after(time.Duration(f.random.Intn(400))*time.Millisecond, func() {
						f.send(twin, 91, func(r *checker.Reply) {
							if r != nil {
								f.Counts["impatient "+r.Result]++
							}
						})
					})
				}
			case 1:
				a.Service, a.Path = "service2", "/home/1"
			default:
				a.Service, a.Path = "service0", "/read/1"
			}
			f.Attempt(a)
		})
	}
}

// Judge has the outside history judged and adds what it finds to the breaches.
func (f *Fleet) Judge() []*checker.Verdict {
	verdicts := checker.Check(f.History)
	for _, v := range verdicts {
		for _, text := range v.Broken[:min(5, len(v.Broken))] {
			f.addViolation("rule %s: %s", v.Rule, text)
		}
	}
	return verdicts
}
