package discovery

import (
	"fmt"
	"slices"
	"time"
)

// drainingState is an item's state on the wire while its back end drains.
const drainingState = "draining"

// Item is one line of the platform's list.
type Item struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"district"`
	State    string `json:"state"`
}

// Page is one page of the list.
type Page struct {
	Page     int    `json:"page"`
	Pages    int    `json:"pages"`
	Total    int    `json:"total"`
	Revision uint64 `json:"revision"`
	Backends []Item `json:"backends"`
}

// RoutedItem is one line of the list of a fleet of routes.
type RoutedItem struct {
	Item
	// Slots is how many requests the back end works on at once.
	Slots uint32 `json:"slots"`
	// ColdLeftMS is how long the back end goes on warming up, in milliseconds.
	ColdLeftMS int64 `json:"cold_left_ms"`
}

// RoutedPage is one page of the list of a fleet of routes.
type RoutedPage struct {
	Page
	Backends []RoutedItem `json:"backends"`
}

// Listed is one back end of a fleet of routes as the list has it.
type Listed struct {
	Service  string
	Instance string
	Address  string
	Zone     string
	// Slots is how many requests the back end works on at once.
	Slots      uint32
	IsDraining bool
	// ColdLeft is how long the back end goes on warming up, counted from ReadAt.
	ColdLeft time.Duration
	// ReadAt is when its page had been answered, or a little later.
	ReadAt time.Duration
}

// Listing is one read of the list of a fleet of routes.
type Listing struct {
	Items []Listed
	// BegunAt is when the first page was asked for.
	BegunAt time.Duration
	// IsComplete is true if no page is missing; Reason says why it is not.
	IsComplete bool
	Reason     string
}

// WithOlder returns a part of a read with the back ends of an older read that it lacks, so that what was not planned on yet is
// not lost.
func (l Listing) WithOlder(older Listing) Listing {
	isListed := map[backendID]bool{}
	for _, item := range l.Items {
		isListed[newBackendID(item.Service, item.Instance)] = true
	}
	merged := l
	merged.Items = slices.Clone(l.Items)
	for _, item := range older.Items {
		if !isListed[newBackendID(item.Service, item.Instance)] {
			merged.Items = append(merged.Items, item)
		}
	}
	return merged
}

// ListRead is one read of the list of a fleet of entries.
type ListRead struct {
	Items []Item
	// IsComplete is true if no page is missing; Reason says why it is not.
	IsComplete bool
	Reason     string
}

// Join checks and joins the pages of one read. Missing, repeated or differing pages, and lines without a name or an
// address, make it partial.
func Join(pages []Page) ListRead {
	var read ListRead
	seen := map[int]bool{}
	known := map[backendID]bool{}
	for _, page := range pages {
		if seen[page.Page] {
			read.Reason = fmt.Sprintf("page %d came twice", page.Page)
		}
		seen[page.Page] = true
		if page.Pages != pages[0].Pages || page.Revision != pages[0].Revision || page.Total != pages[0].Total {
			read.Reason = "the list changed between its pages"
		}
		read.add(page.Backends, known)
	}
	if read.Reason == "" {
		read.Reason = whyPartial(pages, len(seen), len(read.Items))
	}
	read.IsComplete = read.Reason == ""
	return read
}

// add takes the lines of a page; a back end that is listed again counts once.
func (r *ListRead) add(items []Item, known map[backendID]bool) {
	for _, item := range items {
		if !isNamed(item.Service, item.Instance, item.Address) {
			r.Reason = "an item lacks service, instance or address"
			continue
		}
		id := newBackendID(item.Service, item.Instance)
		if known[id] {
			continue
		}
		known[id] = true
		r.Items = append(r.Items, item)
	}
}

// whyPartial says what a read without faulty pages lacks, or "" if it is whole.
func whyPartial(pages []Page, seen, items int) string {
	switch {
	case len(pages) == 0 || seen != pages[0].Pages:
		return "pages are missing"
	case items != pages[0].Total:
		return fmt.Sprintf("%d of %d back ends came", items, pages[0].Total)
	case items == 0:
		return "the list is empty"
	default:
		return ""
	}
}
