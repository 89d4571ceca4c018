package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"topazshed/internal/faultlist"
)

// kind is what a field's value must be.
type kind string

const (
	kindString kind = "string"
	kindList   kind = "list"
	kindBool   kind = "bool"
	kindNumber kind = "number"
)

// entryKinds are the fields of an entry.
var entryKinds = map[string]kind{
	"service":       kindString,
	"path":          kindString,
	"methods":       kindList,
	"repeat_safe":   kindList,
	"home_regions":  kindList,
	"keyed":         kindBool,
	"body_limit":    kindNumber,
	"outcome_limit": kindNumber,
	"bearable":      kindNumber,
}

// fits reports whether a JSON value is of the kind. Lists are lists of strings, numbers are whole and not negative.
func (k kind) fits(value any) bool {
	switch value := value.(type) {
	case string:
		return k == kindString
	case bool:
		return k == kindBool
	case float64:
		return k == kindNumber && value >= 0 && value == float64(uint64(value))
	case []any:
		isOther := func(item any) bool {
			_, isString := item.(string)
			return !isString
		}
		return k == kindList && !slices.ContainsFunc(value, isOther)
	default:
		return false
	}
}

// checkShape returns every fault of a document's form: text that is no JSON object, and unknown fields or kinds of values.
func checkShape(text []byte) faultlist.List {
	var faults faultlist.List
	var document map[string]any
	reader := json.NewDecoder(bytes.NewReader(text))
	if err := reader.Decode(&document); err != nil {
		return faultlist.Of("", "is no JSON object (%v); mend it at byte %d", err, reader.InputOffset())
	}
	if reader.More() {
		faults.Add("", "has text behind the object; send one object only")
	}
	for _, name := range slices.Sorted(maps.Keys(document)) {
		if name != "entries" {
			faults.Add(name, "is unknown; a configuration has only \"entries\"")
		}
	}
	entries, isList := document["entries"].([]any)
	if !isList {
		faults.Add("entries", "is missing or no list; give the list of entries")
		return faults
	}
	for i, item := range entries {
		entry, isObject := item.(map[string]any)
		if !isObject {
			faults.Add(fmt.Sprintf("entries[%d]", i), "is no object; give service, path, methods and repeat_safe")
			continue
		}
		checkFields(&faults, i, entry)
	}
	return faults
}

func checkFields(faults *faultlist.List, index int, entry map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(entry)) {
		path := entryPath(index, name)
		wanted, isKnown := entryKinds[name]
		if !isKnown {
			faults.Add(path, "is unknown; take it out or mend its name")
		} else if !wanted.fits(entry[name]) {
			faults.Add(path, "is of the wrong kind; give a %s", wanted)
		}
	}
}
