package testseeds

import (
	"slices"
	"sync"
	"testing"
)

func TestEachPlaysEverySeedOnce(t *testing.T) {
	for _, c := range []struct {
		name, asked string
		want        []int64
	}{
		{"the fewest", "", []int64{0, 1, 2}},
		{"as many as are asked for", "5", []int64{0, 1, 2, 3, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(variable, c.asked)
			var lock sync.Mutex
			var played []int64
			t.Run("seeds", func(t *testing.T) {
				for seed := range Count(t, 3) {
					t.Run("", func(*testing.T) {
						lock.Lock()
						defer lock.Unlock()
						played = append(played, seed)
					})
				}
			})
			if !slices.Equal(played, c.want) {
				t.Errorf("played %v, want %v", played, c.want)
			}
		})
	}
}

func TestEachPlaysSideBySide(t *testing.T) {
	var lock sync.Mutex
	played := map[int64]int{}
	t.Run("seeds", func(t *testing.T) {
		Each(t, 4, func(_ *testing.T, seed int64) {
			lock.Lock()
			defer lock.Unlock()
			played[seed]++
		})
	})
	for seed := range Count(t, 4) {
		if played[seed] != 1 {
			t.Errorf("seed %d was played %d times", seed, played[seed])
		}
	}
}
