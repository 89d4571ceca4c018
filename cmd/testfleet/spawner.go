package main

import (
	"os/exec"
	"runtime"
	"sync"
)

// spawner starts processes from the one thread that lives as long as this program: Pdeathsig kills a process when the thread that started
// it ends. The zero value is ready; any goroutine may use it.
type spawner struct {
	once   sync.Once
	spawns chan func()
}

func (s *spawner) start(command *exec.Cmd) error {
	s.once.Do(func() {
		s.spawns = make(chan func())
		go func() {
			runtime.LockOSThread()
			for spawn := range s.spawns {
				spawn()
			}
		}()
	})
	result := make(chan error)
	s.spawns <- func() { result <- command.Start() }
	return <-result
}
