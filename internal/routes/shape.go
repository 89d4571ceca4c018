package routes

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"topazshed/internal/faultlist"
)

// maxExactInteger is the greatest whole number up to which JSON numbers are exact.
const maxExactInteger = 1 << 53

// shape is what a JSON value must be: a kind, a list or an object.
type shape interface {
	// check adds the faults of a value at a path.
	check(faults *faultlist.List, path string, value any)
}

// kind is the shape of a single value, as messages name it.
type kind string

const (
	kindText  kind = "a text"
	kindFlag  kind = "true or false"
	kindCount kind = "a whole number from 0 to 4294967295"
	kindSize  kind = "a whole number of 0 or more"
	kindRate  kind = "a number of 0 or more"
)

// list is the shape of a list, all of whose items have one shape.
type list struct{ of shape }

// object is the shape of an object, by its fields.
type object map[string]shape

var documentShape = object{
	"routes": list{object{
		"name":         kindText,
		"host":         kindText,
		"prefix":       kindText,
		"repeatable":   kindFlag,
		"timeout_ms":   kindCount,
		"target_ms":    kindCount,
		"priority":     kindCount,
		"max_attempts": kindCount,
		"home_regions": list{kindText},
		"targets": list{object{
			"service": kindText,
			"weight":  kindCount,
		}},
	}},
	"services": list{object{
		"service":         kindText,
		"health_path":     kindText,
		"max_connections": kindCount,
		"cold_ms":         kindCount,
		"cold_rate":       kindRate,
		"keyed":           kindFlag,
		"warm_up_ms":      kindCount,
	}},
	"limits": object{
		"header_bytes":      kindCount,
		"body_bytes":        kindSize,
		"header_timeout_ms": kindCount,
		"idle_timeout_ms":   kindCount,
	},
}

func (k kind) check(faults *faultlist.List, path string, value any) {
	if !k.fits(value) {
		faults.Add(path, "is not %s; mend the value", k)
	}
}

func (k kind) fits(value any) bool {
	number, isNumber := value.(float64)
	isComplete := isNumber && number >= 0 && number == math.Trunc(number)
	switch k {
	case kindText:
		_, isText := value.(string)
		return isText
	case kindFlag:
		_, isFlag := value.(bool)
		return isFlag
	case kindCount:
		return isComplete && number <= math.MaxUint32
	case kindSize:
		return isComplete && number <= maxExactInteger
	default:
		return isNumber && number >= 0
	}
}

func (l list) check(faults *faultlist.List, path string, value any) {
	items, isList := value.([]any)
	if !isList {
		faults.Add(path, "is not a list; write [ ] around its items")
		return
	}
	for i, item := range items {
		l.of.check(faults, fmt.Sprintf("%s[%d]", path, i), item)
	}
}

func (o object) check(faults *faultlist.List, path string, value any) {
	fields, isObject := value.(map[string]any)
	if !isObject {
		faults.Add(path, "is not an object; write { } around its fields")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		fieldPath := strings.TrimPrefix(path+"."+name, ".")
		if wanted, isKnown := o[name]; isKnown {
			wanted.check(faults, fieldPath, fields[name])
		} else {
			faults.Add(fieldPath, "is unknown; use %s", strings.Join(slices.Sorted(maps.Keys(o)), ", "))
		}
	}
}
