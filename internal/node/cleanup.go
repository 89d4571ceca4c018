package node

import (
	"errors"
	"fmt"
	"sync"
)

// cleanupStack holds what must be undone when the process ends. The zero value is ready to use; any goroutine may use it.
type cleanupStack struct {
	lock  sync.Mutex
	steps []cleanupStep
}

type cleanupStep struct {
	name string
	run  func() error
}

// push adds a step, which runs before all steps that were pushed earlier.
func (s *cleanupStack) push(name string, run func() error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.steps = append(s.steps, cleanupStep{name, run})
}

// close runs every step once, the last pushed first, and joins their errors. Later calls find nothing to do.
func (s *cleanupStack) close() error {
	s.lock.Lock()
	steps := s.steps
	s.steps = nil
	s.lock.Unlock()
	var failures []error
	for i := len(steps) - 1; i >= 0; i-- {
		if err := steps[i].run(); err != nil {
			failures = append(failures, fmt.Errorf("clean up %s: %w", steps[i].name, err))
		}
	}
	return errors.Join(failures...)
}
