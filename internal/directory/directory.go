// Package directory tells callers which proxies to use for an entry, and for how long.
//
// Decide is pure; the simulator calls it too. A Directory serves it over HTTP on the goroutine of each request, and keeps no state of its own.
package directory

import (
	"encoding/json"
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

// Options make a Directory.
type Options struct {
	Self *schema.Node
	// Now is the process's monotonic clock.
	Now func() time.Duration
	// Local gives the newest view of the replicated state.
	Local func() *controlplane.Local
	// Want asks for the rows of a service that this node lacks.
	Want func(service string)
	// Draw gives a random number from 0 to below its argument.
	Draw func(int64) int64
}

// Directory answers callers.
type Directory struct{ options Options }

// New makes a directory.
func New(options Options) *Directory { return &Directory{options} }

// ServeHTTP answers GET /v1/match?service=NAME&path=/PATH&region=REGION; the path is "/" and the region this node's unless they are given.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	service, path, region := query.Get("service"), query.Get("path"), query.Get("region")
	if path == "" {
		path = "/"
	}
	if region == "" {
		region = d.options.Self.Region
	}
	if service == "" {
		noService().Write(w)
		return
	}
	match, refusal := d.await(r, region, service, path)
	switch {
	case match != nil:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(match)
	case refusal != nil:
		refusal.Write(w)
	}
}

func noService() *proxy.RefusalError {
	return &proxy.RefusalError{
		Status:  http.StatusBadRequest,
		Kind:    "no-service",
		Message: "name the service: /v1/match?service=NAME&path=/PATH",
		Result:  proxy.ResultRefused,
	}
}

// await asks until there is a match or a refusal; it gives neither if the caller has left.
func (d *Directory) await(r *http.Request, region, service, path string) (*Match, *proxy.RefusalError) {
	for parked := time.Duration(0); ; parked += constants.ParkStep {
		match, refusal, wanted := Decide(d.options.Now(), d.options.Local(), region, service, path, parked, d.options.Draw)
		if match != nil || refusal != nil {
			return match, refusal
		}
		if wanted != "" {
			d.options.Want(wanted)
		}
		select {
		case <-r.Context().Done():
			return nil, nil
		case <-time.After(constants.ParkStep):
		}
	}
}
