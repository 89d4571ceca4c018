package journal

import (
	"bytes"
	"errors"
	"syscall"
	"testing"

	"topazshed/internal/constants"
)

type fullFile struct {
	text   []byte
	faults []error
	most   int
}

func (f *fullFile) WriteAt(p []byte, at int64) (int, error) {
	var err error
	if len(f.faults) > 0 {
		err, f.faults = f.faults[0], f.faults[1:]
	}
	n := len(p)
	if err != nil {
		n = min(n, f.most)
	}
	copy(f.text[at:], p[:n])
	return n, err
}

func TestAFullDiskIsWaitedOut(t *testing.T) {
	forever := int(constants.FullDiskMost/constants.FullDiskPause) + 2
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
		rests  int
	}{
		{"room at once", nil, 0, nil, 0},
		{"full three times, nothing written", full(3), 0, nil, 3},
		{"full twice, half written", full(2), 2, nil, 2},
		{"full for too long", full(forever), 0, syscall.ENOSPC, forever - 2},
		{"another fault", []error{syscall.EIO}, 0, syscall.EIO, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := &fullFile{text: make([]byte, 12), faults: c.faults, most: c.most}
			rests := 0
			n, err := writeThrough(file, []byte("whole"), 3, func() { rests++ })
			if !errors.Is(err, c.want) || rests != c.rests {
				t.Fatalf("fault %v after %d rests, want %v after %d", err, rests, c.want, c.rests)
			}
			if c.want == nil && (n != 5 || !bytes.Equal(file.text[3:8], []byte("whole"))) {
				t.Errorf("%d bytes, %q", n, file.text)
			}
		})
	}
}
