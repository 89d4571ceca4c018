package routes

//go:generate easyjson -all -disallow_unknown_fields document.go

// Document is a whole configuration of a fleet of routes, as operators write it.
type Document struct {
	Routes   []DocumentRoute   `json:"routes"`
	Services []DocumentService `json:"services"`
	Limits   DocumentLimits    `json:"limits"`
}

// DocumentRoute leads requests of a host below a path prefix to services.
type DocumentRoute struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Repeatable means that a request may be sent to a back end more than once.
	Repeatable bool `json:"repeatable"`
	// TimeoutMS is how long a request may take, TargetMS how long it should take at most, in milliseconds.
	TimeoutMS uint32 `json:"timeout_ms"`
	TargetMS  uint32 `json:"target_ms"`
	Priority  uint32 `json:"priority"`
	// MaxAttempts is how often a request may be sent in all; 0 is 1.
	MaxAttempts uint32 `json:"max_attempts"`
	// HomeRegions are the regions that may serve the route; none means all.
	HomeRegions []string         `json:"home_regions"`
	Targets     []DocumentTarget `json:"targets"`
}

// DocumentTarget is one weighted service of a route.
type DocumentTarget struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// DocumentService is what operators set for a service.
type DocumentService struct {
	Service string `json:"service"`
	// HealthPath is the path of its back ends' health check.
	HealthPath     string `json:"health_path"`
	MaxConnections uint32 `json:"max_connections"`
	// ColdMS is how long a back end warms up, in milliseconds.
	ColdMS uint32 `json:"cold_ms"`
	// ColdRate is how many requests a second a back end bears while it warms up.
	ColdRate float64 `json:"cold_rate"`
	// Keyed means that the service's keys are divided among its back ends.
	Keyed    bool   `json:"keyed"`
	WarmUpMS uint32 `json:"warm_up_ms"`
}

// DocumentLimits bound what callers may send and how long they may take, in bytes and milliseconds; 0 is no bound.
type DocumentLimits struct {
	HeaderBytes     uint32 `json:"header_bytes"`
	BodyBytes       uint64 `json:"body_bytes"`
	HeaderTimeoutMS uint32 `json:"header_timeout_ms"`
	IdleTimeoutMS   uint32 `json:"idle_timeout_ms"`
}
