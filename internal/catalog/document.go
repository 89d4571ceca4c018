package catalog

//go:generate easyjson -all -disallow_unknown_fields document.go

// Document is a whole configuration of a fleet of entries, as operators write it.
type Document struct {
	Entries []Entry `json:"entries"`
}

// Entry is one entry of a service: where its traffic may go, and which of its requests may be repeated.
type Entry struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Methods are those that callers may use.
	Methods []string `json:"methods"`
	// RepeatSafe are those of the methods that may be repeated.
	RepeatSafe []string `json:"repeat_safe"`
	// HomeRegions are the regions that may serve the entry; none means all.
	HomeRegions []string `json:"home_regions,omitempty"`
	// Keyed means that requests with one key go to one back end.
	Keyed bool `json:"keyed,omitempty"`
	// BodyLimit and ResponseLimit are in bytes; 0 is the default.
	BodyLimit     uint64 `json:"body_limit,omitempty"`
	ResponseLimit uint64 `json:"outcome_limit,omitempty"`
	// ColdRate is how many requests a second a back end bears while it warms up; 0 is the default.
	ColdRate uint32 `json:"bearable,omitempty"`
}
