package store

import (
	"fmt"

	"topazshed/internal/raft"
)

// GuardError says that a record is void, because a row that it was planned from has changed since. Plan it again from the
// present rows.
type GuardError struct {
	Key string
	// Actual is the index of the row's last change, 0 where there is no such row; Expected is what the record was
	// planned from.
	Actual, Expected raft.Index
}

// Error says which row has changed.
func (e *GuardError) Error() string {
	return fmt.Sprintf("row %s stands at %d, not %d; read it again and repeat", e.Key, e.Actual, e.Expected)
}
