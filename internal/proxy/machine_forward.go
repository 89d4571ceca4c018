package proxy

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

const (
	// proxyService is the service that proxies prove.
	proxyService = "topazshed"
	// maxForwards bounds how often a request is forwarded.
	maxForwards = 3
	// forwardPause is how long a request waits before it is forwarded again.
	forwardPause = 5 * constants.ParkStep
	// forwardOverhead is how much longer than a back end's response another proxy's may be, in bytes.
	forwardOverhead = 4 << 10
)

// forwardState is the state of a request that is forwarded to the owner's proxies.
type forwardState struct {
	count int
	node  *schema.Node
}

// forward begins to forward the request to one of the owner's proxies.
func (m *RequestMachine) forward() Order {
	if m.forwards.count == 0 {
		m.Loads.First(m.now, m.Request.Service)
	}
	node := m.drawNode(m.decision.Nodes)
	m.Loads.Begin(node.Id)
	m.forwards.node = node
	m.phase = phaseForwardConnect
	return Order{Kind: OrderConnect, For: constants.ConnectWait, Address: node.Proxy, Identity: Identity{Service: proxyService, Instance: node.Id}}
}

// drawNode draws two proxies and takes the one with fewer attempts in flight. If that is bad, it takes the last one that is not.
func (m *RequestMachine) drawNode(nodes []*schema.Node) *schema.Node {
	best := nodes[m.Draw(int64(len(nodes)))]
	other := nodes[m.Draw(int64(len(nodes)))]
	if m.Loads.InFlight(other.Id) < m.Loads.InFlight(best.Id) {
		best = other
	}
	if !m.Loads.IsBad(best.Id) {
		return best
	}
	for _, node := range nodes {
		if !m.Loads.IsBad(node.Id) {
			best = node
		}
	}
	return best
}

func (m *RequestMachine) forwardConnected(e Event) Order {
	node := m.forwards.node
	if e.Err != nil {
		m.Loads.End(node.Id)
		m.Loads.Report(node.Id, e.Err)
		return m.endForward(newRefusalLater(kindNoProxy, "the owner's proxy is not reached (%v); send again", e.Err), true)
	}
	left := m.until - m.now
	header := m.Request.attemptHeader(left)
	header.Set(HeaderForwarded, m.decision.Owner.Trail.String())
	if age := m.age(); age > 0 {
		header.Set(HeaderAge, strconv.FormatInt(age.Milliseconds(), 10))
	}
	m.phase = phaseForward
	return Order{
		Kind:    OrderSend,
		For:     left,
		Path:    "/" + m.Request.Service + m.Request.Path,
		Header:  header,
		Limit:   m.decision.Entry.ResponseLimit + forwardOverhead,
		IsBound: true,
	}
}

func (m *RequestMachine) forwardAnswered(e Event) Order {
	node := m.forwards.node
	m.Loads.End(node.Id)
	err := e.Err
	if err == nil {
		err = m.verifyForwarded(e.Result)
	}
	if err != nil {
		m.Loads.Report(node.Id, err)
		return m.endForward(noForwardedResponse(err), m.decision.IsSafe)
	}
	m.Loads.Report(node.Id, nil)
	result := e.Result
	if result.Header.Get(HeaderOutcome) == ResultSealed {
		sealed := &Result{Status: result.Status, Header: responseHeader(result.Header), Body: result.Body}
		return Order{Kind: OrderReply, Result: sealed, KeepsConn: true}
	}
	refusal, kind := forwardedRefusal(result)
	// That proxy is no longer the owner's, or does not know yet that it is.
	mayRepeat := refusal.Result == ResultRefused && (kind == kindMoved || kind == kindBehind)
	order := m.endForward(refusal, mayRepeat)
	order.KeepsConn = true
	return order
}

// verifyForwarded tells whether a result is the owner's proxy's of this request, and complete. Its error is a *ResponseError.
func (m *RequestMachine) verifyForwarded(result *Result) error {
	header := result.Header
	if header.Get(HeaderAttempt) != m.Request.Attempt || header.Get(HeaderProxy) != m.forwards.node.Id {
		return newResponseError("the response is for another request")
	}
	isSealed := header.Get(HeaderOutcome) == ResultSealed
	if isSealed && header.Get(HeaderDigest) != ContentDigest(result.Body) && m.Request.Method != http.MethodHead {
		return newResponseError("the response's digest does not fit its body")
	}
	return nil
}

func noForwardedResponse(err error) *RefusalError {
	return &RefusalError{
		Status:     http.StatusBadGateway,
		Kind:       kindFailed,
		Result:     ResultAmbiguous,
		RetryAfter: constants.RetryAfter,
		Message:    "the owner's proxy gave no whole response: " + err.Error(),
	}
}

// forwardedRefusal is the refusal that another proxy responded with, and the kind that it gave, as far as its body could be read.
func forwardedRefusal(result *Result) (refusal *RefusalError, kind string) {
	refusal = &RefusalError{
		Status:  result.Status,
		Kind:    kindForwarded,
		Result:  ResultAmbiguous,
		Message: strings.TrimSpace(string(result.Body)),
	}
	var body errorBody
	if json.Unmarshal(result.Body, &body) == nil {
		refusal.Kind = body.Kind
		refusal.Message = body.Message
	}
	if result.Header.Get(HeaderOutcome) == ResultRefused {
		refusal.Result = ResultRefused
	}
	if seconds, err := strconv.Atoi(result.Header.Get("Retry-After")); err == nil {
		refusal.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refusal, body.Kind
}

// endForward ends the request with a refusal, or forwards it again after a pause. One that may have run needs the repeat budget for that.
func (m *RequestMachine) endForward(refusal *RefusalError, mayRepeat bool) Order {
	m.forwards.count++
	if !mayRepeat || m.forwards.count >= maxForwards {
		return m.reply(refusal)
	}
	if refusal.Result == ResultAmbiguous && !m.Loads.MayRepeat(m.now, m.Request.Service, m.part()) {
		return m.reply(refusal)
	}
	m.reason = refusal.Message
	m.refusal = refusal
	m.parkedAt = cmp.Or(m.parkedAt, m.now)
	m.phase = phaseForwardPause
	return Order{Kind: OrderWait, For: forwardPause}
}
