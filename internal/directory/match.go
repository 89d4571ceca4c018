package directory

import (
	"net/http"
	"slices"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/failover"
	"topazshed/internal/proxy"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// Proxy is one address that a caller may use.
type Proxy struct {
	Address string `json:"address"`
	Zone    string `json:"district"`
	Region  string `json:"region"`
}

// Match is the directory's response: proxies, the origin to send along, and for how long they may be used.
type Match struct {
	Proxies []Proxy `json:"proxies"`
	// Origin is the value of proxy.HeaderOrigin for the caller's requests.
	Origin string `json:"origin"`
	// Version is that of the configuration, Number the failover number of the owner.
	Version uint64 `json:"version"`
	Number  uint64 `json:"number"`
	// LiveMilli is the time to live, in milliseconds.
	LiveMilli int64 `json:"live_ms"`
}

// Decide gives a match, or a final refusal, or neither: then it is to be asked again after a while, and wanted names a service whose rows this
// node lacks. parked is how long the caller has been waiting.
func Decide(now time.Duration, local *controlplane.Local, region, service, path string, parked time.Duration,
	draw func(int64) int64) (match *Match, refusal *proxy.RefusalError, wanted string) {
	entry, early := proxy.Entry(now, local, service, path, parked)
	if early != nil {
		return nil, early.Refusal, early.Wanted
	}
	match, problem := find(local.View, entry, region, draw)
	switch {
	case problem == "":
		return match, nil, ""
	case parked < constants.MaxPark:
		return nil, nil, ""
	}
	return nil, &proxy.RefusalError{
		Status:     http.StatusServiceUnavailable,
		Kind:       "no-standing",
		Message:    problem,
		Result:     proxy.ResultRefused,
		RetryAfter: constants.RetryAfter,
	}, ""
}

// find gives the match of an entry, or says why there is none now.
func find(view *store.View, entry *schema.Entry, region string, draw func(int64) int64) (match *Match, problem string) {
	origin, hasOrigin := originOf(view, entry, region, draw)
	if !hasOrigin {
		return nil, "no home region of the entry is known; mend the configuration"
	}
	owner, err := failover.Resolve(view, entry, origin)
	if err != nil {
		return nil, err.Error()
	}
	proxies := drawProxies(view, owner.Zone, draw)
	if len(proxies) == 0 {
		return nil, "zone " + owner.Zone + " has no ready proxy; ask again"
	}
	return &Match{
		Proxies:   proxies,
		Origin:    origin.String(),
		Version:   view.Head.Version,
		Number:    uint64(owner.Number),
		LiveMilli: constants.MatchTTL.Milliseconds(),
	}, ""
}

// originOf is the entity of an entry that has one, or else the caller's region if it is a home region of the entry, or a drawn one of those.
func originOf(view *store.View, entry *schema.Entry, region string, draw func(int64) int64) (origin failover.Origin, hasOrigin bool) {
	if failover.IsEntity(entry) {
		return failover.Origin{Service: entry.Service, Path: entry.Path}, true
	}
	homes := failover.Homes(view, entry)
	switch {
	case slices.Contains(homes, region):
		return failover.Origin{Region: region}, true
	case len(homes) == 0:
		return failover.Origin{}, false
	}
	return failover.Origin{Region: homes[int(draw(int64(len(homes))))]}, true
}

// drawProxies gives a few ready proxies of a zone, from a drawn one on in the order of their ids.
func drawProxies(view *store.View, zone string, draw func(int64) int64) []Proxy {
	nodes := proxy.ReadyNodes(view, zone)
	if len(nodes) == 0 {
		return nil
	}
	first := int(draw(int64(len(nodes))))
	var proxies []Proxy
	for i := range min(len(nodes), constants.MatchProxies) {
		node := nodes[(first+i)%len(nodes)]
		proxies = append(proxies, Proxy{Address: node.Proxy, Zone: node.Zone, Region: node.Region})
	}
	return proxies
}
