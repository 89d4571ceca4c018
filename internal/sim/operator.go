package sim

import (
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/catalog"
	"topazshed/internal/checker"
	"topazshed/internal/controlplane"
	"topazshed/internal/operations"
	"topazshed/internal/schema"
)

const (
	// operatorPoll is how often an operator looks for an answer, operatorWait how long it waits for a configuration's
	// and zoneWait for a zone's.
	operatorPoll = 10 * time.Millisecond
	operatorWait = 7 * time.Second
	zoneWait     = time.Second
	// zoneTries and zonePause bound how often emptying or restoring a zone is tried.
	zoneTries = 60
	zonePause = 200 * time.Millisecond
	// forgedDelay bounds how late a put goes out under FaultRace.
	forgedDelay = 1500
	// refusedStatus is the status under which a refusal is noted, plus its kind.
	refusedStatus = 400
)

// operatorCall is an operator's request under way.
type operatorCall struct {
	node    *Node
	begun   time.Duration
	base    uint64
	request *schema.OperatorRequest
}

// answer hands the control machine's answer to the operator that waits for it.
func (f *Fleet) answer(n *Node, local controlplane.LocalResponse) {
	n.resolve(uint64(local.Ticket), &schema.Frame{Body: &schema.Frame_OperatorResponse{OperatorResponse: local.Response}})
}

// Operate sends an operator's request to a machine and notes what was answered.
func (f *Fleet) Operate(n *Node, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	call := operatorCall{node: n, begun: f.Now, base: request.Base, request: request}
	if f.Options.Fault == FaultRace && request.Kind == schema.OperatorKind_OPERATOR_PUT {
		call.request = proto.Clone(request).(*schema.OperatorRequest)
		delay := time.Duration(f.random.Intn(forgedDelay)) * time.Millisecond
		f.after(delay, func() { f.operate(call, take) })
		return
	}
	f.operate(call, take)
}

func (f *Fleet) operate(call operatorCall, take func(*schema.OperatorResponse)) {
	n, request := call.node, call.request
	if f.Options.Fault == FaultRace {
		request.Base = n.machine.Local().View.Head.Version
		call.begun = f.Now
	}
	f.onNode(n, n.Boot, func() {
		n.serial++
		n.pendingCalls[n.serial] = func(frame *schema.Frame) {
			response := frame.GetOperatorResponse()
			isShow := request.Kind == schema.OperatorKind_OPERATOR_SHOW
			if f.Options.Fault == FaultReadBack && isShow && response.Version > 1 {
				response.Version--
			}
			f.recordOperator(call, response)
			take(response)
		}
		n.machine.Operate(f.clock(n), operations.Ticket(n.serial), request, nil)
		f.perform(n)
	})
}

// recordOperator notes an operator's request and its answer in the history.
func (f *Fleet) recordOperator(call operatorCall, response *schema.OperatorResponse) {
	seen := checker.OperatorEvent{
		At:      call.begun,
		End:     f.Now,
		Zone:    call.request.Zone,
		Version: response.Version,
		Base:    call.base,
		Status:  http.StatusOK,
		Node:    call.node.Name,
	}
	switch call.request.Kind {
	case schema.OperatorKind_OPERATOR_PUT:
		seen.What, seen.Entries = readPut(call.request.Document)
	case schema.OperatorKind_OPERATOR_SHOW:
		seen.What = checker.OperatorShow
	case schema.OperatorKind_OPERATOR_EMPTY:
		seen.What = checker.OperatorEmpty
	case schema.OperatorKind_OPERATOR_RESTORE:
		seen.What = checker.OperatorRestore
	default:
		return
	}
	f.unconfirmed = response.Unconfirmed
	if response.Refusal != schema.RefusalKind_REFUSAL_NONE {
		seen.Status = refusedStatus + int(response.Refusal)
	} else if seen.What == checker.OperatorPut {
		f.acceptedVersion = max(f.acceptedVersion, response.Version)
		f.acceptedAt[response.Version] = f.Now
	}
	f.History.Operators = append(f.History.Operators, seen)
}

// readPut tells whether a configuration is one that must be refused, and its entries.
func readPut(text []byte) (checker.OperatorAction, []checker.EntrySeen) {
	action := checker.OperatorPut
	var document catalog.Document
	if document.UnmarshalJSON(text) != nil || strings.Contains(string(text), "nobody") {
		action = checker.OperatorBadPut
	}
	var entries []checker.EntrySeen
	for _, entry := range document.Entries {
		entries = append(entries, checker.EntrySeen{
			Service: entry.Service,
			Path:    entry.Path,
			Methods: entry.Methods,
			Safe:    entry.RepeatSafe,
			Homes:   entry.HomeRegions,
		})
	}
	return action, entries
}

// await sends an operator's request and runs the fleet until it is answered or a wait is over, which gives nil.
func (f *Fleet) await(n *Node, request *schema.OperatorRequest, wait time.Duration) *schema.OperatorResponse {
	var result *schema.OperatorResponse
	f.Operate(n, request, func(response *schema.OperatorResponse) { result = response })
	for waited := time.Duration(0); result == nil && waited < wait; waited += operatorPoll {
		f.RunFor(operatorPoll)
	}
	return result
}

// Put puts a configuration through a machine; nil means that there was no answer.
func (f *Fleet) Put(n *Node, document string, base uint64) *schema.OperatorResponse {
	request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(document), Base: base}
	return f.await(n, request, operatorWait)
}

// Show reads the configuration back through a machine; nil means that there was no answer.
func (f *Fleet) Show(n *Node) *schema.OperatorResponse {
	return f.await(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}, operatorWait)
}

// SetZoneEmptied empties or restores a zone through any machine, trying until it is accepted; false means that it never was.
func (f *Fleet) SetZoneEmptied(zone string, isEmptied bool) bool {
	kind := schema.OperatorKind_OPERATOR_RESTORE
	if isEmptied {
		kind = schema.OperatorKind_OPERATOR_EMPTY
	}
	for range zoneTries {
		n := f.Nodes[f.random.Intn(len(f.Nodes))]
		if !n.IsUp {
			continue
		}
		response := f.await(n, &schema.OperatorRequest{Kind: kind, Zone: zone, Reason: "sim"}, zoneWait)
		if response != nil && response.Refusal == schema.RefusalKind_REFUSAL_NONE {
			return true
		}
		f.RunFor(zonePause)
	}
	return false
}
