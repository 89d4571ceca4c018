package forwarding

import (
	"net/http"
	"strings"
)

// hopByHop are the header fields that belong to one connection or to the framing of one message (RFC 9110, section 7.6.1). The
// forwarding side writes its own.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// DeleteHopByHop deletes the hop-by-hop fields of a header in place. Fields that its Connection field names stay.
func DeleteHopByHop(header http.Header) {
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// EndToEnd copies a header without its hop-by-hop fields and without those that its Connection field names.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	DeleteHopByHop(kept)
	return kept
}
