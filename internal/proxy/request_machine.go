package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/idempotency"
	"topazshed/internal/schema"
)

// OrderKind is what the shell must do for a request next.
type OrderKind int

// The orders of a course; each but OrderReply is answered by an event.
const (
	OrderReply OrderKind = iota
	OrderWait
	OrderConnect
	OrderSend
	OrderReserve
	OrderListen
	OrderRelease
	OrderReplay
)

// ReservationCall is one reservation for one replica.
type ReservationCall struct {
	Member  *schema.Member
	Request *schema.ReservationRequest
}

// Order is one thing for the shell to do. For bounds it; Keeps says that the open connection is still good.
type Order struct {
	Kind         OrderKind
	For          time.Duration
	Wanted       string
	Address      string
	Who          Identity
	Path         string
	Header       http.Header
	Limit        uint64
	IsBound      bool
	Reservations []ReservationCall
	Replay       *schema.ReplayRequest
	Result       *Result
	Fault        *RefusalError
	Keeps        bool
}

// EventKind is what has happened to a request.
type EventKind int

// The events that a course takes.
const (
	EventBegun EventKind = iota
	EventWoken
	EventGone
	EventConnected
	EventAnswered
	EventReserved
	EventReleased
	EventReplayed
)

// Event answers an order: a connection or its fault, a whole answer or its fault, a replica's word or none.
type Event struct {
	Kind      EventKind
	Err       error
	Result    *Result
	IsTouched bool
	IsGone    bool
	Reserved  *schema.ReservationResponse
	Replayed  *schema.ReplayResponse
}

type phase int

const (
	phaseTurn phase = iota
	phaseForwardConnect
	phaseForward
	phaseForwardPause
	phaseReserve
	phaseReservePause
	phaseConnect
	phaseAttempt
	phaseRelease
	phaseReplay
)

// RequestOptions make a Course.
type RequestOptions struct {
	Self    *schema.Node
	Loads   *Loads
	Kept    *Kept
	Draw    func(int64) int64
	Request *Request
	Owner   string
	Begun   time.Duration
}

// RequestMachine is one request's way through a proxy: events in, orders out, without I/O. The shell and the simulator both drive it.
type RequestMachine struct {
	RequestOptions
	Repeats    int
	phase      phase
	now        time.Duration
	local      *controlplane.Local
	until      time.Duration
	parkedAt   time.Duration
	decision   Decision
	forwards   int
	node       *schema.Node
	isReserved bool
	replicas   *schema.ReplicaSet
	held       []*schema.Member
	round      uint32
	reservedAt time.Duration
	asked      int
	taken      int
	elsewhere  int
	owner      string
	sinceBytes time.Duration
	attempts   int
	isTouched  bool
	tried      map[string]bool
	lastFault  string
	endKeyed   func(bool)
	fault      *RefusalError
	isFinal    bool
}

// NewRequestMachine begins a request's course.
func NewRequestMachine(options RequestOptions) *RequestMachine {
	wait := options.Request.Wait
	wait -= min(constants.AnswerMargin, wait/constants.AnswerShare)
	return &RequestMachine{RequestOptions: options, until: options.Begun + wait, tried: map[string]bool{}}
}

// Next takes an event and gives the next order.
func (c *RequestMachine) Next(now time.Duration, local *controlplane.Local, e Event) Order {
	c.now, c.local = now, local
	if e.Kind == EventGone {
		if c.phase == phaseForwardPause {
			return c.reply(c.fault)
		}
		return c.giveUp(newRefusalLater("gone", "the caller left or the wait is over"))
	}
	switch c.phase {
	case phaseForwardConnect:
		return c.forwardConnected(e)
	case phaseForward:
		return c.forwardAnswered(e)
	case phaseForwardPause:
		if c.parked() >= constants.ParkMost {
			return c.reply(c.fault)
		}
	case phaseReserve:
		return c.takeReservation(e)
	case phaseReservePause:
		if c.now-c.parkedAt >= constants.ParkShort {
			fault := newRefusalLater("no-claim", "the keepers of this attempt id did not agree; send again")
			fault.RetryAfter = max(constants.RetryAfter, c.sinceBytes)
			return c.giveUp(fault)
		}
	case phaseConnect:
		return c.connected(e)
	case phaseAttempt:
		return c.answered(e)
	case phaseRelease:
		return c.released()
	case phaseReplay:
		return c.replayed(e)
	}
	return c.turn(false)
}

func (c *RequestMachine) parked() time.Duration {
	if c.parkedAt == 0 {
		return 0
	}
	return c.now - c.parkedAt
}

func (c *RequestMachine) situation() Situation {
	s := Situation{Now: c.now, Local: c.local, Self: c.Self, Request: c.Request, Load: c.Loads, Tried: c.tried, IsReserved: c.isReserved, Parked: c.parked(), Left: c.until - c.now, Draw: c.Draw}
	if c.Request.Age > 0 {
		s.FirstSent = c.Begun - c.Request.Age
	}
	return s
}

func (c *RequestMachine) turn(keeps bool) Order {
	c.phase = phaseTurn
	d := Decide(c.situation())
	if d.Entry != nil && !d.IsSafe {
		c.until = min(c.until, c.Begun+constants.ReservationWindow)
	}
	c.decision = d
	order := Order{}
	switch d.Turn {
	case TurnRefuse:
		order = c.giveUp(d.Refusal)
	case TurnPark:
		if c.now >= c.until {
			order = c.giveUp(newRefusalLater("late", "the wait is over"))
			break
		}
		c.parkedAt = cmp.Or(c.parkedAt, c.now)
		order = Order{Kind: OrderWait, For: min(constants.ParkStep, c.until-c.now), Wanted: d.Wanted}
	case TurnForward:
		order = c.forward()
	case TurnReserve:
		order = c.reserve()
	case TurnAttempt:
		order = c.attempt()
	}
	order.Keeps = order.Keeps || keeps
	return order
}

func (c *RequestMachine) reply(fault *RefusalError) Order {
	return Order{Kind: OrderReply, Fault: fault}
}

func (c *RequestMachine) giveUp(fault *RefusalError) Order {
	if c.isTouched {
		e := *fault
		e.Status, e.Kind, e.Result = http.StatusBadGateway, "failed", ResultAmbiguous
		e.Message = "a leg was begun and gave no sealed answer: " + c.lastFault
		e.RetryAfter = constants.RetryAfter
		return c.reply(&e)
	}
	return c.release(fault, true)
}

func (c *RequestMachine) release(fault *RefusalError, isFinal bool) Order {
	c.fault, c.isFinal = fault, isFinal
	if len(c.held) == 0 {
		return c.released()
	}
	order := Order{Kind: OrderRelease, For: constants.ReservationWait / 3}
	for _, m := range c.held {
		order.Reservations = append(order.Reservations, ReservationCall{m, &schema.ReservationRequest{Attempt: c.Request.Attempt, Owner: c.Owner, ReplicaSet: c.replicas.Number, Region: c.replicas.Region, Round: c.round, Ended: true}})
	}
	c.phase = phaseRelease
	c.held, c.isReserved = nil, false
	return order
}

func (c *RequestMachine) released() Order {
	if c.isFinal {
		return c.replay()
	}
	c.phase = phaseReservePause
	return Order{Kind: OrderWait, For: constants.ParkStep}
}

func (c *RequestMachine) replay() Order {
	id, _, _ := strings.Cut(c.owner, "/")
	c.owner = ""
	if id == c.Self.Id {
		return c.sealedBefore(c.Kept.Get(c.Request.Attempt, c.Request.Digest))
	}
	node := c.local.View.Nodes[id]
	if id == "" || node == nil {
		return c.reply(c.fault)
	}
	c.phase = phaseReplay
	return Order{Kind: OrderReplay, For: constants.ReservationWait, Address: node.Address, Replay: &schema.ReplayRequest{Attempt: c.Request.Attempt, Digest: c.Request.Digest}}
}

func (c *RequestMachine) replayed(e Event) Order {
	if !e.Replayed.GetKept() {
		return c.reply(c.fault)
	}
	return c.sealedBefore(replayed(e.Replayed))
}

func (c *RequestMachine) sealedBefore(o *Result) Order {
	if o == nil || o.Header.Get(HeaderAttempt) != c.Request.Attempt || o.Header.Get(HeaderDigest) != Seal(o.Body) {
		return c.reply(c.fault)
	}
	return Order{Kind: OrderReply, Result: o}
}

func (c *RequestMachine) reserve() Order {
	d := c.decision
	members := idempotency.Match(d.Replicas, c.Request.Attempt)
	c.phase = phaseReserve
	c.replicas, c.held, c.reservedAt = d.Replicas, members, c.now
	c.round++
	c.asked, c.taken, c.elsewhere = len(members), 0, 0
	order := Order{Kind: OrderReserve, For: constants.ReservationWait}
	for _, m := range members {
		order.Reservations = append(order.Reservations, ReservationCall{m, &schema.ReservationRequest{Attempt: c.Request.Attempt, Digest: c.Request.Digest, Owner: c.Owner, Number: uint64(d.Owner.Number),
			ReplicaSet: d.Replicas.Number, Region: d.Replicas.Region, Round: c.round, WaitMs: uint32(c.Request.Wait.Milliseconds()), AgeMs: uint64(c.age().Milliseconds())}})
	}
	return order
}

func (c *RequestMachine) age() time.Duration {
	if c.Request.Age == 0 {
		return 0
	}
	return c.Request.Age + c.now - c.Begun
}

func (c *RequestMachine) takeReservation(e Event) Order {
	c.asked--
	switch e.Reserved.GetState() {
	case schema.ReservationState_RESERVATION_TAKEN:
		c.taken++
	case schema.ReservationState_RESERVATION_HELD:
		c.elsewhere++
		c.owner = cmp.Or(e.Reserved.Owner, c.owner)
	case schema.ReservationState_RESERVATION_UNAVAILABLE:
		c.sinceBytes = time.Duration(e.Reserved.LeftMs) * time.Millisecond
	}
	isTaken := c.taken >= idempotency.Majority(len(c.held))
	switch {
	case isTaken && c.now-c.reservedAt < constants.ReservationWait:
		c.isReserved = true
		return c.turn(false)
	case c.asked > 0 && !isTaken:
		return Order{Kind: OrderListen}
	}
	if c.elsewhere > 0 {
		return c.release(&RefusalError{Status: http.StatusConflict, Kind: "attempt-held", Result: ResultAmbiguous, RetryAfter: constants.RetryAfter,
			Message: "another leg of this attempt id runs or ran, or may have run before its keepers' memory begins; its outcome is not known here"}, true)
	}
	c.parkedAt = cmp.Or(c.parkedAt, c.now)
	return c.release(nil, false)
}

func (c *RequestMachine) attempt() Order {
	b := c.decision.Backend
	if c.attempts > 0 && (c.attempts >= constants.AttemptsMost || !c.Loads.Repeat(c.now, b.Service, c.part())) {
		return c.giveUp(newRefusalLater("no-repeat", "the repeat budget of %s is spent; send again later", b.Service))
	}
	c.Loads.Begin(b.Instance)
	c.Loads.BeginKey(b.Service, c.Request.Key)
	c.phase = phaseConnect
	return Order{Kind: OrderConnect, For: constants.ConnectWait, Address: b.Address, Who: Identity{b.Service, b.Instance}}
}

func (c *RequestMachine) endAttempt() {
	c.Loads.End(c.decision.Backend.Instance)
	c.Loads.EndKey(c.decision.Backend.Service, c.Request.Key)
}

func (c *RequestMachine) connected(e Event) Order {
	d := c.decision
	if e.Err != nil {
		c.endAttempt()
		c.Loads.Report(d.Backend.Instance, e.Err)
		c.tried[d.Backend.Instance] = true
		c.lastFault = e.Err.Error()
		return c.turn(false)
	}
	s := c.situation()
	again, isOwn := Check(s)
	if !isOwn || !isStill(c.local, again, d) {
		c.endAttempt()
		return c.turn(true)
	}
	c.endKeyed = func(bool) {}
	if d.Entry.Keyed {
		c.endKeyed = c.Loads.BeginKeyed(d.Version)
	}
	left := c.until - c.now
	if d.IsSafe {
		left = min(left, constants.SafeAttemptMost)
	}
	switch {
	case c.attempts > 0:
		c.Repeats++
	case len(c.Request.Forwarded) == 0:
		c.Loads.First(c.now, d.Backend.Service)
	}
	c.attempts++
	header := c.header(left)
	header.Set(HeaderService, d.Backend.Service)
	header.Set(HeaderInstance, d.Backend.Instance)
	header.Set(HeaderNumber, d.Owner.Trail.String())
	if d.Entry.Keyed {
		header.Set(HeaderSlot, fmt.Sprintf("%d;%d", d.Slot, d.SlotNo))
	}
	c.phase = phaseAttempt
	return Order{Kind: OrderSend, For: left, Path: c.Request.Path, Header: header, Limit: d.Entry.ResponseLimit}
}

func (c *RequestMachine) answered(e Event) Order {
	d := c.decision
	err := e.Err
	if err == nil {
		err = verify(e.Result, c.Request, d.Backend)
	}
	c.endAttempt()
	c.isTouched = c.isTouched || e.IsTouched
	c.endKeyed(err != nil)
	if err == nil {
		c.Loads.Report(d.Backend.Instance, nil)
		result := &Result{e.Result.Status, strip(e.Result.Header), e.Result.Body}
		if !d.IsSafe {
			c.Kept.Put(c.now, c.Request, result)
		}
		return Order{Kind: OrderReply, Result: result, Keeps: true}
	}
	c.tried[d.Backend.Instance] = true
	c.lastFault = err.Error()
	if c.now >= c.until || e.IsGone || !d.IsSafe && c.isTouched {
		return c.giveUp(newRefusalLater("failed", "%v", err))
	}
	return c.turn(false)
}

func (c *RequestMachine) forward() Order {
	if c.forwards == 0 {
		c.Loads.First(c.now, c.Request.Service)
	}
	nodes := c.decision.Nodes
	best := nodes[c.Draw(int64(len(nodes)))]
	if other := nodes[c.Draw(int64(len(nodes)))]; c.Loads.InFlight(other.Id) < c.Loads.InFlight(best.Id) {
		best = other
	}
	if c.Loads.IsBad(best.Id) {
		for _, node := range nodes {
			if !c.Loads.IsBad(node.Id) {
				best = node
			}
		}
	}
	c.Loads.Begin(best.Id)
	c.node = best
	c.phase = phaseForwardConnect
	return Order{Kind: OrderConnect, For: constants.ConnectWait, Address: best.Proxy, Who: Identity{"topazshed", best.Id}}
}

func (c *RequestMachine) forwardConnected(e Event) Order {
	if e.Err != nil {
		c.Loads.End(c.node.Id)
		c.Loads.Report(c.node.Id, e.Err)
		return c.forwardEnded(newRefusalLater("no-proxy", "the owner's proxy is not reached (%v); send again", e.Err), true)
	}
	left := c.until - c.now
	header := c.header(left)
	header.Set(HeaderForwarded, c.decision.Owner.Trail.String())
	if age := c.age(); age > 0 {
		header.Set(HeaderAge, strconv.FormatInt(age.Milliseconds(), 10))
	}
	c.phase = phaseForward
	return Order{Kind: OrderSend, For: left, Path: "/" + c.Request.Service + c.Request.Path, Header: header, Limit: c.decision.Entry.ResponseLimit + 4096, IsBound: true}
}

func (c *RequestMachine) forwardAnswered(e Event) Order {
	c.Loads.End(c.node.Id)
	doubt := func(err error) Order {
		c.Loads.Report(c.node.Id, err)
		return c.forwardEnded(&RefusalError{Status: http.StatusBadGateway, Kind: "failed", Result: ResultAmbiguous, RetryAfter: constants.RetryAfter,
			Message: fmt.Sprintf("the owner's proxy gave no whole answer: %v", err)}, c.decision.IsSafe)
	}
	if e.Err != nil {
		return doubt(e.Err)
	}
	o := e.Result
	if o.Header.Get(HeaderAttempt) != c.Request.Attempt || o.Header.Get(HeaderProxy) != c.node.Id {
		return doubt(errors.New("the answer is for another query"))
	}
	kind := o.Header.Get(HeaderOutcome)
	if kind == ResultSealed && o.Header.Get(HeaderDigest) != Seal(o.Body) && c.Request.Method != http.MethodHead {
		return doubt(errors.New("the answer's digest does not fit its body"))
	}
	c.Loads.Report(c.node.Id, nil)
	if kind == ResultSealed {
		return Order{Kind: OrderReply, Result: &Result{o.Status, strip(o.Header), o.Body}, Keeps: true}
	}
	fault := &RefusalError{Status: o.Status, Kind: "forwarded", Result: ResultAmbiguous, Message: strings.TrimSpace(string(o.Body))}
	var text errorBody
	if jsonRead(o.Body, &text) {
		fault.Kind, fault.Message = text.Kind, text.Message
	}
	if kind == ResultRefused {
		fault.Result = ResultRefused
	}
	if seconds, err := strconv.Atoi(o.Header.Get("Retry-After")); err == nil {
		fault.RetryAfter = time.Duration(seconds) * time.Second
	}
	order := c.forwardEnded(fault, kind == ResultRefused && (text.Kind == "moved" || text.Kind == "behind"))
	order.Keeps = true
	return order
}

func (c *RequestMachine) forwardEnded(fault *RefusalError, mayRepeat bool) Order {
	c.forwards++
	if !mayRepeat || c.forwards >= 3 || fault.Result == ResultAmbiguous && !c.Loads.Repeat(c.now, c.Request.Service, c.part()) {
		return c.reply(fault)
	}
	c.lastFault, c.fault = fault.Message, fault
	c.parkedAt = cmp.Or(c.parkedAt, c.now)
	c.phase = phaseForwardPause
	return Order{Kind: OrderWait, For: 5 * constants.ParkStep}
}

func isStill(local *controlplane.Local, again, d Decision) bool {
	if !slices.Equal(again.Owner.Trail, d.Owner.Trail) || again.Owner.Fenced && !d.IsSafe || again.Entry == nil {
		return false
	}
	service := local.View.Services[d.Backend.Service]
	if service == nil || !slices.ContainsFunc(service.Backends, func(b *schema.Backend) bool {
		return b.Instance == d.Backend.Instance && b.Address == d.Backend.Address && usable(local.View, b, d.Owner.Region)
	}) {
		return false
	}
	if d.Entry.Keyed {
		slot := service.Slots[d.Slot]
		return slot != nil && slot.Next == "" && slot.Number == d.SlotNo
	}
	return true
}

func (c *RequestMachine) part() Part {
	view := c.local.View
	return partOf(view, view.Services[c.decision.Entry.Service], c.Self.Id, func(string) bool { return true }, func(*schema.Node) bool { return true })
}

var dropped = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", HeaderForwarded, HeaderOutcome, HeaderProxy}

func (c *RequestMachine) header(left time.Duration) http.Header {
	header := c.Request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range dropped {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(name, "Topazshed-") {
			header.Del(name)
		}
	}
	header.Set(HeaderAttempt, c.Request.Attempt)
	header.Set(HeaderWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(HeaderOrigin, c.Request.OriginRaw)
	if c.Request.Key != "" {
		header.Set(HeaderKey, c.Request.Key)
	}
	return header
}

func verify(o *Result, q *Request, b *schema.Backend) error {
	h := o.Header
	switch {
	case h.Get(HeaderAttempt) != q.Attempt:
		return fmt.Errorf("outcome is sealed for attempt %q", h.Get(HeaderAttempt))
	case h.Get(HeaderService) != b.Service || h.Get(HeaderInstance) != b.Instance:
		return fmt.Errorf("outcome is sealed by %s/%s", h.Get(HeaderService), h.Get(HeaderInstance))
	case h.Get(HeaderDigest) != Seal(o.Body) && q.Method != http.MethodHead:
		return errors.New("outcome's digest does not fit its body")
	case o.Status < 200:
		return fmt.Errorf("outcome has status %d", o.Status)
	}
	return nil
}

func strip(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range dropped {
		kept.Del(name)
	}
	return kept
}
