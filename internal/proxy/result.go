package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"strconv"

	"topazshed/internal/schema"
)

// Result is a whole response: a back end's, or the one that a caller gets.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

func (r *Result) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	w.WriteHeader(r.Status)
	w.Write(r.Body)
}

// CallerResult makes the response to a caller, of the proxy self, out of a back end's result or a refusal.
func CallerResult(self, attempt string, result *Result, refusal *RefusalError) *Result {
	var response *Result
	if refusal != nil {
		response = refusal.response()
	} else {
		response = &Result{Status: result.Status, Header: result.Header.Clone(), Body: result.Body}
		response.Header.Set(HeaderOutcome, ResultSealed)
		response.Header.Set("Content-Length", strconv.Itoa(len(result.Body)))
	}
	response.Header.Set(HeaderProxy, self)
	response.Header.Set(HeaderAttempt, attempt)
	return response
}

// ContentDigest is the value of HeaderDigest for a body.
func ContentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// ResponseError says why a whole response can't be trusted. The request may have run.
type ResponseError struct{ Reason string }

func (e *ResponseError) Error() string { return e.Reason }

func newResponseError(format string, args ...any) *ResponseError {
	return &ResponseError{fmt.Sprintf(format, args...)}
}

// verify tells whether a result is one of this request and this back end, and complete. Its error is a *ResponseError.
func verify(result *Result, q *Request, b *schema.Backend) error {
	header := result.Header
	switch {
	case header.Get(HeaderAttempt) != q.Attempt:
		return newResponseError("the response is sealed for attempt %q", header.Get(HeaderAttempt))
	case header.Get(HeaderService) != b.Service || header.Get(HeaderInstance) != b.Instance:
		return newResponseError("the response is sealed by %s/%s", header.Get(HeaderService), header.Get(HeaderInstance))
	case header.Get(HeaderDigest) != ContentDigest(result.Body) && q.Method != http.MethodHead:
		return newResponseError("the response's digest does not fit its body")
	case result.Status < http.StatusOK:
		return newResponseError("the response has status %d", result.Status)
	}
	return nil
}
