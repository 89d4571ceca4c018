package controlplane

import (
	"fmt"

	"topazshed/internal/raft"
	"topazshed/internal/store"
)

// Digest tells the state that this machine has applied and its index: equal indexes must mean equal states.
func (c *Machine) Digest() (index uint64, digest string) {
	return uint64(c.state.Version()), fmt.Sprintf("%x", c.state.Table().Digest(store.AllPrefixes[0]).Digest)
}

// IsFull tells whether this machine keeps the log.
func (c *Machine) IsFull() bool { return c.isFull() }

// Quorum is this machine's part in the agreement.
func (c *Machine) Raft() *raft.Node { return c.raft }

// Source is the machine that this one takes rows from, and FreshAt when a majority last confirmed its rows.
func (c *Machine) Source() string { return c.subscription.Source() }
