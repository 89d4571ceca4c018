package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"topazshed/internal/constants"
)

// The results of a request, as HeaderOutcome tells them.
const (
	// ResultSealed: the response is a back end's.
	ResultSealed = "sealed"
	// ResultRefused: the request surely did not run.
	ResultRefused = "declined"
	// ResultAmbiguous: the request may have run.
	ResultAmbiguous = "doubtful"
)

// RefusalError is a final response that is not a back end's. Its Result says whether the request may have run.
type RefusalError struct {
	// Status is the HTTP status.
	Status int
	// Kind is a short name for programs, Message says what went wrong and what to do.
	Kind    string
	Message string
	Result  string
	// RetryAfter is when the caller may come back; 0 if that is of no use.
	RetryAfter time.Duration
}

func (e *RefusalError) Error() string { return e.Kind + ": " + e.Message }

// errorBody is the JSON body of a RefusalError's response.
type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Result  string `json:"outcome"`
}

// response is the refusal as a response, without the fields that name the request.
func (e *RefusalError) response() *Result {
	body, err := json.Marshal(errorBody{e.Kind, e.Message, e.Result})
	if err != nil {
		body = []byte("{}")
	}
	result := &Result{e.Status, http.Header{}, append(body, '\n')}
	result.Header.Set("Content-Type", "application/json")
	result.Header.Set(HeaderOutcome, e.Result)
	if e.RetryAfter > 0 {
		result.Header.Set("Retry-After", strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	return result
}

// wholeSeconds rounds up, since Retry-After has no fractions (RFC 9110).
func wholeSeconds(span time.Duration) int {
	return max(1, int((span+time.Second-1)/time.Second))
}

// Write writes the refusal to the caller.
func (e *RefusalError) Write(w http.ResponseWriter) { e.response().write(w) }

// newRefusal refuses a request for good.
func newRefusal(status int, kind, format string, args ...any) *RefusalError {
	return &RefusalError{Status: status, Kind: kind, Message: fmt.Sprintf(format, args...), Result: ResultRefused}
}

// newRefusalLater refuses a request that may be sent again after a while.
func newRefusalLater(kind, format string, args ...any) *RefusalError {
	e := newRefusal(http.StatusServiceUnavailable, kind, format, args...)
	e.RetryAfter = constants.RetryAfter
	return e
}
