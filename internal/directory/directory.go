// Package directory tells callers which proxies to use and for how long.
package directory

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
)

// Proxy is one address that a caller may use.
type Proxy struct {
	Address string `json:"address"`
	Zone    string `json:"district"`
	Region  string `json:"region"`
}

// Match is the directory's response: proxies, the origin record to send along, and its time to live.
type Match struct {
	Proxies   []Proxy `json:"proxies"`
	Origin    string  `json:"origin"`
	Version   uint64  `json:"version"`
	Number    uint64  `json:"number"`
	LiveMilli int64   `json:"live_ms"`
}

// Options make a Directory.
type Options struct {
	Self  *schema.Node
	Now   func() time.Duration
	Local func() *controlplane.Local
	Want  func(service string)
	Draw  func(int64) int64
}

// Directory answers callers.
type Directory struct{ options Options }

// New makes one.
func New(options Options) *Directory { return &Directory{options} }

// Decide is the pure part: a match, or a final refuse, or neither to be asked again.
func Decide(now time.Duration, local *controlplane.Local, region, service, path string, parked time.Duration, draw func(int64) int64) (*Match, *proxy.RefusalError, string) {
	entry, early := proxy.Entry(now, local, service, path, parked)
	if early != nil {
		return nil, early.Refusal, early.Wanted
	}
	later := func(message string) (*Match, *proxy.RefusalError, string) {
		if parked < constants.ParkMost {
			return nil, nil, ""
		}
		return nil, &proxy.RefusalError{Status: http.StatusServiceUnavailable, Kind: "no-standing", Message: message, Result: proxy.ResultRefused, RetryAfter: constants.RetryAfter}, ""
	}
	origin := failover.Origin{Region: region}
	if failover.IsEntity(entry) {
		origin = failover.Origin{Service: entry.Service, Path: entry.Path}
	} else if homes := failover.Homes(local.View, entry); !slices.Contains(homes, region) {
		if len(homes) == 0 {
			return later("no home region of the entry is known; mend the configuration")
		}
		origin.Region = homes[int(draw(int64(len(homes))))]
	}
	owner, err := failover.Resolve(local.View, entry, origin)
	if err != nil {
		return later(err.Error())
	}
	match := &Match{Origin: origin.String(), Version: local.View.Head.Version, Number: uint64(owner.Number), LiveMilli: constants.MatchTTL.Milliseconds()}
	var nodes []*schema.Node
	for _, node := range local.View.Nodes {
		if node.Zone == owner.Zone && node.State == schema.NodeState_NODE_READY {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		return later("district " + owner.Zone + " has no ready proxy; ask again")
	}
	slices.SortFunc(nodes, func(a, b *schema.Node) int { return strings.Compare(a.Id, b.Id) })
	first := int(draw(int64(len(nodes))))
	for i := range min(len(nodes), constants.MatchProxies) {
		node := nodes[(first+i)%len(nodes)]
		match.Proxies = append(match.Proxies, Proxy{node.Proxy, node.Zone, node.Region})
	}
	return match, nil, ""
}

// ServeHTTP answers GET /v1/match?service=NAME&path=/PATH.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, path, region := r.URL.Query().Get("service"), r.URL.Query().Get("path"), r.URL.Query().Get("region")
	if path == "" {
		path = "/"
	}
	if region == "" {
		region = d.options.Self.Region
	}
	if service == "" {
		(&proxy.RefusalError{Status: http.StatusBadRequest, Kind: "no-service", Message: "name the service: /v1/match?service=NAME&path=/PATH", Result: proxy.ResultRefused}).Write(w)
		return
	}
	var parked time.Duration
	for {
		match, fault, wanted := Decide(d.options.Now(), d.options.Local(), region, service, path, parked, d.options.Draw)
		if match != nil {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(match)
			return
		}
		if fault != nil {
			var refusal *proxy.RefusalError
			if errors.As(fault, &refusal) {
				refusal.Write(w)
			}
			return
		}
		if wanted != "" {
			d.options.Want(wanted)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(constants.ParkStep):
			parked += constants.ParkStep
		}
	}
}
