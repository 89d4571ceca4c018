package adminapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"topazshed/internal/constants"
	"topazshed/internal/documents"
	"topazshed/internal/routes"
	"topazshed/internal/schema"
)

const (
	versionHeader     = "Topazshed-Version"
	operatorKeyHeader = "Topazshed-Operator-Key"
	// operateSlack is how much longer than the leader this node waits, so that the leader's response arrives.
	operateSlack = time.Second
	// defaultReason is the reason of a change of a zone if the operator gives none.
	defaultReason = "operator"
	emptyEntries  = `{"entries":[]}`
	emptyRoutes   = `{"routes":[]}`
)

// operate passes a request to the leader. If it is refused or nothing is known of it, it answers the call itself and gives
// nil.
func (s *Server) operate(w http.ResponseWriter, r *http.Request, request *schema.OperatorRequest) *schema.OperatorResponse {
	ctx, cancel := context.WithTimeout(r.Context(), constants.ProposalWait+operateSlack)
	defer cancel()
	response, err := s.options.Operate(ctx, request)
	if err != nil {
		message := fmt.Sprintf("%v; the request may still take effect, read back before repeating", err)
		write(w, http.StatusGatewayTimeout, Reply{Kind: kindDoubtful, Message: message})
		return nil
	}
	if response.Refusal != schema.RefusalKind_REFUSAL_NONE {
		writeRefusal(w, response)
		return nil
	}
	return response
}

// putConfiguration replaces a configuration. 200 with the new version; 400 without a base or with a body that was cut
// short; 409 with the newest version if that is not the base; 413 if the body is too long; 422 with every fault.
func (s *Server) putConfiguration(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		write(w, http.StatusBadRequest,
			Reply{Kind: kindBadBase, Message: "name the version that the document was based on: ?base=N, 0 for the first"})
		return
	}
	release, err := s.options.Documents.Acquire(r.Context(), r.ContentLength)
	if err != nil {
		writeBusy(w, err)
		return
	}
	defer release()
	document, isComplete := s.readDocument(w, r)
	if !isComplete {
		return
	}
	request := &schema.OperatorRequest{
		Kind:     schema.OperatorKind_OPERATOR_PUT,
		Document: document,
		Base:     base,
		Key:      r.Header.Get(operatorKeyHeader),
	}
	if s.options.Routed != nil {
		config, faults := routes.Read(document, base)
		if len(faults) > 0 {
			const message = "the configuration is refused as a whole; nothing changed"
			writeRefusal(w, &schema.OperatorResponse{Refusal: schema.RefusalKind_REFUSAL_INVALID, Message: message, Faults: faults})
			return
		}
		request = &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: config}
	}
	if response := s.operate(w, r, request); response != nil {
		write(w, http.StatusOK, Reply{Version: response.Version, Index: response.Index, Unconfirmed: response.Unconfirmed})
	}
}

// busyRetryAfter (seconds) is what a caller is told to wait after a 503 of the budget of documents.
const busyRetryAfter = "1"

// writeBusy answers a call whose document has no room; nothing was done.
func writeBusy(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", busyRetryAfter)
	write(w, http.StatusServiceUnavailable, Reply{Kind: kindBusy, Message: err.Error()})
}

// readDocument reads the body of a put; if it can't be used, it answers the call and gives false.
func (s *Server) readDocument(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	limit := int64(constants.DocumentLimit)
	if s.options.Routed != nil {
		limit = constants.RoutesDocumentLimit
	}
	lift := documents.BoundRead(w)
	document, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	lift()
	switch {
	case err != nil:
		write(w, http.StatusBadRequest, Reply{Kind: kindCutShort, Message: "the document ended early; send it whole"})
		return nil, false
	case int64(len(document)) > limit:
		message := fmt.Sprintf("the document is above %d bytes; send less", limit)
		write(w, http.StatusRequestEntityTooLarge, Reply{Kind: kindOversize, Message: message})
		return nil, false
	}
	return document, true
}

// showConfiguration gives the newest configuration as it was put, or an empty one under version 0.
func (s *Server) showConfiguration(w http.ResponseWriter, r *http.Request) {
	release, err := s.options.Documents.AcquireShown(r.Context())
	if err != nil {
		writeBusy(w, err)
		return
	}
	defer release()
	response := s.operate(w, r, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_SHOW})
	if response == nil {
		return
	}
	s.options.Documents.NoteShown(len(response.Document))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(versionHeader, strconv.FormatUint(response.Version, 10))
	if response.Version != 0 {
		w.Write(response.Document)
		return
	}
	if s.options.Routed != nil {
		io.WriteString(w, emptyRoutes)
		return
	}
	io.WriteString(w, emptyEntries)
}

// askOutcome tells as which version the put with an operator key was taken; 404 if none was.
func (s *Server) askOutcome(w http.ResponseWriter, r *http.Request) {
	if s.options.Routed != nil {
		const message = "this fleet keeps no operator keys; put the same document on the same base again: it is taken once"
		write(w, http.StatusNotFound, Reply{Kind: kindUnknown, Message: message})
		return
	}
	request := &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_ASK, Key: r.URL.Query().Get("key")}
	if response := s.operate(w, r, request); response != nil {
		write(w, http.StatusOK, Reply{Version: response.Version, Index: response.Index})
	}
}

// changeZone empties or restores a zone; 404 if there is none of that name.
func (s *Server) changeZone(kind schema.OperatorKind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := &schema.OperatorRequest{Kind: kind, Zone: chi.URLParam(r, "district"), Reason: r.URL.Query().Get("reason")}
		if request.Reason == "" {
			request.Reason = defaultReason
		}
		if response := s.operate(w, r, request); response != nil {
			write(w, http.StatusOK, Reply{Index: response.Index, Unconfirmed: response.Unconfirmed})
		}
	}
}

// UnreachableLeaderError says that the leader's part of a response is missing.
type UnreachableLeaderError struct {
	// Message says why, with what to do.
	Message string
	// Cause is the error of the call; nil if a node answered that no leader is known.
	Cause error
}

func (e *UnreachableLeaderError) Error() string { return e.Message }

// Unwrap gives the error of the call.
func (e *UnreachableLeaderError) Unwrap() error { return e.Cause }

// askLeader gives what the leader knows of each node, and the newest changes of failover assignments. The error is an
// *UnreachableLeaderError.
func (s *Server) askLeader(ctx context.Context) (*schema.OperatorResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, constants.ConfirmWait)
	defer cancel()
	response, err := s.options.Operate(ctx, &schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_STATUS})
	switch {
	case err != nil:
		message := fmt.Sprintf("the leader did not answer in time (%v); run doctor if it lasts", err)
		return nil, &UnreachableLeaderError{Message: message, Cause: err}
	case response == nil:
		return &schema.OperatorResponse{}, nil
	case response.Refusal != schema.RefusalKind_REFUSAL_NONE:
		return nil, &UnreachableLeaderError{Message: response.Message}
	}
	return response, nil
}
