package catalog

//go:generate easyjson -all -disallow_unknown_fields document.go

// Document is a whole configuration as operators write it.
type Document struct {
	Entries []Entry `json:"entries"`
}

// Entry is one service entry: where its traffic may go and what may be repeated.
type Entry struct {
	Service       string   `json:"service"`
	Path          string   `json:"path"`
	Methods       []string `json:"methods"`
	RepeatSafe    []string `json:"repeat_safe"`
	HomeRegions   []string `json:"home_regions,omitempty"`
	Keyed         bool     `json:"keyed,omitempty"`
	BodyLimit     uint64   `json:"body_limit,omitempty"`
	ResponseLimit uint64   `json:"outcome_limit,omitempty"`
	ColdRate      uint32   `json:"bearable,omitempty"`
}
