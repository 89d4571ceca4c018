package gateway

import (
	"io"
	"net/http"
	"strconv"

	"topazshed/internal/forwarding"
)

// Answer is a back end's response, with its body read as far as it is kept.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body on the connection, if the response is longer than what is kept; isRestRead says that it was read to its
	// end. It is never closed, which would read it on: its connection is.
	Rest       io.Reader
	isRestRead bool
	// Length is the body's, or -1 if it is not known before its end.
	Length int64
}

func newAnswer(response *http.Response, kept []byte, isLonger bool) *Answer {
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: kept, Length: int64(len(kept))}
	if isLonger {
		answer.Rest = response.Body
		answer.Length = response.ContentLength
	}
	return answer
}

// isReadToItsEnd tells whether nothing of the response is left on its connection. It reads nothing.
func (a *Answer) isReadToItsEnd() bool { return a.Rest == nil || a.isRestRead }

// copyTo passes the response on to the caller, and tells whether the caller got it whole.
func (a *Answer) copyTo(w http.ResponseWriter, method string, closesConnection bool) bool {
	header := w.Header()
	for name, values := range forwarding.EndToEnd(a.Header) {
		header[name] = values
	}
	if a.Length >= 0 && method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	if closesConnection {
		header.Set("Connection", "close")
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if err == nil && a.Rest != nil {
		_, err = io.Copy(w, a.Rest)
		a.isRestRead = err == nil
	}
	return err == nil || method == http.MethodHead
}
