package sim

import (
	"net/http"
	"time"

	"topazshed/internal/checker"
	"topazshed/internal/constants"
	"topazshed/internal/directory"
	"topazshed/internal/proxy"
)

// directoryLimit is how long a caller waits for a directory's answer.
const directoryLimit = time.Second

// cachedMatch is a directory's answer that a caller keeps for as long as the answer says.
type cachedMatch struct {
	match    *directory.Match
	until    time.Duration
	isCutOff bool
}

// directoryCall is a caller's question to the directory of one machine.
type directoryCall struct {
	*sending
	node *Node
	boot int
	// parked is how long the directory has held the question back.
	parked time.Duration
	isOver bool
}

// askDirectory asks a machine which proxies to use, then sends the request to one of them.
func (s *sending) askDirectory(n *Node) {
	call := &directoryCall{sending: s, node: n, boot: n.Boot}
	limit := min(directoryLimit, max(s.deadline-s.fleet.Now, 0))
	s.fleet.after(limit, func() {
		if !call.isOver {
			call.isOver = true
			s.done(nil)
		}
	})
	call.decide()
}

// decide asks the directory's decider, again each constants.ParkStep until it has an answer.
func (c *directoryCall) decide() {
	f, n := c.fleet, c.node
	f.onNode(n, c.boot, func() {
		if c.isOver {
			return
		}
		r := c.request
		match, fault, wanted := directory.Decide(f.clock(n), f.faultyLocal(n), r.Region, r.Service, r.Path, c.parked, n.random.Int63n)
		if wanted != "" {
			n.machine.Want(f.clock(n), wanted)
			f.perform(n)
		}
		if match == nil && fault == nil {
			c.parked += constants.ParkStep
			f.after(constants.ParkStep, c.decide)
			return
		}
		c.isOver = true
		seen := checker.MatchSeen{
			At:       f.Now,
			Admin:    n.Name,
			Service:  r.Service,
			Path:     r.Path,
			Status:   http.StatusOK,
			Boot:     c.boot,
			IsCutOff: f.isOutOfReach(n),
		}
		f.after(f.callerDelay(r.Region, n), func() {
			if fault != nil {
				c.refused(seen, fault)
				return
			}
			c.matched(seen, match)
		})
	})
}

// refused notes that the directory refused and gives the refusal to the caller.
func (c *directoryCall) refused(seen checker.MatchSeen, fault *proxy.RefusalError) {
	f := c.fleet
	seen.Status = fault.Status
	f.History.Matches = append(f.History.Matches, seen)
	c.done(&checker.Reply{
		At:         f.Now,
		End:        f.Now,
		Attempt:    c.request.Attempt,
		Service:    c.request.Service,
		Path:       c.request.Path,
		Result:     checker.ResultDeclined,
		Kind:       fault.Kind,
		Status:     fault.Status,
		RetryAfter: fault.RetryAfter,
		IsUnsafe:   c.request.isUnsafe(),
		IsCutOff:   seen.IsCutOff,
	})
}

// matched notes the directory's answer, keeps it, and sends the request.
func (c *directoryCall) matched(seen checker.MatchSeen, match *directory.Match) {
	f := c.fleet
	seen.Version, seen.Zone = match.Version, match.Proxies[0].Zone
	f.History.Matches = append(f.History.Matches, seen)
	cached := &cachedMatch{match: match, until: f.Now + time.Duration(match.LiveMilli)*time.Millisecond, isCutOff: seen.IsCutOff}
	f.cachedMatches[c.request.matchKey()] = cached
	c.post(cached)
}
