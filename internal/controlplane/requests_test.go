package controlplane

import (
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"testing"
	"time"

	"topazshed/internal/operations"
	"topazshed/internal/routes"
	"topazshed/internal/schema"
)

// fleet is three disk machines and a reader of a routed fleet, with links that can be cut.
type fleet struct {
	t         testing.TB
	now       time.Duration
	names     []string
	machines  map[string]*Machine
	isDown    map[string]bool
	responses map[operations.Ticket]*schema.OperatorResponse
	ticket    operations.Ticket
	// received is called after a machine has taken a frame and before it has performed what follows; nil is nothing.
	received func(*Machine)
}

func newFleet(t *testing.T) *fleet { return newFleetOf(t) }

func newFleetOf(t testing.TB) *fleet {
	f := &fleet{t: t, now: time.Hour, names: []string{"a", "b", "c", "r"}, machines: map[string]*Machine{}, isDown: map[string]bool{}, responses: map[operations.Ticket]*schema.OperatorResponse{}}
	random := rand.New(rand.NewSource(3))
	for _, name := range f.names {
		self := &schema.Node{Id: "id-" + name, Address: name, Proxy: name, Admin: name, Zone: "z", Region: "g", Disk: name != "r", Incarnation: 1, State: schema.NodeState_NODE_READY}
		f.machines[name] = New(f.now, Options{Self: self, Seeds: []string{"a", "b", "c"}, Draw: random.Int63n, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Routes: &RouteOptions{LongestLease: 10 * time.Second, Zones: map[string]string{"z": "g", "y": "g"}, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
	}
	f.run(8 * time.Second)
	if f.leader() == "" || len(f.machines[f.leader()].raft.Members().Voters) != 3 {
		t.Fatal("no leader of three voters")
	}
	return f
}

func (f *fleet) run(span time.Duration) {
	for until := f.now + span; f.now < until; f.now += 20 * time.Millisecond {
		for _, name := range f.names {
			if f.isDown[name] {
				continue
			}
			control := f.machines[name]
			control.Tick(f.now)
			for range 12 {
				effects := control.Take()
				for _, o := range effects.Responses {
					f.responses[o.Ticket] = o.Response
				}
				if !effects.IsWork {
					break
				}
				control.Synced(f.now, effects)
				for _, s := range effects.Sends {
					if to := f.machines[s.To]; to != nil && !f.isDown[s.To] {
						to.Receive(f.now, s.Frame)
						if f.received != nil {
							f.received(to)
						}
					}
				}
			}
		}
	}
}

func (f *fleet) leader() string {
	for _, name := range f.names {
		if !f.isDown[name] && f.machines[name].IsLeading() {
			return name
		}
	}
	return ""
}

// other gives a running machine that does not lead.
func (f *fleet) other(nth int) string {
	var names []string
	for _, name := range f.names {
		if !f.isDown[name] && !f.machines[name].IsLeading() {
			names = append(names, name)
		}
	}
	return names[nth%len(names)]
}

// operate gives a request to a machine, and gives its ticket.
func (f *fleet) operate(at string, request *schema.OperatorRequest) operations.Ticket {
	f.ticket++
	f.machines[at].Operate(f.now, f.ticket, request, nil)
	return f.ticket
}

func (f *fleet) refused(ticket operations.Ticket) schema.RefusalKind {
	f.t.Helper()
	response := f.responses[ticket]
	if response == nil {
		f.t.Fatalf("request %d has no answer", ticket)
	}
	return response.Refusal
}

func configOf(generation, base uint64, text string) *schema.OperatorRequest {
	return &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: &schema.RouteConfig{Version: generation, Base: base, Document: []byte(text),
		Services: []*schema.ServicePolicy{{Service: "copper"}},
		Routes:   []*schema.Route{{Name: text, Host: "h", Prefix: "/" + text + "/", TimeoutMs: 1000, Targets: []*schema.Target{{Service: "copper", Weight: 1}}}}}}
}

const (
	taken    = schema.RefusalKind_REFUSAL_NONE
	conflict = schema.RefusalKind_REFUSAL_CONFLICT
	invalid  = schema.RefusalKind_REFUSAL_INVALID
)

func TestRequestsOfConfigurations(t *testing.T) {
	type put struct {
		generation, base uint64
		text             string
		// at is whom the request is given to: leader, or another by number.
		at   int
		want schema.RefusalKind
	}
	const leader = -1
	first := put{1, 0, "one", leader, taken}
	for _, c := range []struct {
		name string
		puts []put
		// isLeaderLost ends the leader before the last request.
		isLeaderLost bool
		head         uint64
	}{
		{"the same again at the leader", []put{first, {1, 0, "one", leader, taken}}, false, 1},
		{"the same again at others", []put{{1, 0, "one", 0, taken}, {1, 0, "one", 1, taken}, {1, 0, "one", 2, taken}}, false, 1},
		{"the same again after two others", []put{first, {2, 1, "two", 0, taken}, {9, 2, "nine", 1, taken}, {1, 0, "one", 2, taken}, {2, 1, "two", 0, taken}}, false, 9},
		{"the same again after the leader was lost", []put{first, {2, 1, "two", 0, taken}, {1, 0, "one", 0, taken}}, true, 2},
		{"one number for two changes", []put{first, {2, 1, "two", 0, taken}, {2, 1, "too", 1, conflict}, {2, 1, "two", 1, taken}, {2, 1, "too", 0, conflict}}, false, 2},
		{"one number for two changes after the leader was lost", []put{first, {2, 1, "two", 0, taken}, {2, 1, "too", 1, conflict}}, true, 2},
		{"a base that is not there", []put{first, {3, 2, "three", 0, conflict}}, false, 1},
		{"a number that does not rise", []put{first, {5, 1, "five", 0, taken}, {5, 5, "again", 0, invalid}, {4, 5, "four", 0, invalid}}, false, 5},
		{"a loser that builds on the winner", []put{first, {2, 1, "two", 0, taken}, {2, 1, "too", 0, conflict}, {3, 2, "too", 0, taken}}, false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			for i, p := range c.puts {
				if c.isLeaderLost && i == len(c.puts)-1 {
					f.isDown[f.leader()] = true
					f.run(5 * time.Second)
				}
				at := f.leader()
				if p.at != leader {
					at = f.other(p.at)
				}
				ticket := f.operate(at, configOf(p.generation, p.base, p.text))
				f.run(time.Second)
				if got := f.refused(ticket); got != p.want {
					t.Fatalf("request %d, %s on %d: %v (%s), want %v", i, p.text, p.base, got, f.responses[ticket].Message, p.want)
				}
			}
			for _, name := range f.names {
				if !f.isDown[name] && f.machines[name].state.View().Head.GetVersion() != c.head {
					t.Errorf("%s holds version %d, want %d", name, f.machines[name].state.View().Head.GetVersion(), c.head)
				}
			}
		})
	}
}

func TestEightRequestsAtOnce(t *testing.T) {
	f := newFleet(t)
	first := f.operate(f.leader(), configOf(1, 0, "one"))
	f.run(time.Second)
	if f.refused(first) != taken {
		t.Fatal(f.responses[first])
	}
	var tickets []operations.Ticket
	for i := range 8 {
		at := f.leader()
		if i%3 > 0 {
			at = f.other(i)
		}
		tickets = append(tickets, f.operate(at, configOf(2, 1, fmt.Sprintf("of-%d", i))))
	}
	f.run(2 * time.Second)
	winners, winner := 0, ""
	for i, ticket := range tickets {
		switch got := f.refused(ticket); got {
		case taken:
			winners++
			winner = fmt.Sprintf("of-%d", i)
		case conflict:
		default:
			t.Errorf("request %d: %v", i, got)
		}
	}
	if winners != 1 {
		t.Fatalf("%d of eight changes on one version were taken", winners)
	}
	for _, name := range f.names {
		if f.machines[name].state.View().Route("h", "/"+winner+"/") == nil || len(f.machines[name].state.View().Hosts["h"]) != 1 {
			t.Errorf("%s does not hold exactly the winner's route", name)
		}
	}
	for i, ticket := range tickets {
		text := fmt.Sprintf("of-%d", i)
		again := f.operate(f.other(i), configOf(2, 1, text))
		f.run(time.Second)
		if f.refused(again) != f.refused(ticket) {
			t.Errorf("%s again: %v, first %v", text, f.refused(again), f.refused(ticket))
		}
	}
}

func TestRequestsOfZonesAgain(t *testing.T) {
	empty, restore := schema.OperatorKind_OPERATOR_EMPTY, schema.OperatorKind_OPERATOR_RESTORE
	for _, c := range []struct {
		name     string
		requests []schema.OperatorKind
		want     bool
	}{
		{"emptied", []schema.OperatorKind{empty}, true},
		{"emptied twice", []schema.OperatorKind{empty, empty}, true},
		{"given back twice", []schema.OperatorKind{empty, restore, restore}, false},
		{"emptied again", []schema.OperatorKind{empty, restore, empty}, true},
		{"given back, never emptied", []schema.OperatorKind{restore}, false},
	} {
		for _, isAtOnce := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, " at once ", isAtOnce), func(t *testing.T) {
				f := newFleet(t)
				var tickets []operations.Ticket
				for i, kind := range c.requests {
					at := f.leader()
					if !isAtOnce && i%2 > 0 {
						at = f.other(i)
					}
					tickets = append(tickets, f.operate(at, &schema.OperatorRequest{Kind: kind, Zone: "y", Reason: "operator"}))
					if !isAtOnce {
						f.run(time.Second)
					}
				}
				f.run(time.Second)
				for _, ticket := range tickets {
					if got := f.refused(ticket); got != taken {
						t.Errorf("request %d: %v", ticket, got)
					}
				}
				for _, name := range f.names {
					if got := f.machines[name].state.View().Zones["y"].GetEmptied(); got != c.want {
						t.Errorf("%s: emptied %v, want %v", name, got, c.want)
					}
				}
				f.isDown[f.leader()] = true
				f.run(5 * time.Second)
				again := f.operate(f.other(0), &schema.OperatorRequest{Kind: c.requests[len(c.requests)-1], Zone: "y", Reason: "operator"})
				f.run(time.Second)
				if got := f.refused(again); got != taken {
					t.Errorf("the last again, after the leader was lost: %v", got)
				}
			})
		}
	}
}

// A request whose leader is stopped in the middle of it is accepted, or is when it is repeated.
func TestALeaderStopsDuringARequest(t *testing.T) {
	for _, after := range []time.Duration{0, 20 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			f := newFleet(t)
			leader := f.leader()
			if after == 0 {
				f.machines[leader].Stop(f.now)
			}
			ticket := f.operate(leader, configOf(1, 0, "one"))
			if after > 0 {
				f.run(after)
				f.machines[leader].Stop(f.now)
			}
			f.run(3 * time.Second)
			if f.refused(ticket) != taken && f.refused(ticket) != schema.RefusalKind_REFUSAL_NO_LEADER {
				t.Fatalf("%v", f.responses[ticket])
			}
			f.isDown[leader] = true
			f.run(4 * time.Second)
			again := f.operate(f.other(0), configOf(1, 0, "one"))
			f.run(time.Second)
			if f.refused(again) != taken {
				t.Fatalf("again: %v", f.responses[again])
			}
			for _, name := range f.names {
				if !f.isDown[name] && f.machines[name].state.View().Head.GetVersion() != 1 {
					t.Errorf("%s does not hold the configuration", name)
				}
			}
		})
	}
}

// wipe brings a machine back without its disk, under another identity.
func (f *fleet) wipe(name string) {
	random := rand.New(rand.NewSource(int64(f.now)))
	self := &schema.Node{Id: fmt.Sprintf("id-%s-%d", name, f.now), Address: name, Proxy: name, Admin: name, Zone: "z", Region: "g", Disk: true, Incarnation: uint64(f.now.Milliseconds()), State: schema.NodeState_NODE_READY}
	f.machines[name] = New(f.now, Options{Self: self, Seeds: []string{"a", "b", "c"}, Draw: random.Int63n, Rejoin: true, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Routes: &RouteOptions{LongestLease: 10 * time.Second, ColdRate: func(*schema.ServicePolicy) int { return 1 }}})
	f.isDown[name] = false
}

// Of three voters each may lose its disk, one after the other. A voter whose machine came back under another identity was kept until it had been
// silent for 6 s of one leader: with it four voted, of which three had to live, so that the next loss ended the agreement.
func TestThreeVotersLoseTheirDisksInTurn(t *testing.T) {
	for _, isLeader := range []bool{false, true} {
		t.Run(fmt.Sprint("the leader: ", isLeader), func(t *testing.T) {
			f := newFleet(t)
			version := uint64(0)
			for round := range 4 {
				ticket := f.operate(f.leader(), configOf(version+1, version, fmt.Sprint("of-", round)))
				f.run(time.Second)
				if f.refused(ticket) != taken {
					t.Fatalf("round %d: %v", round, f.responses[ticket])
				}
				version++
				lost := f.leader()
				for _, name := range []string{"c", "b", "a"} {
					if !isLeader && name != lost {
						lost = name
						break
					}
				}
				f.isDown[lost] = true
				f.run(2 * time.Second)
				f.wipe(lost)
				f.run(4 * time.Second)
				leader := f.leader()
				if leader == "" {
					t.Fatalf("round %d: nobody leads after %s lost its disk", round, lost)
				}
				if voters := f.machines[leader].raft.Members().Voters; len(voters) != 3 {
					t.Fatalf("round %d: voters %v 4 s after the return of %s", round, voters, lost)
				}
				again := f.operate(leader, configOf(version, version-1, fmt.Sprint("of-", round)))
				f.run(time.Second)
				if f.refused(again) != taken {
					t.Fatalf("round %d: what was taken is lost: %v", round, f.responses[again])
				}
			}
		})
	}
}

// A former leader's proposal may stand in the log, not yet applied, when the same request or another one comes to its
// successor, which proposes it too: the second record is void. The same request was accepted then, and only another one
// has lost.
func TestARequestWhoseRecordIsVoidIsDecidedAnew(t *testing.T) {
	for _, c := range []struct {
		name    string
		request *schema.OperatorRequest
		want    schema.RefusalKind
		head    uint64
	}{
		{"the same request", configOf(2, 1, "two"), taken, 2},
		{"another under its number", configOf(2, 1, "too"), conflict, 2},
		{"one that builds on it", configOf(3, 2, "three"), taken, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			first := f.operate(f.leader(), configOf(1, 0, "one"))
			f.run(time.Second)
			if f.refused(first) != taken {
				t.Fatal(f.responses[first])
			}
			control := f.machines[f.leader()]
			former := configOf(2, 1, "two").Routes
			digest := sha256.Sum256(former.Document)
			if _, _, err := control.raft.Propose(f.now, routes.Plan(control.state.Table(), former, digest[:])); err != nil {
				t.Fatal(err)
			}
			ticket := f.operate(f.leader(), c.request)
			f.run(2 * time.Second)
			if got := f.refused(ticket); got != c.want {
				t.Errorf("%v (%s), want %v", got, f.responses[ticket].Message, c.want)
			}
			if head := control.state.View().Head.GetVersion(); head != c.head {
				t.Errorf("version %d is in force, want %d", head, c.head)
			}
		})
	}
}

// What was taken is known after hundreds of further changes, also to machines that were started again meanwhile.
func TestARequestIsKnownAfterHundredsOfChanges(t *testing.T) {
	f := newFleet(t)
	const changes = 300
	for version := range uint64(changes) {
		ticket := f.operate(f.leader(), configOf(version+1, version, fmt.Sprint("of-", version+1)))
		f.run(100 * time.Millisecond)
		if f.refused(ticket) != taken {
			t.Fatalf("version %d: %v", version+1, f.responses[ticket])
		}
	}
	f.isDown[f.leader()] = true
	f.run(5 * time.Second)
	for _, version := range []uint64{1, 2, 64, changes - 64, changes - 1, changes} {
		same := f.operate(f.other(0), configOf(version, version-1, fmt.Sprint("of-", version)))
		other := f.operate(f.leader(), configOf(version, version-1, "another"))
		f.run(time.Second)
		if f.refused(same) != taken || f.refused(other) != conflict {
			t.Errorf("version %d again: %v; another under its number: %v", version, f.responses[same], f.responses[other])
		}
	}
}
