package gateway

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keyBits is the size of a key: constants.Keys different ones.
const keyBits = 16

// headerBytes is the size of a request's head as it came, in bytes.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("  \r\nHost: \r\n\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

// hostOf is the host that a request names, in lower case and without its port.
func hostOf(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// pathOf is the path as the caller wrote it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = r.URL.EscapedPath()
	}
	return path
}

// hasAmbiguousPath tells that a path begins with two slashes and would reach the back end in another form than it came.
func hasAmbiguousPath(r *http.Request) bool {
	return strings.HasPrefix(r.RequestURI, "//") && targetURL(r).RequestURI() != r.RequestURI
}

// waitOf is how long the caller waits for its response, within a limit.
func (g *Gateway) waitOf(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(g.options.Names.Deadline), 10, 64)
	if err != nil || ms < 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// keyOf is the key of a request for a keyed service, if it names one.
func (g *Gateway) keyOf(r *http.Request) (key uint32, hasKey bool) {
	text := r.Header.Get(g.options.Names.Key)
	if text == "" {
		return 0, false
	}
	parsed, err := strconv.ParseUint(text, 10, keyBits)
	return uint32(parsed), err == nil
}
