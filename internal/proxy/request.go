// Package proxy carries requests to back ends: a decider is asked, an executor obeys.
package proxy

import (
	"crypto/sha256"
	"encoding/json"
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

// The headers of requests, attempts and responses.
const (
	HeaderAttempt   = "Topazshed-Attempt"
	HeaderWait      = "Topazshed-Wait"
	HeaderOrigin    = "Topazshed-Origin"
	HeaderKey       = "Topazshed-Key"
	HeaderAge       = "Topazshed-Age"
	HeaderForwarded = "Topazshed-Forwarded"
	HeaderOutcome   = "Topazshed-Outcome"
	HeaderService   = "Topazshed-Service"
	HeaderInstance  = "Topazshed-Instance"
	HeaderNumber    = "Topazshed-Number"
	HeaderSlot      = "Topazshed-Slot"
	HeaderDigest    = "Content-Digest"
	HeaderProxy     = "Topazshed-Proxy"
)

// The kinds of response that a caller is told.
const (
	ResultSealed    = "sealed"
	ResultRefused   = "declined"
	ResultAmbiguous = "doubtful"
)

// Request is a caller's request as it was read.
type Request struct {
	Service   string
	Path      string
	RawQuery  string
	Method    string
	Attempt   string
	Wait      time.Duration
	Age       time.Duration
	Origin    failover.Origin
	OriginRaw string
	Key       string
	Forwarded failover.Trail
	Header    http.Header
	Body      []byte
	Digest    []byte
}

// RefusalError is a final response that is not the back end's: refused surely did not run, doubtful may have run.
type RefusalError struct {
	Status     int
	Kind       string
	Message    string
	Result     string
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string { return e.Kind + ": " + e.Message }

type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Result  string `json:"outcome"`
}

func (e *RefusalError) describe() *Result {
	body, err := json.Marshal(errorBody{e.Kind, e.Message, e.Result})
	if err != nil {
		body = []byte("{}")
	}
	told := &Result{e.Status, http.Header{}, append(body, '\n')}
	told.Header.Set("Content-Type", "application/json")
	told.Header.Set(HeaderOutcome, e.Result)
	if e.RetryAfter > 0 {
		told.Header.Set("Retry-After", strconv.Itoa(max(1, int((e.RetryAfter+time.Second-1)/time.Second))))
	}
	return told
}

// Write gives the response to the caller.
func (e *RefusalError) Write(w http.ResponseWriter) {
	told := e.describe()
	for name, values := range told.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(told.Status)
	w.Write(told.Body)
}

func newRefusal(status int, kind, form string, args ...any) *RefusalError {
	return &RefusalError{Status: status, Kind: kind, Message: fmt.Sprintf(form, args...), Result: ResultRefused}
}

func newRefusalLater(kind, form string, args ...any) *RefusalError {
	e := newRefusal(http.StatusServiceUnavailable, kind, form, args...)
	e.RetryAfter = constants.RetryAfter
	return e
}

var compileAttemptForm = sync.OnceValue(func() *regexp.Regexp { return regexp.MustCompile(`^[A-Za-z0-9_.:-]{8,64}$`) })

// ReadRequest reads what does not need the entry; the body follows once the entry is known.
func ReadRequest(r *http.Request) (*Request, *RefusalError) {
	q := &Request{Method: r.Method, RawQuery: r.URL.RawQuery, Header: r.Header}
	service, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	q.Service, q.Path = service, "/"+path
	if service == "" {
		return nil, newRefusal(http.StatusNotFound, "no-service", "the path names no service; use /SERVICE/PATH")
	}
	if strings.Contains(q.Path, "//") || strings.Contains(q.Path, "/.") || strings.Contains(strings.ToLower(q.Path), "%2e") || strings.Contains(strings.ToLower(q.Path), "%2f") {
		return nil, newRefusal(http.StatusBadRequest, "bad-path", "the path has empty or dotted parts; send it in its plain form")
	}
	q.Attempt = r.Header.Get(HeaderAttempt)
	if !compileAttemptForm().MatchString(q.Attempt) || len(r.Header.Values(HeaderAttempt)) != 1 {
		return nil, newRefusal(http.StatusBadRequest, "bad-attempt", "send one %s of 8 to 64 letters, digits or _ . : -", HeaderAttempt)
	}
	wait, err := strconv.Atoi(r.Header.Get(HeaderWait))
	if err != nil || wait < 1 || time.Duration(wait)*time.Millisecond > constants.WaitMost {
		return nil, newRefusal(http.StatusBadRequest, "bad-wait", "send %s in milliseconds, from 1 to %d", HeaderWait, constants.WaitMost.Milliseconds())
	}
	q.Wait = time.Duration(wait) * time.Millisecond
	if text := r.Header.Get(HeaderAge); text != "" {
		age, err := strconv.ParseInt(text, 10, 64)
		if err != nil || age < 0 || age > constants.AgeMost.Milliseconds() {
			return nil, newRefusal(http.StatusBadRequest, "bad-age", "send %s in milliseconds since the first sending whose outcome you do not know, at most %d, or leave it out", HeaderAge, constants.AgeMost.Milliseconds())
		}
		q.Age = time.Duration(age) * time.Millisecond
	}
	q.OriginRaw = r.Header.Get(HeaderOrigin)
	q.Origin, err = failover.ParseOrigin(q.OriginRaw)
	if err != nil {
		return nil, newRefusal(http.StatusBadRequest, "bad-origin", "%v", err)
	}
	q.Key = r.Header.Get(HeaderKey)
	if len(q.Key) > 200 {
		return nil, newRefusal(http.StatusBadRequest, "bad-key", "%s has more than 200 bytes; send a shorter key", HeaderKey)
	}
	if text := r.Header.Get(HeaderForwarded); text != "" {
		if q.Forwarded, err = failover.ParseTrail(text); err != nil {
			return nil, newRefusal(http.StatusBadRequest, "bad-forward", "%s is for proxies only; leave it out", HeaderForwarded)
		}
	}
	return q, nil
}

// Seal fixes the digest of the request, which a reservation is bound to.
func (q *Request) Seal() {
	sum := sha256.New()
	for _, part := range []string{q.Method, q.Service, q.Path, q.RawQuery, q.Key} {
		fmt.Fprintf(sum, "%d:%s", len(part), part)
	}
	sum.Write(q.Body)
	q.Digest = sum.Sum(nil)[:16]
}
