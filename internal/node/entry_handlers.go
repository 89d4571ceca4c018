package node

import (
	"encoding/json"
	"fmt"
	"net/http"

	"topazshed/internal/proxy"
)

// proxyHandler serves callers of a fleet of entries: the process's identity and readiness, and all else by the proxy.
func (s *entryService) proxyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/identity":
			s.serveIdentity(w, r)
		case r.Method == http.MethodGet && r.URL.Path == "/ready":
			s.serveReadiness(w, r)
		default:
			s.executor.ServeHTTP(w, r)
		}
	})
}

func (s *entryService) serveIdentity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(proxy.Identity{Service: "topazshed", Instance: s.node.self.Id})
}

func (s *entryService) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.node.stopping.Load() || !proxy.IsFit(s.node.Now(), s.node.local.Load()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
