package proxy

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/failover"
)

const (
	// longestKey is the size of the longest key, in bytes.
	longestKey = 200
	// digestBytes is how much of a request's SHA-256 sum identifies it.
	digestBytes = 16
)

// Request is a caller's request as it was read.
type Request struct {
	Service  string
	Path     string
	RawQuery string
	Method   string
	// Attempt is the request's id.
	Attempt string
	// Wait is how long the caller waits, and Age how long ago it first sent the id, 0 if it does not say.
	Wait time.Duration
	Age  time.Duration
	// Origin is what the request belongs to, OriginRaw the field as it was sent.
	Origin    failover.Origin
	OriginRaw string
	Key       string
	// Forwarded is the trail by which another proxy forwarded the request; it is empty for a caller's.
	Forwarded failover.Trail
	Header    http.Header
	Body      []byte
	// Digest identifies what is asked; a reservation of the id is bound to it.
	Digest []byte
}

var attemptForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[A-Za-z0-9_.:-]{8,64}$`) })

// ReadRequest reads what does not need the entry; the body follows once the entry is known.
func ReadRequest(r *http.Request) (*Request, *RefusalError) {
	q := &Request{Method: r.Method, RawQuery: r.URL.RawQuery, Header: r.Header}
	if refusal := q.readPath(r.URL.EscapedPath()); refusal != nil {
		return nil, refusal
	}
	if refusal := q.readAttempt(); refusal != nil {
		return nil, refusal
	}
	if refusal := q.readTimes(); refusal != nil {
		return nil, refusal
	}
	if refusal := q.readOrigin(); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

func (q *Request) readPath(escaped string) *RefusalError {
	service, path, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	q.Service = service
	q.Path = "/" + path
	if service == "" {
		return newRefusal(http.StatusNotFound, kindNoService, "the path names no service; use /SERVICE/PATH")
	}
	if !isPlainPath(q.Path) {
		return newRefusal(http.StatusBadRequest, kindBadPath, "the path has empty or dotted parts; send it in its plain form")
	}
	return nil
}

// isPlainPath tells that a path has no empty or dotted parts, nor escapes that could hide one.
func isPlainPath(path string) bool {
	if strings.Contains(path, "//") || strings.Contains(path, "/.") {
		return false
	}
	lower := strings.ToLower(path)
	return !strings.Contains(lower, "%2e") && !strings.Contains(lower, "%2f")
}

func (q *Request) readAttempt() *RefusalError {
	q.Attempt = q.Header.Get(HeaderAttempt)
	if !attemptForm().MatchString(q.Attempt) || len(q.Header.Values(HeaderAttempt)) != 1 {
		return newRefusal(http.StatusBadRequest, kindBadAttempt, "send one %s of 8 to 64 letters, digits or _ . : -", HeaderAttempt)
	}
	return nil
}

func (q *Request) readTimes() *RefusalError {
	wait, err := strconv.Atoi(q.Header.Get(HeaderWait))
	if err != nil || wait < 1 || time.Duration(wait)*time.Millisecond > constants.MaxWait {
		return newRefusal(http.StatusBadRequest, kindBadWait,
			"send %s in milliseconds, from 1 to %d", HeaderWait, constants.MaxWait.Milliseconds())
	}
	q.Wait = time.Duration(wait) * time.Millisecond
	text := q.Header.Get(HeaderAge)
	if text == "" {
		return nil
	}
	age, err := strconv.ParseInt(text, 10, 64)
	if err != nil || age < 0 || age > constants.MaxAge.Milliseconds() {
		return newRefusal(http.StatusBadRequest, kindBadAge,
			"send %s in milliseconds since the first sending whose result you do not know, at most %d, or leave it out",
			HeaderAge, constants.MaxAge.Milliseconds())
	}
	q.Age = time.Duration(age) * time.Millisecond
	return nil
}

func (q *Request) readOrigin() *RefusalError {
	var err error
	q.OriginRaw = q.Header.Get(HeaderOrigin)
	q.Origin, err = failover.ParseOrigin(q.OriginRaw)
	if err != nil {
		return newRefusal(http.StatusBadRequest, kindBadOrigin, "%v", err)
	}
	q.Key = q.Header.Get(HeaderKey)
	if len(q.Key) > longestKey {
		return newRefusal(http.StatusBadRequest, kindBadKey, "%s has more than %d bytes; send a shorter key", HeaderKey, longestKey)
	}
	text := q.Header.Get(HeaderForwarded)
	if text == "" {
		return nil
	}
	q.Forwarded, err = failover.ParseTrail(text)
	if err != nil {
		return newRefusal(http.StatusBadRequest, kindBadForward, "%s is for proxies only; leave it out", HeaderForwarded)
	}
	return nil
}

// SetDigest fixes the digest of the request, which a reservation is bound to.
func (q *Request) SetDigest() {
	sum := sha256.New()
	for _, part := range []string{q.Method, q.Service, q.Path, q.RawQuery, q.Key} {
		fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(q.Body)
	q.Digest = sum.Sum(nil)[:digestBytes]
}
