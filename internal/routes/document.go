package routes

//go:generate easyjson -all -disallow_unknown_fields document.go

// Document is a whole configuration of a routed fleet as operators write it.
type Document struct {
	Routes   []DocumentRoute   `json:"routes"`
	Services []DocumentService `json:"services"`
	Limits   DocumentLimits    `json:"limits"`
}

// DocumentRoute leads requests of a host below a path prefix to services.
type DocumentRoute struct {
	Name        string           `json:"name"`
	Host        string           `json:"host"`
	Prefix      string           `json:"prefix"`
	Repeatable  bool             `json:"repeatable"`
	TimeoutMS   uint32           `json:"timeout_ms"`
	TargetMS    uint32           `json:"target_ms"`
	Priority    uint32           `json:"priority"`
	MaxAttempts uint32           `json:"max_attempts"`
	HomeRegions []string         `json:"home_regions"`
	Targets     []DocumentTarget `json:"targets"`
}

// DocumentTarget is one weighted service of a route.
type DocumentTarget struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// DocumentService is what the operator tells of a service.
type DocumentService struct {
	Service        string  `json:"service"`
	HealthPath     string  `json:"health_path"`
	MaxConnections uint32  `json:"max_connections"`
	ColdMS         uint32  `json:"cold_ms"`
	ColdRate       float64 `json:"cold_rate"`
	Keyed          bool    `json:"keyed"`
	WarmUpMS       uint32  `json:"warm_up_ms"`
}

// DocumentLimits bound what callers may send and how long they may take; 0 is no bound.
type DocumentLimits struct {
	HeaderBytes     uint32 `json:"header_bytes"`
	BodyBytes       uint64 `json:"body_bytes"`
	HeaderTimeoutMS uint32 `json:"header_timeout_ms"`
	IdleTimeoutMS   uint32 `json:"idle_timeout_ms"`
}
