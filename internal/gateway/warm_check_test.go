package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// healthPath is where the stand-ins of these tests answer health checks.
const healthPath = "/health"

// healthAnswer is a response to a health check with some header fields.
func healthAnswer(status int, fields ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Word\r\nContent-Length: 0\r\n", status)
	for _, field := range fields {
		text += field + "\r\n"
	}
	return text + "\r\n"
}

// askable is a back end that answers health checks with a text and serves everything else.
func askable(health string) script {
	return func(r seen, conn net.Conn) bool {
		text := answer(r, http.StatusOK, "fine")
		if r.URI == healthPath {
			text = health
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// newUnconfirmedFront is a front whose rows were last confirmed so long ago.
func newUnconfirmedFront(t *testing.T, age time.Duration, backends ...*standIn) *front {
	f := newFront(t, backends...)
	view := f.gateway.options.Local().View
	view.Services["copper"].Policy.HealthPath = healthPath
	// What it may have missed before its start plays no part here.
	f.gateway.unconfirmedAt.Store(0)
	f.gateway.options.Local = func() *controlplane.Local {
		now := f.gateway.options.Now()
		return &controlplane.Local{View: view, FreshAt: now - age, ConfirmedAt: now - age}
	}
	return f
}

// served counts the requests and the health checks that reached a back end.
func (s *standIn) served() (requests, checks int) {
	for _, r := range s.got() {
		if r.URI == healthPath {
			checks++
		} else {
			requests++
		}
	}
	return requests, checks
}

// Guards against flooding back ends that turned cold after this node's rows (FAILBACK): a node that is cut off took them for warm.
func TestABackEndIsAskedForItsSlowStartWhileRowsAreNotConfirmed(t *testing.T) {
	const old = constants.RowsConfirmedFor + time.Second
	for _, c := range []struct {
		name   string
		age    time.Duration
		health string
		// near and far are the requests that reach the near back end and one in another region, checks the questions to the near one.
		near, far, checks int
	}{
		{"confirmed rows need no question", 100 * time.Millisecond, "", 1, 0, 0},
		{"it is warm", old, healthAnswer(200, names.Instance+": i-0"), 1, 0, 1},
		{"it fails its health check and is warm", old, healthAnswer(503, names.Instance+": i-0"), 1, 0, 1},
		{"it tells no instance", old, healthAnswer(200), 1, 0, 1},
		{"its slow start is over", old, healthAnswer(200, names.Instance+": i-0", names.ColdLeft+": 0"), 1, 0, 1},
		{"it is cold", old, healthAnswer(200, names.Instance+": i-0", names.ColdLeft+": 1500"), 0, 1, 1},
		{"it is cold and fails its health check", old, healthAnswer(503, names.Instance+": i-0", names.ColdLeft+": 1500"), 0, 1, 1},
		{"its slow start can't be read", old, healthAnswer(200, names.Instance+": i-0", names.ColdLeft+": soon"), 0, 1, 1},
		{"it is too busy to tell", old, healthAnswer(503, names.NotRun+": 1"), 0, 1, 1},
		{"another one answers there", old, healthAnswer(200, names.Instance+": i-9"), 0, 1, 1},
		{"it breaks off", old, "HTTP/1.1 200 OK\r\nContent-", 0, 1, 1},
		{"it says what is no answer", old, "nothing\r\n\r\n", 0, 1, 1},
		{"it closes with its answer", old, healthAnswer(200, names.Instance+": i-0", "Connection: close"), 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := newStandIn(t, askable(c.health)), newStandIn(t, askable(healthAnswer(200)))
			f := newUnconfirmedFront(t, c.age, near, far)
			if got := f.get("/safe/x"); got.err != nil || got.status != http.StatusOK || string(got.body) != "fine" {
				t.Fatalf("%d %v %q", got.status, got.err, got.body)
			}
			requests, checks := near.served()
			farRequests, _ := far.served()
			if requests != c.near || farRequests != c.far || checks != c.checks {
				t.Errorf("near %d requests and %d checks, far %d requests; want %d, %d, %d", requests, checks, farRequests, c.near, c.checks, c.far)
			}
		})
	}
}

// Guards against a health check that nobody answers: it may not hold a request up, and its late answer goes to no caller.
func TestABackEndThatDoesNotTellIsPassedOver(t *testing.T) {
	release := make(chan struct{})
	near := newStandIn(t, func(_ seen, conn net.Conn) bool {
		<-release
		io.WriteString(conn, healthAnswer(200))
		return false
	})
	far := newStandIn(t, askable(healthAnswer(200)))
	f := newUnconfirmedFront(t, time.Minute, near, far)
	begun := time.Now()
	got := f.post("/once/x", "pay")
	close(release)
	if got.err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %v", got.status, got.err)
	}
	if took := time.Since(begun); took < constants.WarmCheckWait || took > patience {
		t.Errorf("it took %v, the check may take %v", took, constants.WarmCheckWait)
	}
	if requests, _ := near.served(); requests > 0 {
		t.Errorf("%d requests were sent to a back end that did not tell", requests)
	}
}

// Guards against taking the late answer to a former request for one to a health check, as back ends that send answers twice give it.
func TestASurplusAnswerTellsNothingOfASlowStart(t *testing.T) {
	near := newStandIn(t, func(r seen, conn net.Conn) bool {
		surplus := answer(seen{Header: http.Header{names.Attempt: {"former"}}}, http.StatusOK, "late")
		text := surplus + healthAnswer(200, names.ColdLeft+": 900")
		if r.URI != healthPath {
			text = answer(r, http.StatusOK, "fine")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	far := newStandIn(t, askable(healthAnswer(200)))
	f := newUnconfirmedFront(t, time.Minute, near, far)
	if got := f.get("/safe/x"); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %v", got.status, got.err)
	}
	if requests, _ := near.served(); requests > 0 {
		t.Errorf("%d requests were sent to a back end that says it is cold", requests)
	}
}

// Guards against a share of a slow start that two nodes use (FAILBACK): the share of a node whose rows are not confirmed may have been given to
// another one meanwhile.
func TestAShareOfASlowStartIsVoidWhileRowsAreNotConfirmed(t *testing.T) {
	for _, c := range []struct {
		name          string
		isUnconfirmed bool
		isKeyed       bool
		want          Refusal
	}{
		{"confirmed", false, false, RefusalNone},
		{"not confirmed", true, false, RefusalCold},
		{"an owner of keys, confirmed", false, true, RefusalNone},
		{"an owner of keys, not confirmed", true, true, RefusalCold},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.backend("a", "kol-a", "10.0.0.1:1", isColdBy("n1"))
			if c.isKeyed {
				w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 16, Keyed: true})
				w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: "a", Fence: 1})
			}
			choice := Choose(Situation{Now: time.Hour, View: w.settle(), Self: self, Loads: NewLoads(0, bounds), Draw: func(int64) int64 { return 0 },
				Route: &schema.Route{TargetMs: 300}, Service: "copper", HasKey: c.isKeyed, Token: "x", AreRowsUnconfirmed: c.isUnconfirmed})
			if choice.Refusal != c.want {
				t.Errorf("refused %q, want %q", choice.Refusal, c.want)
			}
		})
	}
}

// Guards against sending on an answer for longer, or more often, than all nodes together can do while the back end turns cold (FAILBACK).
func TestWhatABackEndSaidOfItsSlowStartIsReliedOnForAWhile(t *testing.T) {
	const asked, sends = time.Hour, 3
	l := NewLoads(0, bounds)
	if l.MaySendUnasked(asked, "i", sends) || l.Read(asked, "i").SaysCold {
		t.Error("a back end that was never asked")
	}
	l.NoteWarmCheck(asked, asked+20*time.Millisecond, "i", 0)
	for n := 2; n <= sends; n++ {
		if !l.MaySendUnasked(asked+constants.WarmCheckEvery-1, "i", sends) {
			t.Errorf("request %d on one answer must ask again", n)
		}
	}
	if l.MaySendUnasked(asked+100*time.Millisecond, "i", sends) {
		t.Error("more are sent on one answer than may be")
	}
	l.NoteWarmCheck(asked+200*time.Millisecond, asked+240*time.Millisecond, "i", 0)
	if l.MaySendUnasked(asked+200*time.Millisecond+constants.WarmCheckEvery, "i", sends) {
		t.Error("what it said counts from the question, not from the answer")
	}
	l.NoteWarmCheck(asked+time.Second, asked+time.Second, "i", 2*time.Second)
	if !l.Read(asked+3*time.Second, "i").SaysCold || l.Read(asked+3*time.Second+constants.ColdAfter, "i").SaysCold {
		t.Error("it is cold for as long as it said, and ColdAfter")
	}
}

func TestANodesPartOfOneAnswerIsOneRequestAtLeast(t *testing.T) {
	l := NewLoads(0, bounds)
	for _, c := range []struct {
		rate        float64
		nodes, want int
	}{{17, 14, 2}, {17, 2, 14}, {4, 81, 1}, {0, 14, 1}, {17, 0, 29}} {
		if got := l.WarmSends(&schema.ServicePolicy{ColdRate: c.rate}, c.nodes); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Guards against more shares of a cold owner of keys than there are nodes (FAILBACK): a node that was started anew serves before its row is there.
func TestANodeThatIsNotInTheRowsSendsNothingToAColdOwner(t *testing.T) {
	w := newWorld(t)
	w.put(store.ServicePolicyKey("copper"), &schema.ServicePolicy{Service: "copper", ColdRate: 16, Keyed: true})
	w.put(store.ShardRangeKey("copper", 0), &schema.ShardRange{Service: "copper", Last: 65535, Instance: "a", Fence: 1})
	w.backend("a", "kol-a", "10.0.0.1:1", isColdBy("n1"))
	for id, want := range map[string]Refusal{"n1": RefusalNone, "n9": RefusalCold} {
		choice := Choose(Situation{Now: time.Hour, View: w.settle(), Self: &schema.Node{Id: id, Zone: "kol-a", Region: "kol"}, Loads: NewLoads(0, bounds),
			Draw: func(int64) int64 { return 0 }, Route: &schema.Route{TargetMs: 300}, Service: "copper", HasKey: true, Token: "x"})
		if choice.Refusal != want {
			t.Errorf("%s is refused %q, want %q", id, choice.Refusal, want)
		}
	}
}

// Guards against passing over a sound back end that dropped an idle connection: it is asked once more on another one.
func TestABackEndThatDroppedAnIdleConnectionIsAskedOnAnother(t *testing.T) {
	near := newStandIn(t, func(r seen, conn net.Conn) bool {
		if r.URI == healthPath && r.Connection == 1 {
			return false
		}
		text := answer(r, http.StatusOK, "fine")
		if r.URI == healthPath {
			text = healthAnswer(200, names.Instance+": i-0")
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	})
	far := newStandIn(t, askable(healthAnswer(200)))
	f := newUnconfirmedFront(t, 100*time.Millisecond, near, far)
	if got := f.get("/safe/x"); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %v", got.status, got.err)
	}
	confirmed := f.gateway.options.Local
	f.gateway.options.Local = func() *controlplane.Local {
		local := *confirmed()
		local.ConfirmedAt = 0
		return &local
	}
	if got := f.post("/once/x", "pay"); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("%d %v", got.status, got.err)
	}
	if requests, checks := near.served(); requests != 2 || checks != 2 {
		t.Errorf("%d requests and %d checks, want 2 and 2", requests, checks)
	}
}

// Guards against flooding back ends of a zone whose emptying never came through (FAILBACK): its operator restores it all the same, with cold
// back ends, which the list shows later.
func TestBackEndsAreAskedForAWhileAfterTheRowsAreConfirmedAgain(t *testing.T) {
	f := newUnconfirmedFront(t, 0)
	now := 2 * time.Hour
	for _, c := range []struct {
		name             string
		after            time.Duration
		isUnconfirmed    bool
		asks, voidsShare bool
	}{
		{"confirmed for long", 0, false, false, false},
		{"not confirmed", time.Second, true, true, true},
		{"confirmed again", time.Second + time.Millisecond, false, true, false},
		{"still within the time", time.Second + constants.WarmCheckAfter - 1, false, true, false},
		{"after it", time.Second + constants.WarmCheckAfter, false, false, false},
	} {
		confirmedAt := now + c.after
		if c.isUnconfirmed {
			confirmedAt -= constants.RowsConfirmedFor
		}
		isUnconfirmed := f.gateway.areRowsUnconfirmed(confirmedAt, now+c.after)
		if asks := f.gateway.mayMissSlowStarts(isUnconfirmed, now+c.after); asks != c.asks || isUnconfirmed != c.voidsShare {
			t.Errorf("%s: asks %v, shares are void %v", c.name, asks, isUnconfirmed)
		}
	}
}
