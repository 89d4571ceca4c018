package sim

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/directory"
	"topazshed/internal/proxy"
)

const (
	// unmatchedPause is how long a caller waits when no directory answered.
	unmatchedPause = 300 * time.Millisecond
)

// CallerRequest is what a simulated caller wants.
type CallerRequest struct {
	Attempt, Method, Service, Path, Region, Key string
	// Wait is how long the caller waits in all.
	Wait time.Duration
	// IsSentTwice tells that another caller sends the same attempt id.
	IsSentTwice bool
	// Age is the age of the attempt id that the caller tells, or 0.
	Age time.Duration
}

func (r CallerRequest) isUnsafe() bool { return r.Method != http.MethodGet }

// matchKey names the directory answer that the request can use.
func (r CallerRequest) matchKey() string { return r.Region + "/" + r.Service + r.Path }

// sending is one sending of a request, from the directory to the proxy's answer.
type sending struct {
	fleet    *Fleet
	request  CallerRequest
	serial   int
	deadline time.Duration
	// done gets the reply, or nil if no directory answered.
	done func(*checker.Reply)
}

// Request sends one request once; done gets its result: sealed, declined, doubtful, unreached, lost, dial or late.
func (f *Fleet) Request(request CallerRequest, done func(result string)) {
	f.send(request, 1, func(reply *checker.Reply) {
		switch {
		case reply == nil:
			done("unreached")
		case reply.Result != "":
			done(reply.Result)
		default:
			done(reply.Broken)
		}
	})
}

// send sends a request once, to a proxy that the caller knows or asks a directory for.
func (f *Fleet) send(request CallerRequest, serial int, done func(*checker.Reply)) {
	s := &sending{fleet: f, request: request, serial: serial, deadline: f.Now + request.Wait, done: done}
	if cached := f.cachedMatches[request.matchKey()]; cached != nil && f.Now < cached.until {
		s.post(cached)
		return
	}
	var options []*Node
	for _, n := range f.Nodes {
		if n.IsUp && n.machine != nil && !n.isShut && f.Now >= n.frozenUntil {
			options = append(options, n)
		}
	}
	if len(options) == 0 {
		done(nil)
		return
	}
	n := options[f.random.Intn(len(options))]
	f.after(f.callerDelay(request.Region, n), func() { s.askDirectory(n) })
}

// post sends the request to one of the proxies that a directory named.
func (s *sending) post(cached *cachedMatch) {
	f, request := s.fleet, s.request
	chosen := cached.match.Proxies[f.random.Intn(len(cached.match.Proxies))]
	n := f.Node(strings.TrimSuffix(chosen.Address, proxySuffix))
	left := s.deadline - f.Now
	reply := s.newReply(chosen)
	reply.IsCutOff = cached.isCutOff || f.isOutOfReach(n)
	limit := left
	if !reply.IsUnsafe {
		limit = min(limit, checker.SafeLimit)
	}
	isOver := false
	finish := func(result *proxy.Result, broken string) {
		if !isOver {
			isOver = true
			s.finish(reply, result, broken)
		}
	}
	f.after(limit, func() { finish(nil, checker.BrokenLate) })
	httpRequest, err := request.httpRequest(n.Name, cached.match.Origin, reply.Send, left)
	if err != nil {
		f.addViolation("a caller has path %q", request.Path)
		return
	}
	delay := f.callerDelay(request.Region, n)
	f.after(delay, func() {
		if !n.IsUp && n.isUnresponsive {
			return
		}
		f.startRequest(n, httpRequest, func(result *proxy.Result, broken string) {
			f.after(delay, func() { finish(result, broken) })
		})
	})
}

// newReply makes the record of a sending to a proxy.
func (s *sending) newReply(chosen directory.Proxy) *checker.Reply {
	return &checker.Reply{
		At:       s.fleet.Now,
		Service:  s.request.Service,
		Path:     s.request.Path,
		Method:   s.request.Method,
		Attempt:  s.request.Attempt,
		Send:     fmt.Sprintf("%s/%d", s.request.Attempt, s.serial),
		Zone:     chosen.Zone,
		Proxy:    chosen.Address,
		IsUnsafe: s.request.isUnsafe(),
		IsProper: true,
	}
}

// httpRequest makes the request as a proxy reads it.
func (r CallerRequest) httpRequest(host, origin, send string, left time.Duration) (*http.Request, error) {
	target, err := url.Parse("http://" + host + "/" + r.Service + r.Path)
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	header.Set(proxy.HeaderAttempt, r.Attempt)
	header.Set(proxy.HeaderWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(proxy.HeaderOrigin, origin)
	header.Set(headerSend, send)
	if r.Age > 0 {
		header.Set(proxy.HeaderAge, strconv.FormatInt(r.Age.Milliseconds()+1, 10))
	}
	if r.Key != "" {
		header.Set(proxy.HeaderKey, r.Key)
	}
	return &http.Request{Method: r.Method, URL: target, Header: header}, nil
}

// finish notes the reply in the history and hands it on.
func (s *sending) finish(reply *checker.Reply, result *proxy.Result, broken string) {
	reply.End, reply.Broken = s.fleet.Now, broken
	if result != nil {
		reply.ReadAnswer(result.Status, result.Header, result.Body)
	}
	s.fleet.History.Replies = append(s.fleet.History.Replies, reply)
	s.done(reply)
}

// attempt is a caller's whole undertaking: one attempt id, sent until a result is final or the wait is over.
type attempt struct {
	fleet    *Fleet
	request  CallerRequest
	call     *checker.Call
	deadline time.Duration
	// isAmbiguous tells that an earlier sending, or another caller's, may have run.
	isAmbiguous bool
	// last is the result if the wait is over now.
	last string
}

// Attempt carries one attempt id to its end as an honest caller would.
func (f *Fleet) Attempt(request CallerRequest) {
	call := &checker.Call{
		At:       f.Now,
		Service:  request.Service,
		Path:     request.Path,
		Attempt:  request.Attempt,
		IsUnsafe: request.isUnsafe(),
	}
	a := &attempt{
		fleet:       f,
		request:     request,
		call:        call,
		deadline:    f.Now + request.Wait,
		isAmbiguous: request.IsSentTwice,
		last:        checker.ResultNone,
	}
	a.send()
}

// send sends the attempt id once more, if there is time.
func (a *attempt) send() {
	f := a.fleet
	left := a.deadline - f.Now
	if left <= 0 || a.call.Sends >= checker.MaxSends {
		a.end(a.last)
		return
	}
	a.call.Sends++
	request := a.request
	request.Wait = left
	if a.isAmbiguous && a.call.IsUnsafe {
		request.Age = f.Now - a.call.At
	}
	f.send(request, a.call.Sends, a.receive)
}

// receive ends the attempt with a reply, or waits and sends it again.
func (a *attempt) receive(reply *checker.Reply) {
	f := a.fleet
	backoff := checker.Backoff(a.call.Sends, f.random.Intn)
	if reply == nil {
		f.after(unmatchedPause, a.send)
		return
	}
	a.call.LastReason = strings.TrimSpace(reply.Kind + " " + reply.Broken)
	if reply.Result != checker.ResultSealed {
		delete(f.cachedMatches, a.request.matchKey())
	}
	switch checker.NextStep(reply, a.deadline-f.Now) {
	case checker.StepEnd:
		a.end(reply.Result)
	case checker.StepWait:
		a.last = checker.ResultDeclined
		f.after(checker.RetryPause(reply, f.random.Intn), a.send)
	case checker.StepBackOff:
		a.last = checker.ResultNone
		a.isAmbiguous = true
		f.after(backoff, a.send)
	}
}

// end notes how the attempt ended; a refusal says nothing about an earlier sending that may have run.
func (a *attempt) end(result string) {
	f, call := a.fleet, a.call
	if result == checker.ResultDeclined && a.isAmbiguous {
		result = checker.ResultDoubtful
	}
	call.Result, call.End = result, f.Now
	f.History.Calls = append(f.History.Calls, call)
	kind := "safe "
	if call.IsUnsafe {
		kind = "unsafe "
	}
	f.Counts[kind+result]++
	if result != checker.ResultSealed {
		f.Unserved[kind+result+" "+call.LastReason]++
	}
}
