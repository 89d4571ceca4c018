package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"topazshed/internal/constants"
)

const (
	folderMode = 0o750
	fileMode   = 0o640
	lockName   = "lock"
	// areaPattern matches the names of areas, and nothing else in a data folder.
	areaPattern = "*-[0-9]"
)

// Folder is a Disk whose areas are files of one folder. It is locked against other processes while it is open.
type Folder struct {
	// Path is the folder's path.
	Path string
	// files are the lock and the open areas.
	files []*os.File
}

// OpenFolder makes the folder where it doesn't exist, and locks it. It fails where another process has it open.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make data folder: %w; check its parent's rights", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open data folder's lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		inUse := fmt.Errorf("data folder %s is in use by another process; stop it or name another folder", path)
		return nil, errors.Join(inUse, lock.Close())
	}
	return &Folder{Path: path, files: []*os.File{lock}}, nil
}

// Area opens a file, and preallocates it where it is shorter than size bytes.
func (f *Folder) Area(name string, size int64) (Area, error) {
	path := filepath.Join(f.Path, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	f.files = append(f.files, file)
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if info.Size() < size {
		if err := f.preallocate(file, path, size); err != nil {
			return nil, err
		}
	}
	return fileArea{file, size}, nil
}

// preallocate makes room for a file, so that writing to it later can't fail for want of space, and syncs its entry in the
// folder.
func (f *Folder) preallocate(file *os.File, path string, size int64) error {
	if err := syscall.Fallocate(int(file.Fd()), 0, 0, size); err != nil {
		return fmt.Errorf("preallocate %d bytes for %s: %w; make room on the disk", size, path, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	return f.syncFolder()
}

// syncFolder returns after the names of the folder's files are on disk.
func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	if err := errors.Join(folder.Sync(), folder.Close()); err != nil {
		return fmt.Errorf("sync folder %s: %w", f.Path, err)
	}
	return nil
}

// Wipe removes all areas, so that the machine rejoins as a new member. Areas that are open must not be used any more.
func (f *Folder) Wipe() error {
	if err := f.forgetInitialCluster(); err != nil {
		return err
	}
	paths, err := filepath.Glob(filepath.Join(f.Path, areaPattern))
	if err != nil {
		return err
	}
	var faults []error
	for _, path := range paths {
		faults = append(faults, os.Remove(path))
	}
	return errors.Join(faults...)
}

// Close closes all areas and releases the lock.
func (f *Folder) Close() error {
	var faults []error
	for i := len(f.files) - 1; i >= 0; i-- {
		faults = append(faults, f.files[i].Close())
	}
	return errors.Join(faults...)
}

// fileArea is an area in a file.
type fileArea struct {
	*os.File
	size int64
}

// Size returns the size that the area was opened with, in bytes.
func (a fileArea) Size() int64 { return a.size }

// WriteAt retries while the disk is full, for up to constants.MaxFullDisk.
func (a fileArea) WriteAt(p []byte, offset int64) (int, error) {
	return writeWhileFull(a.File, p, offset, func() { time.Sleep(constants.FullDiskPause) })
}

// writeWhileFull writes and, while the disk is full, pauses and writes what is left. Writing the same bytes again is
// harmless, and the caller has nothing else to do before they are written.
func writeWhileFull(file io.WriterAt, p []byte, offset int64, pause func()) (int, error) {
	written := 0
	for waited := time.Duration(0); ; waited += constants.FullDiskPause {
		n, err := file.WriteAt(p[written:], offset+int64(written))
		written += n
		if !isDiskFull(err) || waited >= constants.MaxFullDisk {
			return written, err
		}
		pause()
	}
}

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
