package adminapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/gateway"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Routed is what the door of a fleet that carries routes asks its node.
type Routed struct {
	// Resolve gives the addresses of nodes for a caller and how long they may be used.
	Resolve func(region, zone string) ([]string, time.Duration)
	// IsReady tells whether this node may get requests.
	IsReady func() bool
}

// Change is one change of failover assignment, as the log tells it.
type Change struct {
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
	Region  string `json:"region"`
	// From and To are the failover numbers, Was and Is the groups that they name.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	Was  string `json:"was"`
	Is   string `json:"is"`
	// Cause is the rule that was followed, Evidence what it rested on.
	Cause    string `json:"cause"`
	Evidence string `json:"evidence,omitempty"`
	// At is the time of day at the leader that made it; Index and Term are its place in the log.
	At     string `json:"at,omitempty"`
	Leader string `json:"leader,omitempty"`
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
}

// RoutedStatus is what a node of a fleet that carries routes knows beside.
type RoutedStatus struct {
	Routes   int             `json:"routes"`
	Services []ServiceStatus `json:"services"`
	Groups   []GroupStatus   `json:"groups"`
	Spans    []SpanStatus    `json:"spans,omitempty"`
}

// ServiceStatus sums up a service.
type ServiceStatus struct {
	Name     string `json:"name"`
	Keyed    bool   `json:"keyed,omitempty"`
	Routes   int    `json:"routes"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Cold     int    `json:"cold"`
	// Unheld are the keys that no back end holds.
	Unheld int `json:"unheld,omitempty"`
}

// GroupStatus is a proxy group.
type GroupStatus struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Zones   []string `json:"districts"`
	Residue uint32   `json:"residue"`
}

// SpanStatus is a span of keys with its owner; Fence is the number under which it holds them.
type SpanStatus struct {
	Service   string `json:"service"`
	First     uint32 `json:"first"`
	Last      uint32 `json:"last"`
	Instance  string `json:"instance"`
	Fence     uint64 `json:"fence"`
	Releasing bool   `json:"releasing,omitempty"`
}

func (d *Server) isFit(now time.Duration, local *controlplane.Local) bool {
	if d.options.Routed != nil {
		return gateway.IsFit(local)
	}
	return proxy.IsFit(now, local)
}

func (d *Server) leaderWord(ctx context.Context) (*schema.OperatorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.ConfirmWait)
	defer cancel()
	response, err := d.options.Operate(ctx, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS})
	switch {
	case err != nil:
		return nil, fmt.Errorf("the leader did not answer in time (%w); run doctor if it lasts", err)
	case response == nil:
		return &schema.OperatorResponse{}, nil
	case response.Refusal != schema.RefusalKind_REFUSAL_NONE:
		return nil, fmt.Errorf("%s", response.Message)
	}
	return response, nil
}

// hear adds what the leader told.
func (s *Status) hear(response *schema.OperatorResponse, err error, name func(number uint64) string) {
	if err != nil {
		s.LeaderUnreachable = err.Error()
		return
	}
	s.Unconfirmed = response.Unconfirmed
	s.LossesBorne, s.UnresponsiveVoters = response.ToleratedLosses, response.UnresponsiveVoters
	for _, report := range response.Reports {
		for i := range s.Nodes {
			if s.Nodes[i].ID != report.Id {
				continue
			}
			s.Nodes[i].Index, s.Nodes[i].HeardMs, s.Nodes[i].InForce = report.Index, int64(report.HeardMs), report.InForce
			if report.NeverHeard {
				s.Nodes[i].HeardMs = -1
			}
		}
	}
	s.Changes = changesOf(response.Changes, name)
}

func changesOf(notified []*schema.FailoverChange, name func(number uint64) string) []Change {
	var changes []Change
	for _, c := range notified {
		change := Change{Service: c.Service, Path: c.Path, Region: c.Region, From: c.From, To: c.To, Was: name(c.From), Is: name(c.To), Cause: c.Cause, Evidence: c.Evidence,
			Leader: c.Leader, Index: c.Index, Term: c.Term}
		if c.AtMs > 0 {
			change.At = time.UnixMilli(c.AtMs).UTC().Format("2006-01-02T15:04:05.000Z")
		}
		changes = append(changes, change)
	}
	return changes
}

func (d *Server) placeName(view *store.View) func(number uint64) string {
	return func(number uint64) string {
		if number == 0 {
			return "nobody"
		}
		if d.options.Routed != nil {
			return failover.RouteOwnerName(view, failover.Number(number))
		}
		return failover.EntryOwnerName(view, failover.Number(number))
	}
}

func unheld(service *store.Service) int {
	held := 0
	for _, span := range service.Spans {
		if span.Instance != "" && !span.Releasing && span.Last >= span.First {
			held += int(span.Last-span.First) + 1
		}
	}
	return constants.Keys - held
}

func (d *Server) describe(s *Status, view *store.View) {
	s.Routed = &RoutedStatus{}
	name := d.placeName(view)
	aimed := map[string]int{}
	for _, list := range view.Hosts {
		s.Routed.Routes += len(list)
		for _, route := range list {
			for _, target := range route.Targets {
				if target.Weight > 0 {
					aimed[target.Service]++
				}
			}
		}
	}
	row := func(r *schema.FailoverAssignment, kind string) {
		s.Assignments = append(s.Assignments, Assignment{Service: r.Service, Path: r.Path, Kind: kind, Region: r.Region, Active: name(r.Number), Number: r.Number, Reason: r.Reason})
	}
	for _, r := range view.Defaults {
		row(r, "region")
	}
	for _, service := range view.Services {
		for _, r := range service.Assignments[""] {
			row(r, "service")
		}
		of := ServiceStatus{Name: service.Name, Keyed: service.Policy.GetKeyed(), Routes: aimed[service.Name]}
		for _, b := range service.Backends {
			switch {
			case b.State == schema.BackendState_BACKEND_DRAINING:
				of.Draining++
			case b.Cold:
				of.Cold++
				of.Ready++
			default:
				of.Ready++
			}
		}
		if of.Keyed {
			of.Unheld = unheld(service)
			for _, span := range service.Spans {
				s.Routed.Spans = append(s.Routed.Spans, SpanStatus{span.Service, span.First, span.Last, span.Instance, span.Fence, span.Releasing})
			}
		}
		s.Routed.Services = append(s.Routed.Services, of)
	}
	for _, group := range view.Groups {
		s.Routed.Groups = append(s.Routed.Groups, GroupStatus{group.Name, group.Region, group.Zones, group.Residue})
	}
	slices.SortFunc(s.Routed.Services, func(a, b ServiceStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Routed.Groups, func(a, b GroupStatus) int { return int(a.Residue) - int(b.Residue) })
	slices.SortFunc(s.Routed.Spans, func(a, b SpanStatus) int {
		if order := strings.Compare(a.Service, b.Service); order != 0 {
			return order
		}
		return int(a.First) - int(b.First)
	})
}

// AssignmentsAnswer is what one origin region resolves to for a service now, and its newest changes.
type AssignmentsAnswer struct {
	Service string   `json:"service,omitempty"`
	Origin  string   `json:"origin"`
	Region  string   `json:"region"`
	Group   string   `json:"group"`
	Zones   []string `json:"districts"`
	// Trail is the numbers that were followed.
	Trail   string   `json:"trail"`
	Reason  string   `json:"reason"`
	Changes []Change `json:"changes"`
	// LeaderUnreachable tells why the changes are missing.
	LeaderUnreachable string `json:"leader_silent,omitempty"`
}

func (d *Server) assignments(w http.ResponseWriter, r *http.Request) {
	s := d.Status()
	write(w, http.StatusOK, map[string]any{"standings": s.Assignments, "groups": s.Routed.Groups})
}

func (d *Server) assignment(w http.ResponseWriter, r *http.Request) {
	service, region := r.URL.Query().Get("service"), chi.URLParam(r, "region")
	view := d.options.Local().View
	if view.Regions[region] == nil || service != "" && view.Services[service] == nil {
		write(w, http.StatusNotFound, Reply{Kind: "unknown", Message: "no such region or service is known here; see status for the names"})
		return
	}
	place, err := failover.ResolveRegion(view, service, region)
	if err != nil {
		write(w, http.StatusServiceUnavailable, Reply{Kind: "no-standing", Message: err.Error()})
		return
	}
	answer := AssignmentsAnswer{Service: service, Origin: region, Region: place.Region, Group: place.Group, Zones: place.Zones, Trail: place.Trail.String(), Changes: []Change{}}
	own := view.Services[service]
	answer.Reason = view.Defaults[region].GetReason()
	if own != nil && own.Assignments[""][region] != nil {
		answer.Reason = own.Assignments[""][region].Reason
	}
	response, err := d.leaderWord(r.Context())
	if err != nil {
		answer.LeaderUnreachable = err.Error()
	}
	for _, change := range changesOf(response.GetChanges(), d.placeName(view)) {
		if change.Region == region && (change.Service == "" || change.Service == service) {
			answer.Changes = append(answer.Changes, change)
		}
	}
	write(w, http.StatusOK, answer)
}

// Match is what a caller of a fleet that carries routes is told.
type Match struct {
	Proxies []string `json:"proxies"`
	LiveMS  int64    `json:"live_ms"`
}

func (d *Server) match(w http.ResponseWriter, r *http.Request) {
	region, zone := r.URL.Query().Get("region"), r.URL.Query().Get("district")
	if region == "" {
		region = d.options.Self.Region
	}
	proxies, life := d.options.Routed.Resolve(region, zone)
	if len(proxies) == 0 {
		write(w, http.StatusServiceUnavailable, Reply{Kind: "not-ready", Message: "this node knows no ready proxy yet; ask another node"})
		return
	}
	write(w, http.StatusOK, Match{proxies, life.Milliseconds()})
}

func (d *Server) ready(w http.ResponseWriter, r *http.Request) {
	if !d.options.Routed.IsReady() {
		write(w, http.StatusServiceUnavailable, Reply{Kind: "not-ready", Message: "this node knows no configuration yet, or is stopping; ask another node"})
		return
	}
	write(w, http.StatusOK, map[string]bool{"ready": true})
}
