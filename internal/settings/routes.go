package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Routes says that the fleet carries routes, with the bounds that the whole fleet keeps. Every machine must be given the
// same. Fields that end in MS are milliseconds.
type Routes struct {
	// RetryRatio, RetrySlack and RetryWindowMS bound retries: in each window so many for each request, and so many more.
	RetryRatio    float64 `json:"retry_ratio"`
	RetrySlack    float64 `json:"retry_slack"`
	RetryWindowMS int64   `json:"retry_window_ms"`
	// ColdExcess (times a service's cold rate) and ColdMargin (requests) bound what a back end that warms up gets in a second.
	ColdExcess float64 `json:"cold_excess"`
	ColdMargin float64 `json:"cold_margin"`
	// HoldMostMS is the longest shard lease that back ends take.
	HoldMostMS int64 `json:"hold_most_ms"`
	// ListLagMS is how far the list is behind; ListRate is how many calls a second it takes from all nodes, 0 for no bound.
	ListLagMS int64   `json:"list_lag_ms"`
	ListRate  float64 `json:"list_rate"`
	// StopGraceMS is the time that a stopping process has.
	StopGraceMS int64 `json:"stop_grace_ms"`
	// ApplyWithinMS is how long after its acknowledgement a configuration must be in force at every machine.
	ApplyWithinMS int64 `json:"apply_within_ms"`
	// MatchLifeMS is the longest time that callers use a response of the directory.
	MatchLifeMS int64 `json:"match_life_ms"`
}

// DefaultRoutes gives the bounds where nothing is said.
func DefaultRoutes() *Routes {
	return &Routes{
		RetryRatio:    0.2,
		RetrySlack:    10,
		RetryWindowMS: 10_000,
		ColdExcess:    1,
		HoldMostMS:    10_000,
		ListLagMS:     1000,
		StopGraceMS:   6000,
		ApplyWithinMS: 2500,
		MatchLifeMS:   5000,
	}
}

// UnmarshalJSON reads the bounds that are given; the others keep their defaults.
func (r *Routes) UnmarshalJSON(text []byte) error {
	type plain Routes
	given := plain(*DefaultRoutes())
	reader := json.NewDecoder(bytes.NewReader(text))
	reader.DisallowUnknownFields()
	if err := reader.Decode(&given); err != nil {
		return fmt.Errorf("routes: %w", err)
	}
	*r = Routes(given)
	return nil
}

func (r *Routes) check(faults *FaultList) {
	for _, bound := range []struct {
		field string
		value float64
		least float64
	}{
		{"retry_ratio", r.RetryRatio, 0},
		{"retry_slack", r.RetrySlack, 0},
		{"retry_window_ms", float64(r.RetryWindowMS), 1000},
		{"cold_excess", r.ColdExcess, 0},
		{"cold_margin", r.ColdMargin, 0},
		{"hold_most_ms", float64(r.HoldMostMS), 1000},
		{"list_lag_ms", float64(r.ListLagMS), 0},
		{"list_rate", r.ListRate, 0},
		{"stop_grace_ms", float64(r.StopGraceMS), 500},
		{"apply_within_ms", float64(r.ApplyWithinMS), 1000},
		{"match_life_ms", float64(r.MatchLifeMS), 500},
	} {
		if bound.value < bound.least {
			faults.Add(OutOfRange, "routes."+bound.field, "raise it", "%g is below %g", bound.value, bound.least)
		}
	}
}
