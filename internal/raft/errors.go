package raft

import "fmt"

// NotLeaderError says that this member does not lead, or is handing its leadership over, so that another member must
// be asked.
type NotLeaderError struct {
	// Leader is the id of the leader as far as this member knows it, or "".
	Leader string
}

// Error names the member to ask.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this node does not lead; ask %q or try again shortly", e.Leader)
}

// MembershipChangePendingError says that the newest membership change is not committed yet; only one may be under way
// at a time.
type MembershipChangePendingError struct{}

// Error says when to try again.
func (e *MembershipChangePendingError) Error() string {
	return "a change of members is not committed yet; try again after it"
}
