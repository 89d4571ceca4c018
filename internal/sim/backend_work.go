package sim

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/proxy"
)

func (f *Fleet) receiveRequest(b *Backend, from *Node, order proxy.Order, method string, finish func(proxy.Event)) {
	h := order.Header
	a := &checker.Arrival{At: f.Now, End: f.Now, Service: b.Service, Instance: b.Instance, Path: order.Path, Method: method, Attempt: h.Get(proxy.HeaderAttempt), Send: h.Get("X-Send"),
		Key: h.Get(proxy.HeaderKey), Proxy: from.Name, IsUnsafe: method != http.MethodGet, IsCutOff: f.isOutOfReach(from)}
	f.History.Arrivals = append(f.History.Arrivals, a)
	f.eventCount++
	id := f.eventCount
	b.openRequests[id] = func(err error) { finish(proxy.Event{Kind: proxy.EventAnswered, Err: err, IsTouched: true}) }
	answer := func(status int, text string, mode Mode) {
		take := b.openRequests[id]
		delete(b.openRequests, id)
		if take == nil {
			return
		}
		o := &proxy.Result{Status: status, Body: []byte(text), Header: http.Header{}}
		a.Digest = proxy.Seal(o.Body)
		o.Header.Set(proxy.HeaderAttempt, a.Attempt)
		o.Header.Set(proxy.HeaderService, b.Service)
		o.Header.Set(proxy.HeaderInstance, b.Instance)
		o.Header.Set(proxy.HeaderDigest, a.Digest)
		e := proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true}
		switch mode {
		case ModeLose:
			e = proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("connection reset"), IsTouched: true}
		case ModeCut:
			e = proxy.Event{Kind: proxy.EventAnswered, Err: fmt.Errorf("outcome cut short"), IsTouched: true}
			if f.Options.Fault == "seal" {
				e = proxy.Event{Kind: proxy.EventAnswered, Result: o, IsTouched: true}
				o.Body = o.Body[:len(o.Body)/2]
			}
		case ModeGarbage:
			o.Body = []byte(strings.Repeat("?#", 60))
		case ModeForeign:
			o.Body = []byte(strings.ReplaceAll(text, a.Attempt, "someone-elses"))
			o.Header.Set(proxy.HeaderAttempt, "someone-elses")
			o.Header.Set(proxy.HeaderDigest, proxy.Seal(o.Body))
		}
		if f.Options.Fault == "seal" && e.Result != nil {
			o.Header.Set(proxy.HeaderAttempt, a.Attempt)
			o.Header.Set(proxy.HeaderDigest, proxy.Seal(o.Body))
		}
		f.after(500*time.Microsecond, func() {
			if !f.cuts[[2]string{b.Instance, from.Name}] {
				finish(e)
			}
		})
	}
	if h.Get(proxy.HeaderService) != b.Service || h.Get(proxy.HeaderInstance) != b.Instance {
		answer(http.StatusMisdirectedRequest, "not me", ModeGood)
		return
	}
	holds := time.Duration(1<<62 - 1)
	if a.Key != "" {
		left, err := strconv.Atoi(h.Get(proxy.HeaderWait))
		if err != nil {
			f.addViolation("a keyed leg told %s no wait", b.Instance)
		}
		holds = f.Now + time.Duration(left)*time.Millisecond
	}
	work := func() {
		if f.Now >= holds {
			b.done()
			answer(http.StatusConflict, "no longer held", ModeGood)
			return
		}
		a.IsRun = true
		b.running[a] = true
		span := time.Duration(8+f.random.Intn(15)) * time.Millisecond
		if a.Key != "" && f.random.Intn(30) == 0 {
			span = time.Duration(500+f.random.Intn(5000)) * time.Millisecond
		}
		if f.Now < b.coldUntil {
			span *= coldSlowdown
		}
		if b.Mode == ModeSlow {
			span *= 20
		}
		span += max(0, b.frozenUntil-f.Now)
		span = min(span, holds-f.Now)
		a.End = f.Now + span
		mode := b.Mode
		f.after(span, func() { f.finishWork(b, a, mode, answer) })
	}
	if b.working >= backendWorkers {
		b.queue = append(b.queue, work)
		return
	}
	b.working++
	work()
}

func (f *Fleet) finishWork(b *Backend, a *checker.Arrival, mode Mode, answer func(int, string, Mode)) {
	if !b.running[a] {
		return
	}
	if f.Now < b.frozenUntil {
		if a.Key == "" {
			a.End = b.frozenUntil
		}
		f.after(b.frozenUntil-f.Now, func() { f.finishWork(b, a, mode, answer) })
		return
	}
	delete(b.running, a)
	answer(http.StatusOK, fmt.Sprintf(`{"service":%q,"path":%q,"attempt":%q}`, b.Service, a.Path, a.Attempt), mode)
	b.done()
}

func (b *Backend) done() {
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		next()
		return
	}
	b.working--
}
