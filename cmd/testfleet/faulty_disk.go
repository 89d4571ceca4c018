package main

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"time"

	"topazshed/internal/journal"
)

// faultyFolder is a journal folder whose files fail as a file of faults says at the moment.
type faultyFolder struct {
	*journal.Folder
	faults string
}

// faultyArea is one file of a faultyFolder.
type faultyArea struct {
	journal.Area
	folder *faultyFolder
}

// fault gives the present fault of a write or sync; a sync that is slow by fault sleeps here.
func (f *faultyFolder) fault(isSync bool) error {
	text, err := os.ReadFile(f.faults)
	if err != nil {
		return nil
	}
	switch word := strings.TrimSpace(string(text)); word {
	case "fail":
		return errors.New("input/output error")
	case "full":
		if !isSync {
			return syscall.ENOSPC
		}
	default:
		if pause, err := time.ParseDuration(word); err == nil && isSync {
			time.Sleep(pause)
		}
	}
	return nil
}

func (f *faultyFolder) Area(name string, size int64) (journal.Area, error) {
	if err := f.fault(false); err != nil {
		return nil, err
	}
	area, err := f.Folder.Area(name, size)
	return faultyArea{area, f}, err
}

func (a faultyArea) WriteAt(p []byte, at int64) (int, error) {
	if err := a.folder.fault(false); err != nil {
		return 0, err
	}
	return a.Area.WriteAt(p, at)
}

func (a faultyArea) Sync() error {
	if err := a.folder.fault(true); err != nil {
		return err
	}
	return a.Area.Sync()
}
