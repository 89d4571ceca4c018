package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazshed/internal/forwarding"
)

// The header fields of requests, attempts and responses.
const (
	// HeaderAttempt is the id of a request, the same for all its attempts.
	HeaderAttempt = "Topazshed-Attempt"
	// HeaderWait is how long the sender waits for the response, in milliseconds.
	HeaderWait = "Topazshed-Wait"
	// HeaderOrigin is the region or the entity that a request belongs to.
	HeaderOrigin = "Topazshed-Origin"
	// HeaderKey is the key of a request for a keyed entry.
	HeaderKey = "Topazshed-Key"
	// HeaderAge is how long ago the attempt id was first sent, in milliseconds.
	HeaderAge = "Topazshed-Age"
	// HeaderForwarded is the trail of failover numbers by which a proxy forwards a request to another.
	HeaderForwarded = "Topazshed-Forwarded"
	// HeaderOutcome is how a request ended: one of the results.
	HeaderOutcome = "Topazshed-Outcome"
	// HeaderService and HeaderInstance name the back end that an attempt is for, and that a response is from.
	HeaderService  = "Topazshed-Service"
	HeaderInstance = "Topazshed-Instance"
	// HeaderNumber is the trail of failover numbers under which an attempt is sent.
	HeaderNumber = "Topazshed-Number"
	// HeaderSlot is the shard slot of a key and the slot's number.
	HeaderSlot = "Topazshed-Slot"
	// HeaderDigest is the digest of a response's body (RFC 9530).
	HeaderDigest = "Content-Digest"
	// HeaderProxy is the proxy that a response comes from.
	HeaderProxy = "Topazshed-Proxy"
)

// ownPrefix begins the product's own header fields.
const ownPrefix = "Topazshed-"

// perHop are the fields that a proxy writes itself at each hop, beside the hop-by-hop fields.
var perHop = []string{"Host", HeaderForwarded, HeaderOutcome, HeaderProxy}

// deletePerHop deletes the fields of a header that do not go on to the next hop.
func deletePerHop(header http.Header) {
	forwarding.DeleteHopByHop(header)
	for _, name := range perHop {
		header.Del(name)
	}
}

// responseHeader is a response's header as it goes on to the caller.
func responseHeader(header http.Header) http.Header {
	kept := header.Clone()
	deletePerHop(kept)
	return kept
}

// attemptHeader is the request's header as it goes on to a back end or another proxy, which has so much time left.
func (q *Request) attemptHeader(left time.Duration) http.Header {
	header := q.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	deletePerHop(header)
	for name := range header {
		if strings.HasPrefix(name, ownPrefix) {
			header.Del(name)
		}
	}
	header.Set(HeaderAttempt, q.Attempt)
	header.Set(HeaderWait, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(HeaderOrigin, q.OriginRaw)
	if q.Key != "" {
		header.Set(HeaderKey, q.Key)
	}
	return header
}
