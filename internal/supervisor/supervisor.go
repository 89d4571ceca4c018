// Package supervisor lets the services of one process find each other by name and ends them in order.
package supervisor

import (
	"errors"
	"fmt"
	"sync"
)

// Stack is a deferred clean-up stack: what was pushed last is run first, once.
type Stack struct {
	lock  sync.Mutex
	steps []step
}

type step struct {
	name  string
	clean func() error
}

// Push adds a clean-up step.
func (s *Stack) Push(name string, clean func() error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.steps = append(s.steps, step{name, clean})
}

// Close runs the steps in reverse order and joins their errors.
func (s *Stack) Close() error {
	s.lock.Lock()
	steps := s.steps
	s.steps = nil
	s.lock.Unlock()
	var faults []error
	for i := len(steps) - 1; i >= 0; i-- {
		if err := steps[i].clean(); err != nil {
			faults = append(faults, fmt.Errorf("clean up %s: %w", steps[i].name, err))
		}
	}
	return errors.Join(faults...)
}

// Supervisor is the table of a process's services.
type Supervisor struct {
	Stack
	lock     sync.RWMutex
	services map[string]any
}

// New makes an empty supervisor.
func New() *Supervisor { return &Supervisor{services: map[string]any{}} }

// MissingError says that a service was sought before it was registered.
type MissingError struct{ Name string }

func (e *MissingError) Error() string {
	return fmt.Sprintf("service %q is not registered; register it before its users start", e.Name)
}

// TakenError says that a name is in use or the service has another type.
type TakenError struct{ Name string }

func (e *TakenError) Error() string {
	return fmt.Sprintf("service %q is registered already or is of another type; give it a name of its own", e.Name)
}

// Register puts a service under a name.
func (k *Supervisor) Register(name string, service any) error {
	k.lock.Lock()
	defer k.lock.Unlock()
	if _, isTaken := k.services[name]; isTaken {
		return &TakenError{name}
	}
	k.services[name] = service
	return nil
}

// Find returns the service of that name and type.
func Find[T any](k *Supervisor, name string) (T, error) {
	k.lock.RLock()
	defer k.lock.RUnlock()
	var nothing T
	service, isThere := k.services[name]
	if !isThere {
		return nothing, &MissingError{name}
	}
	typed, isOfType := service.(T)
	if !isOfType {
		return nothing, &TakenError{name}
	}
	return typed, nil
}
