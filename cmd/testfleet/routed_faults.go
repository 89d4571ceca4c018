package main

import (
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// minServedPercent is the least share of requests that must be served.
const minServedPercent = 90

func (r *routedRun) emptyZone() error {
	return r.operate(http.MethodPost, "/v1/districts/"+emptiedZone+"/empty", url.Values{"reason": {"new racks"}}, "")
}

// restoreZone checks that the zone that was emptied a while ago got no requests since emptyBound, and restores it.
func (r *routedRun) restoreZone(emptied time.Duration) error {
	if last := r.platform.sinceLastRequest(emptiedZone); last < emptied-emptyBound {
		r.platform.reportViolation("%s was emptied %v ago and got a request %v ago", emptiedZone, emptied, last)
	}
	return r.operate(http.MethodPost, "/v1/districts/"+emptiedZone+"/restore", nil, "")
}

func (r *routedRun) killLeader() error {
	status, err := r.status()
	if err != nil {
		return err
	}
	for _, m := range r.fleet.machines {
		if m.publicAddress(peerPort) == status.Leader {
			r.fleet.kill(m)
			fmt.Printf("%s led and was killed\n", m.name)
		}
	}
	return nil
}

// startEnded starts the processes that have ended.
func (r *routedRun) startEnded() error {
	for _, m := range r.fleet.machines {
		if len(m.exited) == 0 {
			continue
		}
		if err := r.fleet.start(m); err != nil {
			return err
		}
	}
	return nil
}

// checkReadBacks checks that every machine reads back the configuration byte for byte.
func (r *routedRun) checkReadBacks() {
	for _, m := range r.fleet.machines {
		answer, err := r.fleet.adminCall(m, http.MethodGet, configurationPath, nil, nil)
		if err != nil || answer.status != http.StatusOK || string(answer.body) != routedDocument {
			r.platform.reportViolation("%s reads back status %d, %d bytes, %v", m.name, answer.status, len(answer.body), err)
		}
	}
}

// summarise prints how requests ended, and checks that enough were served and that the status names the failovers.
func (r *routedRun) summarise(seed int64) error {
	status, err := r.status()
	if err != nil {
		return err
	}
	if len(status.Changes) == 0 {
		r.platform.reportViolation("status names no change of a failover assignment")
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	total := 0
	for _, count := range r.ends {
		total += count
	}
	fmt.Printf("routed seed %d: %d requests, ends %v, slowest answer %v, %d failovers in status\n",
		seed, total, r.ends, r.slowest.Round(time.Millisecond), len(status.Changes))
	if served := r.ends["200"]; 100*served < minServedPercent*total {
		r.platform.reportViolation("only %d of %d requests were answered", served, total)
	}
	return nil
}
