package sim

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/catalog"
	"topazshed/internal/checker"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
)

func (f *Fleet) answer(n *Node, o controlplane.LocalResponse) {
	if take := n.pendingCalls[o.Ticket]; take != nil {
		delete(n.pendingCalls, o.Ticket)
		take(&schema.Frame{Body: &schema.Frame_OperatorResponse{OperatorResponse: o.Response}})
	}
}

// Operate sends an operator's request to a machine and keeps what was told.
func (f *Fleet) Operate(n *Node, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	at := f.Now
	if f.Options.Fault == "race" && request.Kind == schema.OperatorKind_OPERATOR_PUT {
		request = proto.Clone(request).(*schema.OperatorRequest)
		f.after(time.Duration(f.random.Intn(1500))*time.Millisecond, func() { f.operate(n, at, request, take) })
		return
	}
	f.operate(n, at, request, take)
}

func (f *Fleet) operate(n *Node, at time.Duration, request *schema.OperatorRequest, take func(*schema.OperatorResponse)) {
	base := request.Base
	if f.Options.Fault == "race" {
		request.Base = n.machine.Local().View.Head.Version
		at = f.Now
	}
	f.on(n, n.Boot, func() {
		n.serial++
		n.pendingCalls[n.serial] = func(frame *schema.Frame) {
			o := frame.GetOperatorResponse()
			if f.Options.Fault == "read-back" && o.Version > 1 && request.Kind == schema.OperatorKind_OPERATOR_SHOW {
				o.Version--
			}
			f.recordOperator(n, at, base, request, o)
			take(o)
		}
		n.machine.Operate(f.clock(n), n.serial, request)
		f.perform(n)
	})
}

func (f *Fleet) recordOperator(n *Node, at time.Duration, base uint64, request *schema.OperatorRequest, o *schema.OperatorResponse) {
	e := checker.OperatorEvent{At: at, End: f.Now, Zone: request.Zone, Version: o.Version, Base: base, Status: 200, Node: n.Name}
	switch request.Kind {
	case schema.OperatorKind_OPERATOR_PUT:
		e.What = "put"
		var document catalog.Document
		if document.UnmarshalJSON(request.Document) != nil || strings.Contains(string(request.Document), "nobody") {
			e.What = "bad-put"
		}
		for _, entry := range document.Entries {
			e.Entries = append(e.Entries, checker.EntrySeen{Service: entry.Service, Path: entry.Path, Methods: entry.Methods, Safe: entry.RepeatSafe, Homes: entry.HomeRegions})
		}
	case schema.OperatorKind_OPERATOR_SHOW:
		e.What = "show"
	case schema.OperatorKind_OPERATOR_EMPTY:
		e.What = "empty"
	case schema.OperatorKind_OPERATOR_RESTORE:
		e.What = "restore"
	default:
		return
	}
	f.unconfirmed = o.Unconfirmed
	if o.Refusal != schema.RefusalKind_REFUSAL_NONE {
		e.Status = 400 + int(o.Refusal)
	} else if e.What == "put" {
		f.acceptedVersion = max(f.acceptedVersion, o.Version)
		f.acceptedAt[o.Version] = f.Now
	}
	f.History.Operators = append(f.History.Operators, e)
}

// Put puts a configuration through a machine until it is accepted, refused for good, or a time is over.
func (f *Fleet) Put(n *Node, document string, base uint64) *schema.OperatorResponse {
	var result *schema.OperatorResponse
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: []byte(document), Base: base}, func(o *schema.OperatorResponse) {
		result = o
	})
	for range 700 {
		if result != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return result
}

// Show reads the configuration back through a machine.
func (f *Fleet) Show(n *Node) *schema.OperatorResponse {
	var result *schema.OperatorResponse
	f.Operate(n, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW}, func(o *schema.OperatorResponse) {
		result = o
	})
	for range 700 {
		if result != nil {
			break
		}
		f.RunFor(10 * time.Millisecond)
	}
	return result
}

// Move empties or restores a zone through any machine, trying until it is accepted.
func (f *Fleet) SetZoneEmptied(zone string, isEmpty bool) bool {
	kind := schema.OperatorKind_OPERATOR_RESTORE
	if isEmpty {
		kind = schema.OperatorKind_OPERATOR_EMPTY
	}
	for range 60 {
		n := f.Nodes[f.random.Intn(len(f.Nodes))]
		if !n.IsUp {
			continue
		}
		isDone, isAccepted := false, false
		f.Operate(n, &schema.OperatorRequest{Kind: kind, Zone: zone, Reason: "sim"}, func(o *schema.OperatorResponse) {
			isDone, isAccepted = true, o.Refusal == schema.RefusalKind_REFUSAL_NONE
		})
		for i := 0; i < 100 && !isDone; i++ {
			f.RunFor(10 * time.Millisecond)
		}
		if isAccepted {
			return true
		}
		f.RunFor(200 * time.Millisecond)
	}
	return false
}
