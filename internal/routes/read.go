package routes

import (
	"encoding/json"
	"strings"

	"topazshed/internal/faultlist"
	"topazshed/internal/schema"
)

// Read turns an operator's document into the configuration that follows a base version, or returns every fault of its form.
func Read(text []byte, base uint64) (*schema.RouteConfig, []*schema.Fault) {
	var document Document
	if err := document.UnmarshalJSON(text); err != nil {
		return nil, faultsOfForm(text, err)
	}
	if document.Routes == nil {
		return nil, faultlist.Of("routes", "are missing; give a list, an empty one for no routes")
	}
	config := &schema.RouteConfig{Version: base + 1, Base: base, Document: text, Limits: document.Limits.encode()}
	for _, route := range document.Routes {
		config.Routes = append(config.Routes, route.encode())
	}
	for _, service := range document.Services {
		config.Services = append(config.Services, service.encode())
	}
	return config, nil
}

// faultsOfForm returns every fault of a document that could not be read with an error.
func faultsOfForm(text []byte, readError error) faultlist.List {
	var given any
	if err := json.Unmarshal(text, &given); err != nil {
		return faultlist.Of("", "the document is no JSON (%v); send it whole", err)
	}
	var faults faultlist.List
	documentShape.check(&faults, "", given)
	if len(faults) == 0 {
		faults.Add("", "%v; mend the value", readError)
	}
	return faults
}

func (r DocumentRoute) encode() *schema.Route {
	route := &schema.Route{
		Name:        r.Name,
		Host:        strings.ToLower(r.Host),
		Prefix:      r.Prefix,
		Repeatable:  r.Repeatable,
		TimeoutMs:   r.TimeoutMS,
		TargetMs:    r.TargetMS,
		Priority:    r.Priority,
		MaxAttempts: max(1, r.MaxAttempts),
		HomeRegions: r.HomeRegions,
	}
	for _, target := range r.Targets {
		route.Targets = append(route.Targets, &schema.Target{Service: target.Service, Weight: target.Weight})
	}
	return route
}

func (s DocumentService) encode() *schema.ServicePolicy {
	return &schema.ServicePolicy{
		Service:        s.Service,
		HealthPath:     s.HealthPath,
		MaxConnections: s.MaxConnections,
		ColdMs:         s.ColdMS,
		ColdRate:       s.ColdRate,
		Keyed:          s.Keyed,
		WarmUpMs:       s.WarmUpMS,
	}
}

func (l DocumentLimits) encode() *schema.Limits {
	return &schema.Limits{
		HeaderBytes:     l.HeaderBytes,
		BodyBytes:       l.BodyBytes,
		HeaderTimeoutMs: l.HeaderTimeoutMS,
		IdleTimeoutMs:   l.IdleTimeoutMS,
	}
}
