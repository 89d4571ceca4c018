package node

import (
	"context"
	"fmt"
	"net/http"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
)

// stateDraining is the state of a back end in the list that gets no new requests.
const stateDraining = "draining"

// PartialListError says that a read of the list was not whole, so that no back end is removed by it.
type PartialListError struct {
	Reason string
	// Cause is the error of the page that failed, or nil.
	Cause error
}

func (e *PartialListError) Error() string {
	return fmt.Sprintf("the list was not read whole: %s; mend the list if it lasts", e.Reason)
}

// Unwrap gives the error of the page that failed.
func (e *PartialListError) Unwrap() error { return e.Cause }

// listNative reads a list in the product's own form, and tells how many pages it read (1 at least after an error). A read
// that was not whole gives what it has with a *PartialListError.
func listNative(ctx context.Context, client *http.Client, list string, turn Turn) ([]discovery.Listed, int, error) {
	pages, err := readRoutedPages(ctx, client, list, turn)
	joined, details := joinRoutedPages(pages)
	items := make([]discovery.Listed, 0, len(joined.Items))
	for _, item := range joined.Items {
		detail := details[routedKey(item)]
		items = append(items, discovery.Listed{
			Service:    item.Service,
			Instance:   item.Instance,
			Address:    item.Address,
			Zone:       item.Zone,
			Slots:      detail.Slots,
			IsDraining: item.State == stateDraining,
			ColdLeft:   milliseconds(detail.ColdLeftMS),
		})
	}
	switch {
	case err != nil:
		return items, max(1, len(pages)), &PartialListError{Reason: err.Error(), Cause: err}
	case joined.Reason != "":
		return items, max(1, len(pages)), &PartialListError{Reason: joined.Reason}
	default:
		return items, len(pages), nil
	}
}

// readRoutedPages reads pages up to the last or the first that fails.
func readRoutedPages(ctx context.Context, client *http.Client, list string, turn Turn) ([]discovery.RoutedPage, error) {
	var pages []discovery.RoutedPage
	for number := 0; number < constants.MaxListPages; number++ {
		if err := turn(ctx, 0, nil); err != nil {
			return pages, err
		}
		var page discovery.RoutedPage
		if err := fetchPage(ctx, client, list, number, &page); err != nil {
			return pages, err
		}
		if page.Page.Page != number {
			return pages, &PageNumberError{Wanted: number, Got: page.Page.Page}
		}
		pages = append(pages, page)
		if number+1 >= page.Pages {
			break
		}
	}
	return pages, nil
}

// joinRoutedPages checks the pages against each other, and gives beside the items what only fleets of routes have.
func joinRoutedPages(pages []discovery.RoutedPage) (discovery.ListRead, map[string]discovery.RoutedItem) {
	var plain []discovery.Page
	details := map[string]discovery.RoutedItem{}
	for _, page := range pages {
		plainPage := page.Page
		for _, item := range page.Backends {
			plainPage.Backends = append(plainPage.Backends, item.Item)
			details[routedKey(item.Item)] = item
		}
		plain = append(plain, plainPage)
	}
	return discovery.Join(plain), details
}

func routedKey(item discovery.Item) string { return item.Service + "/" + item.Instance }
