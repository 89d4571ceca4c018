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
	lock *os.File
	// areas are the open areas by name.
	areas map[string]*os.File
}

// OpenFolder makes the folder where it doesn't exist, and locks it. It fails with an InUseError where another process has it open.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make data folder: %w; check its parent's rights", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open data folder's lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(&InUseError{path}, lock.Close())
	}
	return &Folder{Path: path, lock: lock, areas: map[string]*os.File{}}, nil
}

// Area opens a file, unless it is open already, and preallocates it where it is shorter than size bytes.
func (f *Folder) Area(name string, size int64) (Area, error) {
	path := filepath.Join(f.Path, name)
	file := f.areas[name]
	if file == nil {
		var err error
		if file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode); err != nil {
			return nil, fmt.Errorf("open %s: %w", path, err)
		}
		f.areas[name] = file
	}
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
	allocate := func() error { return syscall.Fallocate(int(file.Fd()), 0, 0, size) }
	if err := reserve(file, size, allocate); err != nil {
		return fmt.Errorf("preallocate %d bytes for %s: %w; make room on the disk", size, path, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", path, err)
	}
	return f.syncFolder()
}

// zeroChunkBytes are written at once where a file system can't allocate.
const zeroChunkBytes = 1 << 20

// reserve allocates a file's bytes, and tries again after a signal has interrupted that. On a file system that can't allocate it writes
// zeros behind what the file holds.
func reserve(file *os.File, size int64, allocate func() error) error {
	for {
		switch err := allocate(); {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EOPNOTSUPP), errors.Is(err, syscall.ENOSYS):
			return writeZeros(file, size)
		default:
			return err
		}
	}
}

// writeZeros writes zeros from a file's end up to a size.
func writeZeros(file *os.File, size int64) error {
	info, err := file.Stat()
	if err != nil {
		return err
	}
	zeros := make([]byte, zeroChunkBytes)
	for offset := info.Size(); offset < size; {
		written, err := file.WriteAt(zeros[:min(size-offset, zeroChunkBytes)], offset)
		offset += int64(written)
		if err != nil {
			return err
		}
	}
	return nil
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
	if err := errors.Join(f.closeAreas(), f.forgetInitialCluster()); err != nil {
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
	return errors.Join(f.closeAreas(), f.lock.Close())
}

func (f *Folder) closeAreas() error {
	var faults []error
	for name, file := range f.areas {
		faults = append(faults, file.Close())
		delete(f.areas, name)
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
		if !IsDiskFull(err) || waited >= constants.MaxFullDisk {
			return written, err
		}
		pause()
	}
}

// IsDiskFull tells whether an error says that there is no room on the disk.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
