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

// metrics writes what this node counts anyway in the usual text form; nothing is counted for it, and no other node is asked.
func (d *Server) metrics(w http.ResponseWriter, r *http.Request) {
	var text bytes.Buffer
	s := d.Status()
	gauge := func(name string, value uint64, labels ...string) {
		metrics.WriteGaugeUint64(&text, "topazshed_"+name+labelled(labels), value)
	}
	flag := func(isSet bool) uint64 {
		if isSet {
			return 1
		}
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(s.Results)) {
		metrics.WriteCounterUint64(&text, "topazshed_requests_total"+labelled([]string{"outcome", name}), s.Results[name])
	}
	gauge("configuration_version", s.Configuration)
	gauge("state_index", s.Index)
	gauge("state_rows", uint64(s.Rows))
	gauge("term", s.Term)
	gauge("leads", flag(s.Role == "leader"))
	gauge("fit", flag(s.Fit))
	metrics.WriteCounterUint64(&text, "topazshed_stray_answers_total", s.StaleResponses)
	gauge("fresh_milliseconds", uint64(max(0, s.FreshMs)))
	gauge("resting_back_ends", uint64(len(s.Resting)))
	if s.ListMs >= 0 {
		gauge("list_age_milliseconds", uint64(s.ListMs))
	}
	if s.Disk != nil {
		gauge("disk_last_sync_milliseconds", uint64(s.Disk.LastSyncMs))
		gauge("disk_worst_sync_milliseconds", uint64(s.Disk.WorstMs))
		gauge("disk_fault", flag(s.Disk.Fault != ""))
		gauge("voters", uint64(len(s.Voters)))
		gauge("learners", uint64(len(s.Learners)))
	}
	machines := map[string]uint64{}
	for _, node := range s.Nodes {
		machines[node.State]++
	}
	for _, state := range slices.Sorted(maps.Keys(machines)) {
		gauge("machines", machines[state], "state", state)
	}
	for _, zone := range s.Zones {
		gauge("district_emptied", flag(zone.Emptied), "district", zone.Name)
	}
	for _, row := range s.Assignments {
		gauge("standing_number", row.Number, "region", row.Region, "service", row.Service, "path", row.Path, "kind", row.Kind, "active", row.Active)
	}
	if s.Routed != nil {
		gauge("routes", uint64(s.Routed.Routes))
		for _, service := range s.Routed.Services {
			gauge("back_ends", uint64(service.Ready), "service", service.Name, "state", "ready")
			gauge("back_ends", uint64(service.Draining), "service", service.Name, "state", "draining")
			gauge("back_ends_cold", uint64(service.Cold), "service", service.Name)
			if service.Keyed {
				gauge("keys_unheld", uint64(service.Unheld), "service", service.Name)
			}
		}
	}
	metrics.WriteProcessMetrics(&text)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	w.Write(text.Bytes())
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
