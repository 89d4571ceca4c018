package proxy

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"topazshed/internal/claim"
	"topazshed/internal/constants"
	"topazshed/internal/core"
	"topazshed/internal/schema"
	"topazshed/internal/standing"
)

// Options make an Executor.
type Options struct {
	Self  *schema.Node
	Now   func() time.Duration
	Local func() *core.Local
	Want  func(service string)
	Call  func(ctx context.Context, address string, frame *schema.Frame) (*schema.Frame, error)
	Draw  func(int64) int64
	Pool  *Pool
	Loads *Loads
	Log   *slog.Logger
}

// Executor obeys the decider for each query.
type Executor struct {
	options Options
	serial  atomic.Uint64
	stats   [4]atomic.Uint64
}

// NewExecutor makes one.
func NewExecutor(options Options) *Executor { return &Executor{options: options} }

// Stats are the counts of sealed, declined, doubtful and repeated legs.
func (x *Executor) Stats() map[string]uint64 {
	return map[string]uint64{"sealed": x.stats[0].Load(), "declined": x.stats[1].Load(), "doubtful": x.stats[2].Load(), "repeats": x.stats[3].Load()}
}

// Outcome is a back end's whole, sealed answer.
type Outcome struct {
	Status int
	Header http.Header
	Body   []byte
}

// ServeHTTP takes one query from a caller or from another proxy.
func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun := x.options.Now()
	outcome, fault := x.run(r, begun)
	w.Header().Set(HeaderProxy, x.options.Self.Id)
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	if fault != nil {
		if fault.Outcome == OutcomeDoubtful {
			x.stats[2].Add(1)
		} else {
			x.stats[1].Add(1)
		}
		fault.Write(w)
		return
	}
	x.stats[0].Add(1)
	for name, values := range outcome.Header {
		w.Header()[name] = values
	}
	w.Header().Set(HeaderOutcome, OutcomeSealed)
	w.Header().Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	w.WriteHeader(outcome.Status)
	w.Write(outcome.Body)
}

func (x *Executor) run(r *http.Request, begun time.Duration) (*Outcome, *DeclineError) {
	q, fault := ReadQuery(r)
	if fault != nil {
		return nil, fault
	}
	if fault := x.readBody(q, r, begun); fault != nil {
		return nil, fault
	}
	q.Seal()
	return x.Run(r.Context(), q, begun)
}

func (x *Executor) readBody(q *Query, r *http.Request, begun time.Duration) *DeclineError {
	limit := uint64(constants.BodyLimit)
	if service := x.options.Local().View.Services[q.Service]; service != nil {
		if entry := service.Entry(q.Path); entry != nil {
			limit = entry.BodyLimit
		}
	}
	oversize := decline(http.StatusRequestEntityTooLarge, "oversize", "the body is above the entry's limit of %d bytes; send less", limit)
	if r.ContentLength > int64(limit) {
		return oversize
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return decline(http.StatusBadRequest, "cut-short", "the body ended early; send it whole")
	}
	if uint64(len(body)) > limit {
		return oversize
	}
	q.Body = body
	return nil
}

type leg struct {
	isClaimed bool
	attempt   string
	holder    string
	keepers   *schema.Keepers
	held      []*schema.Member
	legs      int
	isTouched bool
	tried     map[string]bool
	lastFault string
	silence   time.Duration
	round     uint32
}

// Run carries a query until it has its one outcome.
func (x *Executor) Run(ctx context.Context, q *Query, begun time.Duration) (*Outcome, *DeclineError) {
	l := &leg{tried: map[string]bool{}, attempt: q.Attempt, holder: fmt.Sprintf("%s/%d", x.options.Self.Id, x.serial.Add(1))}
	wait := q.Wait - min(constants.AnswerMargin, q.Wait/constants.AnswerShare)
	until := begun + wait
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var parkedAt, parked time.Duration
	forwards := 0
	for {
		now := x.options.Now()
		if parkedAt > 0 {
			parked = now - parkedAt
		}
		d := Decide(Situation{Now: now, Local: x.options.Local(), Self: x.options.Self, Query: q, Load: x.options.Loads, Tried: l.tried,
			IsClaimed: l.isClaimed, Parked: parked, Left: until - now, Draw: x.options.Draw})
		if d.Entry != nil && !d.IsSafe && until > begun+constants.ClaimWindow {
			until = begun + constants.ClaimWindow
		}
		switch d.Turn {
		case TurnDecline:
			return nil, x.giveUp(l, d.Decline)
		case TurnPark:
			if d.Wanted != "" {
				x.options.Want(d.Wanted)
			}
			step := min(constants.ParkStep, until-now)
			select {
			case <-ctx.Done():
				return nil, x.giveUp(l, declineLater("gone", "the caller left or the wait is over"))
			case <-time.After(step):
			}
			parkedAt = cmp.Or(parkedAt, now)
		case TurnForward:
			if forwards == 0 {
				x.options.Loads.First(now, q.Service)
			}
			outcome, fault, isSure := x.forward(ctx, q, d, until)
			if fault == nil {
				return outcome, nil
			}
			forwards++
			if !isSure || forwards >= 3 || fault.Outcome == OutcomeDoubtful && !x.options.Loads.Repeat(x.options.Now(), q.Service, x.sharers(d)) {
				return nil, fault
			}
			l.lastFault = fault.Message
			parkedAt = cmp.Or(parkedAt, now)
			select {
			case <-ctx.Done():
				return nil, fault
			case <-time.After(constants.ParkStep * 5):
			}
			if parked >= constants.ParkMost {
				return nil, fault
			}
		case TurnClaim:
			state, fault := x.claim(ctx, q, d, l)
			if fault != nil {
				return nil, fault
			}
			if state {
				l.isClaimed = true
			} else {
				parkedAt = cmp.Or(parkedAt, now)
				select {
				case <-ctx.Done():
					return nil, x.giveUp(l, declineLater("gone", "the caller left or the wait is over"))
				case <-time.After(constants.ParkStep):
				}
				if x.options.Now()-parkedAt >= constants.ParkShort {
					fault := declineLater("no-claim", "the keepers of this attempt id did not agree; send again")
					fault.RetryAfter = max(constants.RetryAfter, l.silence)
					return nil, x.giveUp(l, fault)
				}
			}
		case TurnLeg:
			outcome, fault, isAgain := x.leg(ctx, q, d, l, until)
			if fault == nil && outcome != nil {
				return outcome, nil
			}
			if !isAgain {
				return nil, fault
			}
		}
	}
}

func (x *Executor) giveUp(l *leg, fault *DeclineError) *DeclineError {
	if l.isTouched {
		e := *fault
		e.Status, e.Kind, e.Outcome = http.StatusBadGateway, "failed", OutcomeDoubtful
		e.Message = "a leg was begun and gave no sealed answer: " + l.lastFault
		e.RetryAfter = constants.RetryAfter
		return &e
	}
	x.release(l)
	return fault
}

func (x *Executor) release(l *leg) {
	if len(l.held) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), constants.ClaimWait/3)
	defer cancel()
	done := make(chan bool, len(l.held))
	for _, m := range l.held {
		go func() {
			x.options.Call(ctx, m.Address, &schema.Frame{Body: &schema.Frame_Claim{Claim: &schema.Claim{Attempt: l.attempt, Holder: l.holder, Keepers: l.keepers.Number, Region: l.keepers.Region, Round: l.round, Ended: true}}})
			done <- true
		}()
	}
	for range l.held {
		<-done
	}
	l.held = nil
	l.isClaimed = false
}

func (x *Executor) claim(ctx context.Context, q *Query, d Decision, l *leg) (bool, *DeclineError) {
	members := claim.Match(d.Keepers, q.Attempt)
	begun := x.options.Now()
	callCtx, cancel := context.WithTimeout(ctx, constants.ClaimWait)
	defer cancel()
	type answer struct {
		member  *schema.Member
		outcome *schema.ClaimOutcome
	}
	answers := make(chan answer, len(members))
	l.keepers, l.held = d.Keepers, members
	l.round++
	round := l.round
	for _, m := range members {
		go func() {
			f, err := x.options.Call(callCtx, m.Address, &schema.Frame{Body: &schema.Frame_Claim{Claim: &schema.Claim{Attempt: q.Attempt, Digest: q.Digest, Holder: l.holder,
				Number: d.Owner.Number, Keepers: d.Keepers.Number, Region: d.Keepers.Region, Round: round, WaitMs: uint32(q.Wait.Milliseconds())}}})
			if err != nil {
				answers <- answer{m, &schema.ClaimOutcome{}}
				return
			}
			answers <- answer{m, f.GetClaimOutcome()}
		}()
	}
	taken, heldElsewhere := 0, 0
	for range members {
		a := <-answers
		switch a.outcome.GetState() {
		case schema.ClaimState_CLAIM_TAKEN:
			taken++
		case schema.ClaimState_CLAIM_HELD:
			heldElsewhere++
		case schema.ClaimState_CLAIM_SILENT:
			l.silence = time.Duration(a.outcome.LeftMs) * time.Millisecond
		}
		if taken >= claim.Majority(len(members)) {
			break
		}
	}
	if taken >= claim.Majority(len(members)) && x.options.Now()-begun < constants.ClaimWait {
		return true, nil
	}
	x.release(l)
	if heldElsewhere > 0 {
		return false, &DeclineError{Status: http.StatusConflict, Kind: "attempt-held", Outcome: OutcomeDoubtful, RetryAfter: constants.RetryAfter,
			Message: "another leg of this attempt id runs or ran; its outcome is not known here"}
	}
	return false, nil
}

func (x *Executor) leg(ctx context.Context, q *Query, d Decision, l *leg, until time.Duration) (*Outcome, *DeclineError, bool) {
	b := d.Backend
	sharers := x.sharers(d)
	if l.legs > 0 && (l.legs >= constants.LegsMost || !x.options.Loads.Repeat(x.options.Now(), b.Service, sharers)) {
		return nil, x.giveUp(l, declineLater("no-repeat", "the repeat budget of %s is spent; send again later", b.Service)), false
	}
	x.options.Loads.Begin(b.Instance)
	defer x.options.Loads.End(b.Instance)
	x.options.Loads.BeginKey(b.Service, q.Key)
	defer x.options.Loads.EndKey(b.Service, q.Key)
	conn, err := x.options.Pool.Get(ctx, b.Address, Identity{b.Service, b.Instance})
	if err != nil {
		x.options.Loads.Report(b.Instance, false)
		l.tried[b.Instance] = true
		l.lastFault = err.Error()
		x.options.Log.Debug("back end not reached", "instance", b.Instance, "reason", err.Error())
		return nil, nil, true
	}
	endKeyed := func(bool) {}
	if d.Entry.Keyed {
		endKeyed = x.options.Loads.BeginKeyed(d.Version)
	}
	local := x.options.Local()
	again, isOwn := Check(Situation{Now: x.options.Now(), Local: local, Self: x.options.Self, Query: q, IsClaimed: l.isClaimed, Left: until - x.options.Now()})
	if !isOwn || !isStill(local, again, d) {
		x.options.Pool.Put(conn)
		endKeyed(false)
		return nil, nil, true
	}
	limit := until
	if d.IsSafe {
		limit = min(limit, x.options.Now()+constants.SafeLegMost)
	}
	switch {
	case l.legs > 0:
		x.stats[3].Add(1)
	case len(q.Forwarded) == 0:
		x.options.Loads.First(x.options.Now(), b.Service)
	}
	l.legs++
	outcome, isTouched, isClean, err := x.exchange(conn, q, d, limit-x.options.Now())
	l.isTouched = l.isTouched || isTouched
	endKeyed(err != nil && errors.Is(err, os.ErrDeadlineExceeded))
	if isClean {
		x.options.Pool.Put(conn)
	} else {
		conn.Close()
	}
	if err == nil {
		x.options.Loads.Report(b.Instance, true)
		return outcome, nil, false
	}
	l.tried[b.Instance] = true
	l.lastFault = err.Error()
	x.options.Log.Debug("leg failed", "instance", b.Instance, "reason", err.Error())
	if ctx.Err() != nil || x.options.Now() >= until || (!d.IsSafe && l.isTouched) {
		return nil, x.giveUp(l, declineLater("failed", "%v", err)), false
	}
	return nil, nil, true
}

func isStill(local *core.Local, again, d Decision) bool {
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

func (x *Executor) sharers(d Decision) int {
	view := x.options.Local().View
	groups := map[string]bool{}
	if service := view.Services[d.Entry.Service]; service != nil {
		for _, rows := range service.Standings {
			for _, row := range rows {
				groups[standing.GroupName(view, row.Number)] = true
			}
		}
	}
	count := 0
	for _, node := range view.Nodes {
		if groups[node.District] {
			count++
		}
	}
	return max(1, count)
}

var dropped = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", HeaderForwarded, HeaderOutcome, HeaderProxy}

func (x *Executor) exchange(conn *Proved, q *Query, d Decision, left time.Duration) (outcome *Outcome, isTouched, isClean bool, err error) {
	request, err := x.request("http://"+conn.RemoteAddr().String()+q.Path, q, left)
	if err != nil {
		return nil, false, false, err
	}
	request.Header.Set(HeaderService, d.Backend.Service)
	request.Header.Set(HeaderInstance, d.Backend.Instance)
	request.Header.Set(HeaderNumber, d.Owner.Trail.String())
	if d.Entry.Keyed {
		request.Header.Set(HeaderSlot, fmt.Sprintf("%d;%d", d.Slot, d.SlotNo))
	}
	conn.SetDeadline(time.Now().Add(left))
	if err := request.Write(conn); err != nil {
		return nil, true, false, fmt.Errorf("write leg: %w", err)
	}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, true, false, fmt.Errorf("read outcome: %w", err)
	}
	body, err := readWhole(response, d.Entry.OutcomeLimit)
	if err != nil {
		return nil, true, false, err
	}
	if err := verify(response, body, q, d.Backend); err != nil {
		return nil, true, false, err
	}
	isClean = !response.Close && conn.reader.Buffered() == 0
	return &Outcome{response.StatusCode, strip(response.Header), body}, true, isClean, nil
}

func (x *Executor) request(target string, q *Query, left time.Duration) (*http.Request, error) {
	address, err := url.Parse(target)
	if err != nil {
		return nil, err
	}
	address.RawQuery = q.RawQuery
	request := &http.Request{Method: q.Method, URL: address, Host: address.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: q.Header.Clone()}
	for _, name := range dropped {
		request.Header.Del(name)
	}
	for name := range request.Header {
		if strings.HasPrefix(name, "Topazshed-") {
			request.Header.Del(name)
		}
	}
	request.Header.Set(HeaderAttempt, q.Attempt)
	request.Header.Set(HeaderWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(HeaderOrigin, q.OriginRaw)
	if q.Key != "" {
		request.Header.Set(HeaderKey, q.Key)
	}
	if len(q.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(q.Body))
		request.ContentLength = int64(len(q.Body))
	}
	return request, nil
}

func readWhole(response *http.Response, limit uint64) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("outcome cut short: %w", err)
	}
	if uint64(len(body)) > limit {
		return nil, errors.New("outcome is above the entry's limit; raise outcome_limit or shrink it")
	}
	return body, nil
}

// Seal is the digest header of a body in the form of RFC 9530.
func Seal(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

func verify(response *http.Response, body []byte, q *Query, b *schema.Backend) error {
	h := response.Header
	switch {
	case h.Get(HeaderAttempt) != q.Attempt:
		return fmt.Errorf("outcome is sealed for attempt %q", h.Get(HeaderAttempt))
	case h.Get(HeaderService) != b.Service || h.Get(HeaderInstance) != b.Instance:
		return fmt.Errorf("outcome is sealed by %s/%s", h.Get(HeaderService), h.Get(HeaderInstance))
	case h.Get(HeaderDigest) != Seal(body) && q.Method != http.MethodHead:
		return errors.New("outcome's digest does not fit its body")
	case response.StatusCode < 200:
		return fmt.Errorf("outcome has status %d", response.StatusCode)
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

func (x *Executor) forward(ctx context.Context, q *Query, d Decision, until time.Duration) (*Outcome, *DeclineError, bool) {
	best := d.Nodes[x.options.Draw(int64(len(d.Nodes)))]
	if other := d.Nodes[x.options.Draw(int64(len(d.Nodes)))]; x.options.Loads.InFlight(other.Id) < x.options.Loads.InFlight(best.Id) {
		best = other
	}
	if x.options.Loads.IsBad(best.Id) {
		for _, node := range d.Nodes {
			if !x.options.Loads.IsBad(node.Id) {
				best = node
			}
		}
	}
	x.options.Loads.Begin(best.Id)
	defer x.options.Loads.End(best.Id)
	conn, err := x.options.Pool.Get(ctx, best.Proxy, Identity{"topazshed", best.Id})
	if err != nil {
		x.options.Loads.Report(best.Id, false)
		return nil, declineLater("no-proxy", "the owner's proxy is not reached (%v); send again", err), true
	}
	left := until - x.options.Now()
	request, err := x.request("http://"+conn.RemoteAddr().String()+"/"+q.Service+q.Path, q, left)
	if err != nil {
		conn.Close()
		return nil, decline(http.StatusBadRequest, "bad-path", "%v", err), false
	}
	request.Header.Set(HeaderForwarded, d.Owner.Trail.String())
	doubt := func(err error) (*Outcome, *DeclineError, bool) {
		conn.Close()
		x.options.Loads.Report(best.Id, false)
		return nil, &DeclineError{Status: http.StatusBadGateway, Kind: "failed", Outcome: OutcomeDoubtful, RetryAfter: constants.RetryAfter,
			Message: fmt.Sprintf("the owner's proxy gave no whole answer: %v", err)}, d.IsSafe
	}
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	conn.SetDeadline(time.Now().Add(left))
	if err := request.Write(conn); err != nil {
		return doubt(err)
	}
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return doubt(err)
	}
	body, err := readWhole(response, d.Entry.OutcomeLimit+4096)
	if err != nil {
		return doubt(err)
	}
	if response.Header.Get(HeaderAttempt) != q.Attempt || response.Header.Get(HeaderProxy) != best.Id {
		return doubt(errors.New("the answer is for another query"))
	}
	x.options.Loads.Report(best.Id, true)
	kind := response.Header.Get(HeaderOutcome)
	if kind == OutcomeSealed && response.Header.Get(HeaderDigest) != Seal(body) && q.Method != http.MethodHead {
		return doubt(errors.New("the answer's digest does not fit its body"))
	}
	if !response.Close && conn.reader.Buffered() == 0 {
		x.options.Pool.Put(conn)
	} else {
		conn.Close()
	}
	if kind == OutcomeSealed {
		return &Outcome{response.StatusCode, strip(response.Header), body}, nil, false
	}
	fault := &DeclineError{Status: response.StatusCode, Kind: "forwarded", Outcome: OutcomeDoubtful, Message: strings.TrimSpace(string(body))}
	var text errorBody
	if jsonRead(body, &text) {
		fault.Kind, fault.Message = text.Kind, text.Message
	}
	if kind == OutcomeDeclined {
		fault.Outcome = OutcomeDeclined
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		fault.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, fault, kind == OutcomeDeclined && (text.Kind == "moved" || text.Kind == "behind")
}
