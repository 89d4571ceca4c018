package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"topazshed/internal/constants"
)

// Folder is a Disk in one data folder.
type Folder struct {
	Path  string
	files []*os.File
}

type fileArea struct {
	*os.File
	size int64
}

func (a fileArea) Size() int64 { return a.size }

// WriteAt waits out a full disk for a while: what was not written may be written again, and this task has no other work.
func (a fileArea) WriteAt(p []byte, at int64) (int, error) {
	return writeThrough(a.File, p, at, func() { time.Sleep(constants.FullDiskPause) })
}

func writeThrough(file interface {
	WriteAt(p []byte, at int64) (int, error)
}, p []byte, at int64, rest func()) (int, error) {
	done := 0
	for waited := time.Duration(0); ; waited += constants.FullDiskPause {
		n, err := file.WriteAt(p[done:], at+int64(done))
		done += n
		isFull := errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
		if err == nil || !isFull || waited >= constants.FullDiskMost {
			return done, err
		}
		rest()
	}
}

// OpenFolder makes the folder and locks it against a second process.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, fmt.Errorf("make data folder: %w; check its parent's rights", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, fmt.Errorf("open data folder's lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("data folder %s is in use by another process; stop it or name another folder", path), lock.Close())
	}
	return &Folder{Path: path, files: []*os.File{lock}}, nil
}

// Area opens or preallocates one file.
func (f *Folder) Area(name string, size int64) (Area, error) {
	path := filepath.Join(f.Path, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	f.files = append(f.files, file)
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() < size {
		if err := syscall.Fallocate(int(file.Fd()), 0, 0, size); err != nil {
			return nil, fmt.Errorf("preallocate %d bytes for %s: %w; make room on the disk", size, path, err)
		}
		if err := file.Sync(); err != nil {
			return nil, fmt.Errorf("sync %s: %w", path, err)
		}
		folder, err := os.Open(f.Path)
		if err != nil {
			return nil, err
		}
		if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
			return nil, fmt.Errorf("sync folder %s: %w", f.Path, err)
		}
	}
	return fileArea{file, size}, nil
}

// Wipe empties the folder so that the machine rejoins as a new member.
func (f *Folder) Wipe() error {
	var faults []error
	names, err := filepath.Glob(filepath.Join(f.Path, "*-[0-9]"))
	if err != nil {
		return err
	}
	for _, name := range names {
		faults = append(faults, os.Remove(name))
	}
	return errors.Join(faults...)
}

// Close lets the folder go.
func (f *Folder) Close() error {
	var faults []error
	for i := len(f.files) - 1; i >= 0; i-- {
		faults = append(faults, f.files[i].Close())
	}
	return errors.Join(faults...)
}
