package adminapi

import (
	"net/http"

	"topazshed/internal/schema"
)

// Kinds of refusals; they are part of the API.
const (
	kindInvalid  = "invalid"
	kindConflict = "conflict"
	kindUnknown  = "unknown"
	kindNoLeader = "no_leader"
	kindDoubtful = "doubtful"
	kindOversize = "oversize"
	kindBusy     = "busy"
	kindBadBase  = "bad-base"
	kindCutShort = "cut-short"
	kindNotReady = "not-ready"
	kindNoPlace  = "no-standing"
)

// Fault is one thing wrong with what an operator sent.
type Fault struct {
	// Path is where in the document it is.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Reply is the response to a change, and to every call that was refused.
type Reply struct {
	// Version is the configuration's: the new one, or after a lost race the newest.
	Version uint64 `json:"version"`
	// Index is where in the log the change is.
	Index uint64 `json:"index,omitempty"`
	// Kind says why the call was refused; it is empty if it was not.
	Kind string `json:"kind,omitempty"`
	// Message says the same for people, with what to do.
	Message string `json:"message,omitempty"`
	// Faults are all that is wrong with a document.
	Faults []Fault `json:"faults,omitempty"`
	// Unconfirmed are the zones whose proxies have not all reported that they have the change.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
}

var statuses = map[schema.RefusalKind]int{
	schema.RefusalKind_REFUSAL_NONE:      http.StatusOK,
	schema.RefusalKind_REFUSAL_INVALID:   http.StatusUnprocessableEntity,
	schema.RefusalKind_REFUSAL_CONFLICT:  http.StatusConflict,
	schema.RefusalKind_REFUSAL_UNKNOWN:   http.StatusNotFound,
	schema.RefusalKind_REFUSAL_NO_LEADER: http.StatusServiceUnavailable,
	schema.RefusalKind_REFUSAL_AMBIGUOUS: http.StatusGatewayTimeout,
	schema.RefusalKind_REFUSAL_OVERSIZE:  http.StatusRequestEntityTooLarge,
}

var kinds = map[schema.RefusalKind]string{
	schema.RefusalKind_REFUSAL_INVALID:   kindInvalid,
	schema.RefusalKind_REFUSAL_CONFLICT:  kindConflict,
	schema.RefusalKind_REFUSAL_UNKNOWN:   kindUnknown,
	schema.RefusalKind_REFUSAL_NO_LEADER: kindNoLeader,
	schema.RefusalKind_REFUSAL_AMBIGUOUS: kindDoubtful,
	schema.RefusalKind_REFUSAL_OVERSIZE:  kindOversize,
}

// writeRefusal answers a call that the leader refused.
func writeRefusal(w http.ResponseWriter, response *schema.OperatorResponse) {
	reply := Reply{Version: response.Version, Message: response.Message, Kind: kinds[response.Refusal]}
	for _, fault := range response.Faults {
		reply.Faults = append(reply.Faults, Fault{fault.Path, fault.Message})
	}
	write(w, statuses[response.Refusal], reply)
}
