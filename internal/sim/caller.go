package sim

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/directory"
	"topazshed/internal/proxy"
)

type cachedMatch struct {
	match    *directory.Match
	until    time.Duration
	isCutOff bool
}

// Ask is what a simulated caller wants.
type CallerRequest struct {
	Attempt, Method, Service, Path, Region, Key string
	Wait                                        time.Duration
	IsSentTwice                                 bool
	Age                                         time.Duration
}

func (a CallerRequest) isUnsafe() bool { return a.Method != http.MethodGet }

// Request is one simulated sending; done is told its response: sealed, refused, doubtful, unreached, broken or late.
func (f *Fleet) Request(attempt, method, service, path string, region string, wait time.Duration, done func(result string)) {
	f.send(CallerRequest{Attempt: attempt, Method: method, Service: service, Path: path, Region: region, Wait: wait}, 1, func(r *checker.Reply) {
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

func (f *Fleet) send(a CallerRequest, serial int, done func(*checker.Reply)) {
	name := a.Region + "/" + a.Service + a.Path
	until := f.Now + a.Wait
	if m := f.cachedMatches[name]; m != nil && f.Now < m.until {
		f.post(a, serial, m, until, done)
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
	f.after(f.callerDelay(a.Region, n), func() { f.match(n, n.Boot, a, serial, until, 0, done) })
}

func (f *Fleet) callerDelay(region string, n *Node) time.Duration {
	if region == n.Region {
		return 500 * time.Microsecond
	}
	return regionDelay(region, n.Region)
}

func (f *Fleet) match(n *Node, boot int, a CallerRequest, serial int, until, parked time.Duration, done func(*checker.Reply)) {
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
			match, fault, wanted := directory.Decide(f.clock(n), f.faultyLocal(n), a.Region, a.Service, a.Path, parked, n.random.Int63n)
			if wanted != "" {
				n.machine.Want(f.clock(n), wanted)
				f.perform(n)
			}
			if match == nil && fault == nil {
				parked += constants.ParkStep
				f.after(constants.ParkStep, try)
				return
			}
			isOver = true
			seen := checker.MatchSeen{At: f.Now, Admin: n.Name, Service: a.Service, Path: a.Path, Status: http.StatusOK, Boot: boot, IsCutOff: f.isOutOfReach(n)}
			f.after(f.callerDelay(a.Region, n), func() {
				if fault != nil {
					seen.Status = fault.Status
					f.History.Matches = append(f.History.Matches, seen)
					done(&checker.Reply{At: f.Now, End: f.Now, Attempt: a.Attempt, Service: a.Service, Path: a.Path, Result: proxy.ResultRefused, Kind: fault.Kind, Status: fault.Status, RetryAfter: fault.RetryAfter, IsCutOff: seen.IsCutOff})
					return
				}
				seen.Version, seen.Zone = match.Version, match.Proxies[0].Zone
				f.History.Matches = append(f.History.Matches, seen)
				m := &cachedMatch{match, f.Now + time.Duration(match.LiveMilli)*time.Millisecond, seen.IsCutOff}
				f.cachedMatches[a.Region+"/"+a.Service+a.Path] = m
				f.post(a, serial, m, until, done)
			})
		})
	}
	try()
}

func (f *Fleet) post(a CallerRequest, serial int, m *cachedMatch, until time.Duration, done func(*checker.Reply)) {
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
				if r.Digest = proxy.Seal(o.Body); o.Header.Get(proxy.HeaderAttempt) != a.Attempt || o.Status == http.StatusOK && !strings.Contains(string(o.Body), `"attempt":"`+a.Attempt+`"`) {
					r.Digest = "not for this attempt"
				}
			} else if _, text, isCut := strings.Cut(string(o.Body), `"kind":"`); isCut {
				r.Kind, _, _ = strings.Cut(text, `"`)
			}
			if seconds, err := strconv.Atoi(o.Header.Get("Retry-After")); err == nil {
				r.RetryAfter = time.Duration(seconds) * time.Second
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
	span := f.callerDelay(a.Region, n)
	f.after(span, func() {
		if !n.IsUp && n.isUnresponsive {
			return
		}
		f.startRequest(n, request, func(o *proxy.Result, broken string) {
			f.after(span, func() { end(o, broken) })
		})
	})
}

// Attempt carries one attempt to its end as an honest caller would.
func (f *Fleet) Attempt(a CallerRequest) {
	call := &checker.Call{At: f.Now, Service: a.Service, Path: a.Path, Attempt: a.Attempt, IsUnsafe: a.isUnsafe()}
	until := f.Now + a.Wait
	kind := "safe "
	if call.IsUnsafe {
		kind = "unsafe "
	}
	isDoubtful := a.IsSentTwice
	end := func(result string) {
		if result == "declined" && isDoubtful {
			result = "doubtful"
		}
		call.Result, call.End = result, f.Now
		f.History.Calls = append(f.History.Calls, call)
		f.Counts[kind+result]++
		if result != "sealed" {
			f.Unserved[kind+result+" "+call.LastReason]++
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
			call.LastReason = strings.TrimSpace(r.Kind + " " + r.Broken)
			if r.Result != proxy.ResultSealed {
				delete(f.cachedMatches, a.Region+"/"+a.Service+a.Path)
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
				if until-f.Now <= r.RetryAfter+50*time.Millisecond {
					end("declined")
					return
				}
				pause = r.RetryAfter + time.Duration(f.random.Intn(200))*time.Millisecond
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
