package journal

import (
	"bytes"
	"errors"
	"syscall"
	"testing"

	"topazshed/internal/constants"
)

// fileWithFaults fails its first writes, of each of which at most so many bytes are written.
type fileWithFaults struct {
	data   []byte
	faults []error
	most   int
}

func (f *fileWithFaults) WriteAt(p []byte, at int64) (int, error) {
	var err error
	if len(f.faults) > 0 {
		err, f.faults = f.faults[0], f.faults[1:]
	}
	n := len(p)
	if err != nil {
		n = min(n, f.most)
	}
	copy(f.data[at:], p[:n])
	return n, err
}

func TestWritesRetryWhileTheDiskIsFull(t *testing.T) {
	forever := int(constants.MaxFullDisk/constants.FullDiskPause) + 2
	full := func(count int) []error {
		faults := make([]error, count)
		for i := range faults {
			faults[i] = syscall.ENOSPC
		}
		return faults
	}
	for _, c := range []struct {
		name   string
		faults []error
		most   int
		want   error
		pauses int
	}{
		{"space at once", nil, 0, nil, 0},
		{"full three times, nothing written", full(3), 0, nil, 3},
		{"full twice, half written", full(2), 2, nil, 2},
		{"full for too long", full(forever), 0, syscall.ENOSPC, forever - 2},
		{"another fault", []error{syscall.EIO}, 0, syscall.EIO, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := &fileWithFaults{data: make([]byte, 12), faults: c.faults, most: c.most}
			pauses := 0
			n, err := writeWhileFull(file, []byte("whole"), 3, func() { pauses++ })
			if !errors.Is(err, c.want) || pauses != c.pauses {
				t.Fatalf("fault %v after %d pauses, want %v after %d", err, pauses, c.want, c.pauses)
			}
			if c.want == nil && (n != 5 || !bytes.Equal(file.data[3:8], []byte("whole"))) {
				t.Errorf("%d bytes, %q", n, file.data)
			}
		})
	}
}
