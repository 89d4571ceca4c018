package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ownResponse is what the gateway itself responds, without a back end's response.
type ownResponse struct {
	Status  int
	Kind    string
	Message string
	// RetryAfter is when the caller may come back; 0 leaves the field out.
	RetryAfter time.Duration
	// ClosesConnection ends the caller's connection, whose next bytes can't be trusted.
	ClosesConnection bool
}

// ownBody is the JSON body of an ownResponse.
type ownBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// respond writes the gateway's own response to the caller; the attempt id is left out if it is empty.
func (g *Gateway) respond(w http.ResponseWriter, id string, response ownResponse) {
	body, err := json.Marshal(ownBody{response.Kind, response.Message})
	if err != nil {
		body = []byte("{}")
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if id != "" {
		header.Set(g.options.Names.Attempt, id)
	}
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if response.ClosesConnection || g.stopping.Load() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(response.Status)
	w.Write(body)
}

// refuse counts a request that was not sent to any back end, and responds with 503.
func (g *Gateway) refuse(w http.ResponseWriter, id string, refusal Refusal, message string, retryAfter time.Duration) {
	g.stats.Refused.Add(1)
	g.respond(w, id, ownResponse{Status: http.StatusServiceUnavailable, Kind: string(refusal), Message: message, RetryAfter: retryAfter})
}
