package checker

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Headers of the product's wire that callers read.
const (
	headerAttempt = "Topazshed-Attempt"
	headerOutcome = "Topazshed-Outcome"
)

// How a request ended, as the answer or the caller says: a whole answer that its back end sealed, a refusal that says
// that nothing was done, an answer that says that it may have run, or none of these.
const (
	ResultSealed   = "sealed"
	ResultDeclined = "declined"
	ResultDoubtful = "doubtful"
	ResultNone     = "none"
)

// How a sending broke: no connection, lost before an answer, cut in the middle of it, or later than the caller waits.
const (
	BrokenDial = "dial"
	BrokenLost = "lost"
	BrokenCut  = "cut"
	BrokenLate = "late"
)

// foreignDigest stands for the digest of an answer that belongs to another attempt.
const foreignDigest = "not for this attempt"

const (
	// MaxSends bounds how often a caller sends one attempt id.
	MaxSends = 40
	// SafeLimit is how long a caller waits for one answer to a safe request.
	SafeLimit = 2 * time.Second
	// retryMargin is the time that must be left after a Retry-After for a caller to send again.
	retryMargin = 50 * time.Millisecond
	// retryAfterSpread spreads callers that got the same Retry-After.
	retryAfterSpread = 200
	// A caller backs off for minBackoff to minBackoff+backoffStep*n, n the sends so far, at most maxBackoff.
	minBackoff  = 100
	backoffStep = 100
	maxBackoff  = 6
)

// Draw gives a random number from 0 to below n.
type Draw func(n int) int

// Digest gives the Content-Digest of a body (RFC 9530).
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// ReadAnswer fills in a reply from a whole answer: its status, result, kind and Retry-After, and the digest of a sealed
// one, which is that of no back end if the answer belongs to another attempt.
func (r *Reply) ReadAnswer(status int, header http.Header, body []byte) {
	r.Status = status
	r.Result = header.Get(headerOutcome)
	var text struct{ Attempt, Kind string }
	err := json.Unmarshal(body, &text)
	if r.Result == ResultSealed {
		r.Digest = Digest(body)
		isForeignBody := status == http.StatusOK && (err != nil || text.Attempt != r.Attempt)
		if header.Get(headerAttempt) != r.Attempt || isForeignBody {
			r.Digest = foreignDigest
		}
	} else {
		r.Kind = text.Kind
	}
	if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
}

// Step is what a caller does after a reply.
type Step int

// The steps of a caller.
const (
	// StepEnd takes the reply's result as final.
	StepEnd Step = iota
	// StepWait sends the same attempt id again after RetryPause; nothing was done.
	StepWait
	// StepBackOff sends the same attempt id again after Backoff; it may have run.
	StepBackOff
)

// Backoff draws the pause after a sending that may have run, given the number of sendings so far.
func Backoff(sends int, draw Draw) time.Duration {
	return time.Duration(minBackoff+draw(backoffStep)*min(sends, maxBackoff)) * time.Millisecond
}

// RetryPause draws the pause after a refusal: the reply's RetryAfter and a spread.
func RetryPause(reply *Reply, draw Draw) time.Duration {
	return reply.RetryAfter + time.Duration(draw(retryAfterSpread))*time.Millisecond
}

// NextStep tells what an honest caller does after a reply, given the time that it has left.
func NextStep(reply *Reply, left time.Duration) Step {
	switch reply.Result {
	case ResultSealed:
		return StepEnd
	case ResultDeclined:
		isFinal := reply.Status < http.StatusInternalServerError && reply.Status != http.StatusConflict
		if isFinal || left <= reply.RetryAfter+retryMargin {
			return StepEnd
		}
		return StepWait
	case ResultDoubtful:
		if reply.IsUnsafe {
			return StepEnd
		}
	}
	return StepBackOff
}
