// Package testseeds says how many seeds the tests of random faults play, and plays them side by side.
package testseeds

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// variable names the environment variable that asks for more seeds, or fewer.
const variable = "TOPAZSHED_SEEDS"

// Count gives how many seeds a test plays: the fewest that CI plays at each run, or as many as TOPAZSHED_SEEDS says. It ends
// the test if that is no number.
func Count(t testing.TB, fewest int64) int64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return fewest
	}
	count, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s is %q; give a number", variable, text)
	}
	return count
}

// Each plays the seeds of a test from 0 on side by side, each in a subtest of its own.
func Each(t *testing.T, fewest int64, play func(t *testing.T, seed int64)) {
	t.Helper()
	for seed := range Count(t, fewest) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}
