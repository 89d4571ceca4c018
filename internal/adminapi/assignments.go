package adminapi

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"topazshed/internal/failover"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// groupNobody is the group of number 0.
const groupNobody = "nobody"

// changeTimeForm is the time of a change: UTC in milliseconds.
const changeTimeForm = "2006-01-02T15:04:05.000Z"

// AssignmentsAnswer is what one origin region resolves to for a service now, and its newest changes.
type AssignmentsAnswer struct {
	Service string   `json:"service,omitempty"`
	Origin  string   `json:"origin"`
	Region  string   `json:"region"`
	Group   string   `json:"group"`
	Zones   []string `json:"districts"`
	// Trail is the failover numbers that were followed.
	Trail   string   `json:"trail"`
	Reason  string   `json:"reason"`
	Changes []Change `json:"changes"`
	// LeaderUnreachable tells why the changes are missing.
	LeaderUnreachable string `json:"leader_silent,omitempty"`
}

// showAssignments gives all failover assignments and the proxy groups, as this node knows them.
func (s *Server) showAssignments(w http.ResponseWriter, _ *http.Request) {
	status := s.Status()
	write(w, http.StatusOK, map[string]any{"standings": status.Assignments, "groups": status.Routed.Groups})
}

// showAssignment gives an AssignmentsAnswer for a region and ?service=S; 404 if either is unknown, 503 if nothing is active.
func (s *Server) showAssignment(w http.ResponseWriter, r *http.Request) {
	service, region := r.URL.Query().Get("service"), chi.URLParam(r, "region")
	view := s.options.Local().View
	if view.Regions[region] == nil || service != "" && view.Services[service] == nil {
		const message = "no such region or service is known here; see status for the names"
		write(w, http.StatusNotFound, Reply{Kind: kindUnknown, Message: message})
		return
	}
	place, err := failover.ResolveRegion(view, service, region)
	if err != nil {
		write(w, http.StatusServiceUnavailable, Reply{Kind: kindNoPlace, Message: err.Error()})
		return
	}
	answer := AssignmentsAnswer{
		Service: service,
		Origin:  region,
		Region:  place.Region,
		Group:   place.Group,
		Zones:   place.Zones,
		Trail:   place.Trail.String(),
		Reason:  assignmentReason(view, service, region),
		Changes: []Change{},
	}
	response, err := s.askLeader(r.Context())
	if err != nil {
		answer.LeaderUnreachable = err.Error()
	}
	for _, change := range newChanges(response.GetChanges(), s.numberName(view)) {
		if change.Region == region && (change.Service == "" || change.Service == service) {
			answer.Changes = append(answer.Changes, change)
		}
	}
	write(w, http.StatusOK, answer)
}

// assignmentReason is the reason of the service's own assignment in the region, else of the region's.
func assignmentReason(view *store.View, service, region string) string {
	if known := view.Services[service]; known != nil && known.Assignments[""][region] != nil {
		return known.Assignments[""][region].Reason
	}
	return view.DefaultAssignments[region].GetReason()
}

// newChanges formats changes from the leader's log; name gives the group of a failover number.
func newChanges(logged []*schema.FailoverChange, name func(number uint64) string) []Change {
	var changes []Change
	for _, c := range logged {
		change := Change{
			Service:  c.Service,
			Path:     c.Path,
			Region:   c.Region,
			From:     c.From,
			To:       c.To,
			Was:      name(c.From),
			Is:       name(c.To),
			Cause:    c.Cause,
			Evidence: c.Evidence,
			Leader:   c.Leader,
			Index:    c.Index,
			Term:     c.Term,
		}
		if c.AtMs > 0 {
			change.At = time.UnixMilli(c.AtMs).UTC().Format(changeTimeForm)
		}
		changes = append(changes, change)
	}
	return changes
}

// numberName gives a function that names the group or region of a failover number.
func (s *Server) numberName(view *store.View) func(number uint64) string {
	return func(number uint64) string {
		switch {
		case number == 0:
			return groupNobody
		case s.options.Routed != nil:
			return failover.RouteOwnerName(view, failover.Number(number))
		default:
			return failover.EntryOwnerName(view, failover.Number(number))
		}
	}
}
