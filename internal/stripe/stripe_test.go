package stripe

import (
	"fmt"
	"hash/fnv"
	"testing"
)

func TestOfIsTheFNVHashOfTheName(t *testing.T) {
	for _, name := range []string{"", "a", "copper", "i-0123456789abcdef", "\x00\xff"} {
		hash := fnv.New32a()
		hash.Write([]byte(name))
		if got, want := Of(name), int(hash.Sum32()%Count); got != want {
			t.Errorf("Of(%q) is %d, want %d", name, got, want)
		}
	}
}

func TestOfUsesEveryStripe(t *testing.T) {
	seen := map[int]bool{}
	for i := range 1000 {
		seen[Of(fmt.Sprint("instance-", i))] = true
	}
	if len(seen) != Count {
		t.Errorf("1000 names use %d of %d stripes", len(seen), Count)
	}
}
