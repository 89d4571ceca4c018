package controlplane

import (
	"time"

	"topazshed/internal/constants"
)

// leaderHint is where this node believes the leader to be. Requests are forwarded there; nothing that must hold rests on it.
type leaderHint struct {
	// address is "" while no leader is known. seenAt is when the leader was last heard of.
	address string
	seenAt  time.Duration
}

// observe takes the word of the leader itself, or of a node that heard from it at an instant.
func (h *leaderHint) observe(address string, at time.Duration) {
	h.address, h.seenAt = address, at
}

// adopt takes the word of a node that does not say when it heard from the leader, if none is known.
func (h *leaderHint) adopt(address string) {
	if h.address == "" {
		h.address = address
	}
}

// adoptIfOld takes such a word also in place of a leader that was not heard of lately.
func (h *leaderHint) adoptIfOld(now time.Duration, address string) {
	if address != "" && !h.isRecent(now) {
		h.address = address
		return
	}
	h.adopt(address)
}

// isRecent tells whether the leader was heard of lately.
func (h *leaderHint) isRecent(now time.Duration) bool {
	return now-h.seenAt <= constants.NodeLostAfter
}
