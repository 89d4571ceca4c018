package settings

import (
	"fmt"
	"strings"
)

// FaultKind says what sort of thing is wrong with a setting.
type FaultKind string

// The kinds of faults.
const (
	// Missing is a setting that must be given and was not.
	Missing FaultKind = "missing"
	// Malformed is a value of the wrong form.
	Malformed FaultKind = "malformed"
	// OutOfRange is a value of the right form that can't be used.
	OutOfRange FaultKind = "out-of-range"
	// Conflicting are values that can't hold together.
	Conflicting FaultKind = "conflicting"
	// Unreadable is a file that can't be read at all.
	Unreadable FaultKind = "unreadable"
)

// Fault is one thing wrong with the settings and how to mend it.
type Fault struct {
	// Field is the setting's name, as it is written in the file.
	Field string
	Kind  FaultKind
	// Problem says what is wrong and continues a sentence that begins with the field's name.
	Problem string
	// Remedy says what to do.
	Remedy string
}

// Message is the problem with its remedy.
func (f Fault) Message() string { return f.Problem + "; " + f.Remedy }

// FaultsError carries every fault of the settings at once.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.Field + ": " + fault.Message()
	}
	return strings.Join(lines, "; ")
}

// FaultList collects the faults of settings while they are read and checked. The zero value is empty.
type FaultList struct{ faults []Fault }

// Add notes a fault; the problem is formatted as fmt.Sprintf does.
func (l *FaultList) Add(kind FaultKind, field, remedy, problem string, args ...any) {
	l.faults = append(l.faults, Fault{Field: field, Kind: kind, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// Err gives all faults as a *FaultsError, or nil if there are none.
func (l *FaultList) Err() error {
	if len(l.faults) == 0 {
		return nil
	}
	return &FaultsError{l.faults}
}
