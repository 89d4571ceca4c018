package journal

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against a machine that does not start because a signal interrupts its allocation, or its file system has none (FAULT, issue 42).
func TestAreasAreReservedOnAnyFileSystem(t *testing.T) {
	const size = zeroChunkBytes + 3
	for _, c := range []struct {
		name    string
		answers []error
		want    error
		isGrown bool
	}{
		{"it allocates", []error{nil}, nil, false},
		{"a signal interrupts it", []error{syscall.EINTR, syscall.EINTR, nil}, nil, false},
		{"it can't allocate", []error{syscall.EOPNOTSUPP}, nil, true},
		{"the system has no such call", []error{syscall.EINTR, syscall.ENOSYS}, nil, true},
		{"the disk is full", []error{syscall.ENOSPC}, syscall.ENOSPC, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "area-0")
			if err := os.WriteFile(path, []byte("kept"), fileMode); err != nil {
				t.Fatal(err)
			}
			file, err := os.OpenFile(path, os.O_RDWR, fileMode)
			if err != nil {
				t.Fatal(err)
			}
			defer file.Close()
			calls := 0
			err = reserve(file, size, func() error {
				calls++
				return c.answers[calls-1]
			})
			if !errors.Is(err, c.want) || calls != len(c.answers) {
				t.Errorf("%v after %d calls", err, calls)
			}
			text, err := os.ReadFile(path)
			if err != nil || !bytes.HasPrefix(text, []byte("kept")) || (len(text) == size) != c.isGrown {
				t.Errorf("%d bytes, %v", len(text), err)
			}
		})
	}
}
