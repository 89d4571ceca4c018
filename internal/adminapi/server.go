// Package adminapi is the operators' door: HTTP/1.1 with JSON on any node.
package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/protocolversion"
	"topazshed/internal/routes"
	"topazshed/internal/schema"
)

// Options make a Door.
type Options struct {
	Self    *schema.Node
	Now     func() time.Duration
	Local   func() *controlplane.Local
	Operate func(ctx context.Context, request *schema.OperatorRequest) (*schema.OperatorResponse, error)
	Stats   func() map[string]uint64
	Replica func() (number uint64, isMember, isReady bool, reservations int)
	Disk    func() Disk
	Match   http.Handler
	// Resting are the back ends that this node sends nothing to for a moment, since they failed it; nil if it does not know.
	Resting func() []string
	// Routed makes this the door of a fleet that carries routes.
	Routed *Routed
}

// Disk is the state of a node's data folder.
type Disk struct {
	Folder     string `json:"folder,omitempty"`
	LastSyncMs int64  `json:"last_sync_ms"`
	WorstMs    int64  `json:"worst_sync_ms"`
	Fault      string `json:"fault,omitempty"`
}

// Fault is one thing wrong with what an operator sent.
type Fault struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Reply is what an operator gets.
type Reply struct {
	Version uint64  `json:"version"`
	Index   uint64  `json:"index,omitempty"`
	Kind    string  `json:"kind,omitempty"`
	Message string  `json:"message,omitempty"`
	Faults  []Fault `json:"faults,omitempty"`
	// Unconfirmed are the zones whose proxies have not all told that they have the change.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

// Assignment is one row of the region map or of the entity rows, with the reason of its last change.
type Assignment struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Kind    string `json:"kind"`
	Region  string `json:"region"`
	Active  string `json:"active"`
	Number  uint64 `json:"number"`
	Fenced  bool   `json:"fenced"`
	Reason  string `json:"reason"`
}

// NodeStatus is a node as this one knows it.
type NodeStatus struct {
	ID     string `json:"id"`
	Peer   string `json:"peer"`
	Proxy  string `json:"proxy"`
	Admin  string `json:"door"`
	Zone   string `json:"district"`
	Region string `json:"region"`
	Disk   bool   `json:"disk"`
	State  string `json:"state"`
	// SpeaksLow and SpeaksHigh are the versions that the node told.
	SpeaksLow  uint32 `json:"speaks_low"`
	SpeaksHigh uint32 `json:"speaks_high"`
	// Index, HeardMs and InForce are the leader's word: the snapshot that the node had, how long ago it told, and whether the newest configuration is in force there. HeardMs is -1 if the leader has not heard from it.
	Index   uint64 `json:"index,omitempty"`
	HeardMs int64  `json:"heard_ms,omitempty"`
	InForce bool   `json:"in_force,omitempty"`
}

// ZoneStatus is a zone as this node knows it.
type ZoneStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Residue uint32 `json:"residue"`
	Emptied bool   `json:"emptied"`
	Reason  string `json:"reason,omitempty"`
}

// BackendStatus is a back end as this node knows it.
type BackendStatus struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	State    string `json:"state"`
}

// Status is what a node tells of itself and of what it knows.
type Status struct {
	Node          string `json:"node"`
	System        string `json:"system"`
	Role          string `json:"role"`
	Term          uint64 `json:"term"`
	Leader        string `json:"leader"`
	Index         uint64 `json:"index"`
	Rows          int    `json:"rows"`
	Configuration uint64 `json:"configuration"`
	// Fleet is the version that the fleet uses, Newest the highest that this node's program speaks.
	Fleet   uint32 `json:"fleet"`
	Newest  uint32 `json:"newest"`
	Fit     bool   `json:"fit"`
	ClockMs int64  `json:"clock_ms"`
	FreshMs int64  `json:"fresh_ms"`
	// Strays are the answers that belonged to nothing that this process waits for.
	StaleResponses uint64            `json:"strays,omitempty"`
	LeaseMs        int64             `json:"grant_ms"`
	ListMs         int64             `json:"list_ms"`
	ListFault      string            `json:"list_fault,omitempty"`
	Voters         []string          `json:"voters"`
	Learners       []string          `json:"learners"`
	Suspects       []string          `json:"suspects"`
	Replica        map[string]any    `json:"keeper"`
	Disk           *Disk             `json:"disk,omitempty"`
	Results        map[string]uint64 `json:"outcomes"`
	Nodes          []NodeStatus      `json:"nodes"`
	Zones          []ZoneStatus      `json:"districts"`
	Assignments    []Assignment      `json:"standings"`
	Entries        []string          `json:"entries"`
	Backends       []BackendStatus   `json:"backends"`
	Unconfirmed    []string          `json:"unconfirmed,omitempty"`
	// ToleratedLosses is how many more voters may be lost before there is no majority; UnresponsiveVoters are those that the leader does not hear.
	LossesBorne        uint32   `json:"losses_borne"`
	UnresponsiveVoters []string `json:"silent_voters,omitempty"`
	// LeaderUnreachable tells why the leader's part is missing: the changes, and what each machine has.
	LeaderUnreachable string        `json:"leader_silent,omitempty"`
	Changes           []Change      `json:"changes,omitempty"`
	Resting           []string      `json:"resting,omitempty"`
	Routed            *RoutedStatus `json:"routed,omitempty"`
}

// Server serves directory and operators.
type Server struct{ options Options }

// New makes the door's handler.
func New(options Options) http.Handler {
	d := &Server{options}
	router := d.insight()
	if options.Routed != nil {
		router.Get("/v1/match", d.match)
		router.Get("/v1/ready", d.ready)
	} else {
		router.Method(http.MethodGet, "/v1/match", options.Match)
	}
	router.Get("/v1/configuration", d.show)
	router.Put("/v1/configuration", d.put)
	router.Get("/v1/configuration/outcome", d.ask)
	router.Post("/v1/districts/{district}/empty", d.zone(schema.OperatorKind_OPERATOR_EMPTY))
	router.Post("/v1/districts/{district}/restore", d.zone(schema.OperatorKind_OPERATOR_RESTORE))
	return router
}

// NewInsight makes the part of the door that only reads and asks no operator's leave: status, failover assignments, metrics.
func NewInsight(options Options) http.Handler { return (&Server{options}).insight() }

func (d *Server) insight() *chi.Mux {
	router := chi.NewRouter()
	router.Get("/v1/status", d.status)
	router.Get("/metrics", d.metrics)
	if d.options.Routed != nil {
		router.Get("/v1/standings", d.assignments)
		router.Get("/v1/standings/{region}", d.assignment)
	}
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		write(w, http.StatusNotFound, Reply{Kind: "unknown", Message: "no such call; see docs/operators.md for the door's calls"})
	})
	return router
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

var statuses = map[schema.RefusalKind]int{
	schema.RefusalKind_REFUSAL_NONE: http.StatusOK, schema.RefusalKind_REFUSAL_INVALID: http.StatusUnprocessableEntity,
	schema.RefusalKind_REFUSAL_CONFLICT: http.StatusConflict, schema.RefusalKind_REFUSAL_UNKNOWN: http.StatusNotFound,
	schema.RefusalKind_REFUSAL_NO_LEADER: http.StatusServiceUnavailable, schema.RefusalKind_REFUSAL_AMBIGUOUS: http.StatusGatewayTimeout,
	schema.RefusalKind_REFUSAL_OVERSIZE: http.StatusRequestEntityTooLarge,
}

// kinds are the kinds of refusals as operators read them; they are part of the API.
var kinds = map[schema.RefusalKind]string{
	schema.RefusalKind_REFUSAL_INVALID:   "invalid",
	schema.RefusalKind_REFUSAL_CONFLICT:  "conflict",
	schema.RefusalKind_REFUSAL_UNKNOWN:   "unknown",
	schema.RefusalKind_REFUSAL_NO_LEADER: "no_leader",
	schema.RefusalKind_REFUSAL_AMBIGUOUS: "doubtful",
	schema.RefusalKind_REFUSAL_OVERSIZE:  "oversize",
}

func (d *Server) operate(w http.ResponseWriter, r *http.Request, request *schema.OperatorRequest) *schema.OperatorResponse {
	ctx, cancel := context.WithTimeout(r.Context(), constants.ProposalWait+time.Second)
	defer cancel()
	response, err := d.options.Operate(ctx, request)
	if err != nil {
		write(w, http.StatusGatewayTimeout, Reply{Kind: "doubtful", Message: fmt.Sprintf("%v; the query may still be taken, read back before repeating", err)})
		return nil
	}
	if response.Refusal != schema.RefusalKind_REFUSAL_NONE {
		newRefusal(w, response)
		return nil
	}
	return response
}

func newRefusal(w http.ResponseWriter, response *schema.OperatorResponse) {
	reply := Reply{Version: response.Version, Message: response.Message, Kind: kinds[response.Refusal]}
	for _, fault := range response.Faults {
		reply.Faults = append(reply.Faults, Fault{fault.Path, fault.Message})
	}
	write(w, statuses[response.Refusal], reply)
}

func (d *Server) put(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		write(w, http.StatusBadRequest, Reply{Kind: "bad-base", Message: "name the version that the document was based on: ?base=N, 0 for the first"})
		return
	}
	limit := int64(constants.DocumentLimit)
	if d.options.Routed != nil {
		limit = constants.RoutesDocumentLimit
	}
	document, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		write(w, http.StatusBadRequest, Reply{Kind: "cut-short", Message: "the document ended early; send it whole"})
		return
	}
	if int64(len(document)) > limit {
		write(w, http.StatusRequestEntityTooLarge, Reply{Kind: "oversize", Message: fmt.Sprintf("the document is above %d bytes; send less", limit)})
		return
	}
	request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT, Document: document, Base: base, Key: r.Header.Get("Topazshed-Operator-Key")}
	if d.options.Routed != nil {
		config, faults := routes.Read(document, base)
		if len(faults) > 0 {
			newRefusal(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_INVALID, Message: "the configuration is declined whole; nothing changed", Faults: faults})
			return
		}
		request = &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: config}
	}
	if response := d.operate(w, r, request); response != nil {
		write(w, http.StatusOK, Reply{Version: response.Version, Index: response.Index, Unconfirmed: response.Unconfirmed})
	}
}

func (d *Server) show(w http.ResponseWriter, r *http.Request) {
	response := d.operate(w, r, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW})
	if response == nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Topazshed-Version", strconv.FormatUint(response.Version, 10))
	if response.Version == 0 {
		response.Document = []byte(`{"entries":[]}`)
		if d.options.Routed != nil {
			response.Document = []byte(`{"routes":[]}`)
		}
	}
	w.Write(response.Document)
}

func (d *Server) ask(w http.ResponseWriter, r *http.Request) {
	if d.options.Routed != nil {
		write(w, http.StatusNotFound, Reply{Kind: "unknown", Message: "this fleet keeps no operator keys; put the same document on the same base again: it is taken once"})
		return
	}
	if response := d.operate(w, r, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_ASK, Key: r.URL.Query().Get("key")}); response != nil {
		write(w, http.StatusOK, Reply{Version: response.Version, Index: response.Index})
	}
}

func (d *Server) zone(kind schema.OperatorKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := &schema.OperatorRequest{Kind: kind, Zone: chi.URLParam(r, "district"), Reason: r.URL.Query().Get("reason")}
		if request.Reason == "" {
			request.Reason = "operator"
		}
		if response := d.operate(w, r, request); response != nil {
			write(w, http.StatusOK, Reply{Index: response.Index, Unconfirmed: response.Unconfirmed})
		}
	}
}

func (d *Server) status(w http.ResponseWriter, r *http.Request) {
	s := d.Status()
	response, err := d.leaderWord(r.Context())
	s.hear(response, err, d.placeName(d.options.Local().View))
	write(w, http.StatusOK, s)
}

// Status gathers what this node knows.
func (d *Server) Status() *Status {
	now, local := d.options.Now(), d.options.Local()
	view := local.View
	s := &Status{Node: d.options.Self.Id, System: local.System, Role: local.Role, Term: local.Term, Leader: local.Leader, Index: uint64(view.Version), Rows: local.Rows,
		Configuration: view.Head.Version, Fleet: view.Fleet, Newest: protocolversion.Newest, Fit: d.isFit(now, local), ClockMs: now.Milliseconds(), FreshMs: (now - local.FreshAt).Milliseconds(), StaleResponses: local.StaleResponses, LeaseMs: max(0, local.LeaseUntil-now).Milliseconds(),
		ListMs: -1, ListFault: local.ListFault, Suspects: local.Suspects, Results: d.options.Stats()}
	if local.ListAt > 0 {
		s.ListMs = (now - local.ListAt).Milliseconds()
	}
	if d.options.Replica != nil {
		number, isMember, isReady, reservations := d.options.Replica()
		s.Replica = map[string]any{"number": number, "member": isMember, "ready": isReady, "claims": reservations}
	}
	if d.options.Resting != nil {
		s.Resting = d.options.Resting()
		slices.Sort(s.Resting)
	}
	if d.options.Self.Disk {
		disk := d.options.Disk()
		s.Disk = &disk
		for _, m := range local.Members.GetVoters() {
			s.Voters = append(s.Voters, m.Id)
		}
		for _, m := range local.Members.GetLearners() {
			s.Learners = append(s.Learners, m.Id)
		}
	}
	for _, node := range view.Nodes {
		speaks, err := protocolversion.ReadSpan(node.SpeaksLow, node.SpeaksHigh)
		if err != nil {
			speaks = protocolversion.Span{Low: protocolversion.First, High: protocolversion.First}
		}
		s.Nodes = append(s.Nodes, NodeStatus{SpeaksLow: speaks.Low, SpeaksHigh: speaks.High, ID: node.Id, Peer: node.Address, Proxy: node.Proxy, Admin: node.Admin, Zone: node.Zone, Region: node.Region, Disk: node.Disk,
			State: strings.ToLower(strings.TrimPrefix(node.State.String(), "NODE_"))})
	}
	slices.SortFunc(s.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.ID, b.ID) })
	for _, zone := range view.Zones {
		s.Zones = append(s.Zones, ZoneStatus{zone.Name, zone.Region, zone.Residue, zone.Emptied, zone.Reason})
	}
	slices.SortFunc(s.Zones, func(a, b ZoneStatus) int { return strings.Compare(a.Name, b.Name) })
	if d.options.Routed != nil {
		d.describe(s, view)
	}
	for _, service := range view.Services {
		for _, entry := range service.Entries {
			s.Entries = append(s.Entries, entry.Service+entry.Path)
			for _, row := range service.Assignments[entry.Path] {
				s.Assignments = append(s.Assignments, Assignment{row.Service, row.Path, "region", row.Region, failover.GroupName(view, row.Number), row.Number, row.Fenced, row.Reason})
			}
			if row := service.Entities[entry.Path]; row != nil && failover.IsBound(entry) {
				s.Assignments = append(s.Assignments, Assignment{row.Service, row.Path, "entity", row.Region, failover.GroupName(view, row.Number), row.Number, row.Fenced, row.Reason})
			}
		}
		for _, b := range service.Backends {
			state := strings.ToLower(strings.TrimPrefix(b.State.String(), "BACKEND_"))
			if b.Failing {
				state += ", failing"
			}
			if b.Cold && d.options.Routed != nil {
				state += ", cold"
			}
			s.Backends = append(s.Backends, BackendStatus{b.Service, b.Instance, b.Address, b.Zone, state})
		}
	}
	slices.Sort(s.Entries)
	slices.SortFunc(s.Assignments, func(a, b Assignment) int {
		return strings.Compare(a.Service+a.Path+a.Kind+a.Region, b.Service+b.Path+b.Kind+b.Region)
	})
	slices.SortFunc(s.Backends, func(a, b BackendStatus) int { return strings.Compare(a.Service+a.Instance, b.Service+b.Instance) })
	return s
}
