package proxy

import (
	"net/http"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/controlplane"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// tickLimit is how long ago the control plane's last tick may be; after a longer time the process was frozen.
const tickLimit = time.Second

// IsFit tells whether a node's state is fresh enough to serve on.
func IsFit(now time.Duration, local *controlplane.Local) bool {
	if local == nil || now-local.TickAt > tickLimit || local.ThawedAt > 0 && local.FreshAt <= local.ThawedAt {
		return false
	}
	if local.View.Version == 0 || local.BehindAt > 0 && now-local.BehindAt > constants.MaxBehind {
		return false
	}
	return now-local.FreshAt < constants.IsolatedAfter || now-local.PeersAt < constants.IsolatedAfter
}

// isIsolated tells of an unfit node that its state is complete but old.
func isIsolated(now time.Duration, local *controlplane.Local) bool {
	return local.View.Version > 0 && now-local.TickAt < tickLimit && local.ThawedAt < local.FreshAt
}

// Entry finds the entry of a path for a request that has been waiting for a while, or gives the decision that ends or parks the request.
func Entry(now time.Duration, local *controlplane.Local, service, path string, parked time.Duration) (*schema.Entry, *Decision) {
	if !IsFit(now, local) {
		if isIsolated(now, local) {
			return nil, refusedEarly(newRefusalLater(kindIsolated, "this proxy is cut off; ask the directory for another"))
		}
		return nil, parkEarly(parked, "this proxy has no fresh state; ask the directory for another", "")
	}
	if !local.IsFull && !local.HeldPrefixes[store.ServicePrefix(service)] {
		return nil, parkEarly(parked, "the service's state is not here yet; send again", service)
	}
	known := local.View.Services[service]
	if known == nil {
		return nil, refusedEarly(newRefusal(http.StatusNotFound, kindUnknownEntry,
			"no entry for service %q; mend the path or put a configuration", service))
	}
	entry := known.Entry(path)
	if entry == nil {
		return nil, refusedEarly(newRefusal(http.StatusNotFound, kindUnknownEntry,
			"no entry of service %q covers path %q; mend the path or put a configuration", service, path))
	}
	return entry, nil
}

func refusedEarly(refusal *RefusalError) *Decision {
	return &Decision{Action: ActionRefuse, Refusal: refusal}
}

// parkEarly lets a request wait for state that this proxy lacks.
func parkEarly(parked time.Duration, message, wanted string) *Decision {
	if parked >= constants.MaxPark {
		return refusedEarly(newRefusalLater(kindUnready, "%s", message))
	}
	return &Decision{Action: ActionPark, Wanted: wanted}
}
