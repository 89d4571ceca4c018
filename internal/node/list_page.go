package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/discovery"
	"topazshed/internal/leasecall"
)

const (
	// listPageLimit (bytes) bounds one page of the endpoint list.
	listPageLimit = 4 << 20
	// maxListRetry (time) bounds the pause that a refused page may ask for.
	maxListRetry = 5 * time.Second
	// roleLeader is the role under which a node reads the endpoint list.
	roleLeader = "leader"
)

// ListStatusError says that the platform's list refused a page.
type ListStatusError struct {
	// Status is the HTTP status code of the response.
	Status int
	// RetryAfter is the pause that the response asked for, at most five seconds; 0 where it asked for none.
	RetryAfter time.Duration
}

func (e *ListStatusError) Error() string {
	return fmt.Sprintf("read the platform's list: status %d", e.Status)
}

// PageNumberError says that the list gave another page than the one that was asked for.
type PageNumberError struct{ Wanted, Got int }

func (e *PageNumberError) Error() string {
	return fmt.Sprintf("the platform gave page %d for page %d", e.Got, e.Wanted)
}

// fetchPage reads one page of a list in the product's own form into page. A response other than 200 is a *ListStatusError.
func fetchPage(ctx context.Context, client *http.Client, list string, number int, page any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s?page=%d", list, number), nil)
	if err != nil {
		return fmt.Errorf("read the platform's list: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("read the platform's list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &ListStatusError{Status: response.StatusCode, RetryAfter: retryAfter(response.Header)}
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, listPageLimit))
	if err != nil {
		return fmt.Errorf("read the platform's list: %w", err)
	}
	if err := json.Unmarshal(text, page); err != nil {
		return fmt.Errorf("the platform's list is no JSON: %w", err)
	}
	return nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return min(seconds, maxListRetry)
}

// readList reads the platform's list while this node leads a fleet of entries, until ctx ends.
func (s *entryService) readList(ctx context.Context) {
	client := leasecall.NewHTTPClient(leasecall.NewDial(localIP(s.node.settings.Proxy)), constants.ListCallTimeout)
	pause := constants.ListReadEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = constants.ListReadEvery
		if s.node.local.Load().Role != roleLeader {
			continue
		}
		pages, err := readEntryPages(ctx, client, s.node.settings.Platform)
		read := discovery.Join(pages)
		s.node.responses.Note("list", err)
		if err != nil {
			read.IsComplete, read.Reason = false, err.Error()
		}
		var refused *ListStatusError
		if errors.As(err, &refused) {
			pause = max(pause, refused.RetryAfter)
		}
		s.node.do(func() { s.node.machine.SetListRead(s.node.Now(), read) })
	}
}

// readEntryPages reads all pages of a list. With an error it gives the pages before the one that failed.
func readEntryPages(ctx context.Context, client *http.Client, list string) ([]discovery.Page, error) {
	var pages []discovery.Page
	for number := 0; ; number++ {
		var page discovery.Page
		if err := fetchPage(ctx, client, list, number, &page); err != nil {
			return pages, err
		}
		if page.Page != number {
			return pages, &PageNumberError{Wanted: number, Got: page.Page}
		}
		pages = append(pages, page)
		if number+1 >= page.Pages {
			return pages, nil
		}
	}
}
