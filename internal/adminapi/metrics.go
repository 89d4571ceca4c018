package adminapi

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// roleLeader is the role of a node that leads the log.
const roleLeader = "leader"

// exposition is a document of metrics in the text form of Prometheus.
type exposition struct{ text bytes.Buffer }

// gauge adds a value; labels are pairs of names and values.
func (e *exposition) gauge(name string, value uint64, labels ...string) {
	metrics.WriteGaugeUint64(&e.text, "topazshed_"+name+labelled(labels), value)
}

func (e *exposition) flag(name string, isSet bool, labels ...string) {
	value := uint64(0)
	if isSet {
		value = 1
	}
	e.gauge(name, value, labels...)
}

func (e *exposition) counter(name string, value uint64, labels ...string) {
	metrics.WriteCounterUint64(&e.text, "topazshed_"+name+labelled(labels), value)
}

// showMetrics writes what this node counts anyway; nothing is counted for it, and no other node is asked.
func (s *Server) showMetrics(w http.ResponseWriter, _ *http.Request) {
	status := s.Status()
	e := &exposition{}
	e.addNode(status)
	if status.Disk != nil {
		e.addDisk(status)
	}
	e.addFleet(status)
	if status.Routed != nil {
		e.addRouted(status.Routed)
	}
	metrics.WriteProcessMetrics(&e.text)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Write(e.text.Bytes())
}

func (e *exposition) addNode(s *Status) {
	for _, name := range slices.Sorted(maps.Keys(s.Results)) {
		e.counter("requests_total", s.Results[name], "outcome", name)
	}
	e.gauge("configuration_version", s.Configuration)
	e.gauge("state_index", s.Index)
	e.gauge("state_rows", uint64(s.Rows))
	e.gauge("term", s.Term)
	e.flag("leads", s.Role == roleLeader)
	e.flag("fit", s.Fit)
	e.counter("stray_answers_total", s.StaleResponses)
	for _, exceeded := range s.Exceeded {
		e.counter("responses_over_bound_total", exceeded.Count, "party", exceeded.Party, "bound", string(exceeded.Bound))
	}
	e.gauge("fresh_milliseconds", uint64(max(0, s.FreshMs)))
	e.gauge("resting_back_ends", uint64(len(s.Resting)))
	if s.ListMs >= 0 {
		e.gauge("list_age_milliseconds", uint64(s.ListMs))
	}
}

func (e *exposition) addDisk(s *Status) {
	e.gauge("disk_last_sync_milliseconds", uint64(s.Disk.LastSyncMs))
	e.gauge("disk_worst_sync_milliseconds", uint64(s.Disk.WorstMs))
	e.flag("disk_fault", s.Disk.Fault != "")
	e.gauge("voters", uint64(len(s.Voters)))
	e.gauge("learners", uint64(len(s.Learners)))
}

func (e *exposition) addFleet(s *Status) {
	nodes := map[string]uint64{}
	for _, node := range s.Nodes {
		nodes[node.State]++
	}
	for _, state := range slices.Sorted(maps.Keys(nodes)) {
		e.gauge("machines", nodes[state], "state", state)
	}
	for _, zone := range s.Zones {
		e.flag("district_emptied", zone.Emptied, "district", zone.Name)
	}
	for _, row := range s.Assignments {
		e.gauge("standing_number", row.Number,
			"region", row.Region, "service", row.Service, "path", row.Path, "kind", row.Kind, "active", row.Active)
	}
}

func (e *exposition) addRouted(r *RoutedStatus) {
	e.gauge("routes", uint64(r.Routes))
	for _, service := range r.Services {
		e.gauge("back_ends", uint64(service.Ready), "service", service.Name, "state", "ready")
		e.gauge("back_ends", uint64(service.Draining), "service", service.Name, "state", "draining")
		e.gauge("back_ends_cold", uint64(service.Cold), "service", service.Name)
		if service.Keyed {
			e.gauge("keys_unheld", uint64(service.Unheld), "service", service.Name)
		}
	}
}

// labelled writes pairs of names and values as labels; empty values are left out.
func labelled(pairs []string) string {
	var parts []string
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			parts = append(parts, fmt.Sprintf("%s=%q", pairs[i], pairs[i+1]))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
