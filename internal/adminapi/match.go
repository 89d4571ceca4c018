package adminapi

import "net/http"

// Match names proxies for a caller of a fleet that carries routes.
type Match struct {
	// Proxies are addresses, IP:port.
	Proxies []string `json:"proxies"`
	// LiveMS is how long they may be used, in milliseconds.
	LiveMS int64 `json:"live_ms"`
}

// match gives a Match for ?region=R&district=Z, by default this node's region; 503 if this node knows no proxy.
func (s *Server) match(w http.ResponseWriter, r *http.Request) {
	region, zone := r.URL.Query().Get("region"), r.URL.Query().Get("district")
	if region == "" {
		region = s.options.Self.Region
	}
	proxies, lifetime := s.options.Routed.Resolve(region, zone)
	if len(proxies) == 0 {
		const message = "this node knows no ready proxy yet; ask another node"
		write(w, http.StatusServiceUnavailable, Reply{Kind: kindNotReady, Message: message})
		return
	}
	write(w, http.StatusOK, Match{proxies, lifetime.Milliseconds()})
}

// ready tells whether this node may get requests: 200 or 503.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.options.Routed.IsReady() {
		const message = "this node knows no configuration yet, or is stopping; ask another node"
		write(w, http.StatusServiceUnavailable, Reply{Kind: kindNotReady, Message: message})
		return
	}
	write(w, http.StatusOK, map[string]bool{"ready": true})
}
