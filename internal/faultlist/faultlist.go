// Package faultlist collects the faults of a configuration, so that operators learn of all of them at once.
//
// A List belongs to one check and one goroutine; it does nothing but grow.
package faultlist

import (
	"fmt"

	"topazshed/internal/schema"
)

// List is the faults found so far, in the order in which they were found. The zero value is empty.
type List []*schema.Fault

// Add notes a fault. The path names its place in the document, such as routes[2].host; it is empty for the document
// itself. The message says what is wrong and, after a semicolon, what to do.
func (l *List) Add(path, format string, arguments ...any) {
	*l = append(*l, &schema.Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// Of returns a list of one fault.
func Of(path, format string, arguments ...any) List {
	var list List
	list.Add(path, format, arguments...)
	return list
}
