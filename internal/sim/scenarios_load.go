package sim

import (
	"time"
)

func playCalm(f *Fleet) error {
	f.RunFor(10 * time.Second)
	return nil
}

func playLossy(f *Fleet) error {
	f.RunFor(15 * time.Second)
	return nil
}
