package routes

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"topazshed/internal/schema"
)

type shape map[string]any

type kind string

const (
	aText  kind = "a text"
	aFlag  kind = "true or false"
	aCount kind = "a whole number from 0 to 4294967295"
	aSize  kind = "a whole number of 0 or more"
	aRate  kind = "a number of 0 or more"
)

type list struct{ of any }

var documentShape = shape{
	"routes": list{shape{"name": aText, "host": aText, "prefix": aText, "repeatable": aFlag, "timeout_ms": aCount, "target_ms": aCount, "priority": aCount, "max_attempts": aCount,
		"home_regions": list{aText}, "targets": list{shape{"service": aText, "weight": aCount}}}},
	"services": list{shape{"service": aText, "health_path": aText, "max_connections": aCount, "cold_ms": aCount, "cold_rate": aRate, "keyed": aFlag, "warm_up_ms": aCount}},
	"limits":   shape{"header_bytes": aCount, "body_bytes": aSize, "header_timeout_ms": aCount, "idle_timeout_ms": aCount},
}

func (k kind) isMet(value any) bool {
	number, isNumber := value.(float64)
	isWhole := isNumber && number >= 0 && number == math.Trunc(number)
	switch k {
	case aText:
		_, isText := value.(string)
		return isText
	case aFlag:
		_, isFlag := value.(bool)
		return isFlag
	case aCount:
		return isWhole && number <= math.MaxUint32
	case aSize:
		return isWhole && number <= 1<<53
	}
	return isNumber && number >= 0
}

func misshapen(path string, value, wanted any) []*schema.Fault {
	fault := func(form string, args ...any) []*schema.Fault {
		return []*schema.Fault{{Path: path, Message: fmt.Sprintf(form, args...)}}
	}
	var faults []*schema.Fault
	switch wanted := wanted.(type) {
	case kind:
		if !wanted.isMet(value) {
			return fault("is not %s; mend the value", wanted)
		}
	case list:
		items, isList := value.([]any)
		if !isList {
			return fault("is not a list; write [ ] around its items")
		}
		for i, item := range items {
			faults = append(faults, misshapen(fmt.Sprintf("%s[%d]", path, i), item, wanted.of)...)
		}
	case shape:
		fields, isObject := value.(map[string]any)
		if !isObject {
			return fault("is not an object; write { } around its fields")
		}
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			at := strings.TrimPrefix(path+"."+name, ".")
			if form, isKnown := wanted[name]; isKnown {
				faults = append(faults, misshapen(at, fields[name], form)...)
			} else {
				faults = append(faults, &schema.Fault{Path: at, Message: fmt.Sprintf("is unknown; use %s", strings.Join(slices.Sorted(maps.Keys(wanted)), ", "))})
			}
		}
	}
	return faults
}

// Read turns an operator's document into the configuration that follows a base version, or gives every fault of its form.
func Read(text []byte, base uint64) (*schema.RouteConfig, []*schema.Fault) {
	document := &Document{}
	if err := document.UnmarshalJSON(text); err != nil {
		var given any
		if err := json.Unmarshal(text, &given); err != nil {
			return nil, []*schema.Fault{{Path: "", Message: fmt.Sprintf("the document is no JSON (%v); send it whole", err)}}
		}
		if faults := misshapen("", given, documentShape); len(faults) > 0 {
			return nil, faults
		}
		return nil, []*schema.Fault{{Path: "", Message: fmt.Sprintf("%v; mend the value", err)}}
	}
	if document.Routes == nil {
		return nil, []*schema.Fault{{Path: "routes", Message: "are missing; give a list, an empty one for no routes"}}
	}
	config := &schema.RouteConfig{Version: base + 1, Base: base, Document: text, Limits: &schema.Limits{HeaderBytes: document.Limits.HeaderBytes, BodyBytes: document.Limits.BodyBytes,
		HeaderTimeoutMs: document.Limits.HeaderTimeoutMS, IdleTimeoutMs: document.Limits.IdleTimeoutMS}}
	for _, given := range document.Routes {
		route := &schema.Route{Name: given.Name, Host: strings.ToLower(given.Host), Prefix: given.Prefix, Repeatable: given.Repeatable, TimeoutMs: given.TimeoutMS, TargetMs: given.TargetMS,
			Priority: given.Priority, MaxAttempts: max(1, given.MaxAttempts), HomeRegions: given.HomeRegions}
		for _, target := range given.Targets {
			route.Targets = append(route.Targets, &schema.Target{Service: target.Service, Weight: target.Weight})
		}
		config.Routes = append(config.Routes, route)
	}
	for _, given := range document.Services {
		config.Services = append(config.Services, &schema.ServicePolicy{Service: given.Service, HealthPath: given.HealthPath, MaxConnections: given.MaxConnections, ColdMs: given.ColdMS,
			ColdRate: given.ColdRate, Keyed: given.Keyed, WarmUpMs: given.WarmUpMS})
	}
	return config, nil
}
