package proxy

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func TestRepeatsFitEveryWindow(t *testing.T) {
	type attempt struct {
		at      time.Duration
		isFirst bool
	}
	for _, c := range []struct {
		name    string
		of, gap int
		first   func(second float64) float64
		fails   func(second float64) bool
	}{
		{"a surge of first attempts, then repeats with few first attempts", 4, 1, func(s float64) float64 { return 1 + 49*math.Max(0, 1-s/5) }, func(s float64) bool { return s > 4 }},
		{"the first attempts of two proxies end", 4, 3, func(float64) float64 { return 30 }, func(s float64) bool { return s > 8 }},
		{"waves", 4, 1, func(s float64) float64 { return 25 + 24*math.Sin(s*2) }, func(s float64) bool { return math.Cos(s) > 0 }},
		{"more proxies than the allowance has attempts", 15, 1, func(s float64) float64 { return 25 + 24*math.Sin(s/2) }, func(s float64) bool { return math.Cos(s) > 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewSource(1))
			var attempts []attempt
			proxies := make([]*Loads, c.of)
			for i := range proxies {
				proxies[i] = NewLoads(func() time.Duration { return noon })
			}
			repeats := 0
			for now := noon; now < noon+40*time.Second; now += 10 * time.Millisecond {
				second := (now - noon).Seconds()
				for rank, l := range proxies {
					if rank%c.gap != 0 && second > 10 || random.Float64()*100 > c.first(second) {
						continue
					}
					l.First(now, "s")
					attempts = append(attempts, attempt{now, true})
					if c.fails(second) && l.MayRepeat(now, "s", Part{rank, c.of}) {
						attempts = append(attempts, attempt{now, false})
						repeats++
					}
				}
			}
			for i, last := range attempts {
				over := 0
				for j := i; j >= 0 && last.at-attempts[j].at <= constants.RepeatWindow; j-- {
					if over += 100; attempts[j].isFirst {
						over -= 100 + constants.RepeatShare
					}
				}
				if over > constants.RepeatAllowance*100 {
					t.Fatalf("in the window before %v are %d hundredths of a repeat above a fifth of the first attempts", last.at-noon, over)
				}
			}
			if repeats < constants.RepeatAllowance {
				t.Errorf("only %d repeats in all", repeats)
			}
		})
	}
}

func TestSteadyFirstAttemptsPayForAFifthOfRepeats(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	firsts, repeats := 0, 0
	for now := noon; now < noon+60*time.Second; now += 20 * time.Millisecond {
		l.First(now, "s")
		if firsts++; l.MayRepeat(now, "s", Part{0, 4}) {
			repeats++
		}
	}
	if repeats < firsts*(constants.RepeatShare-1)/100 {
		t.Errorf("%d repeats beside %d first attempts", repeats, firsts)
	}
}

func TestBudgets(t *testing.T) {
	l := NewLoads(func() time.Duration { return noon })
	for i := range 100 {
		l.First(noon+time.Duration(i)*time.Millisecond, "s")
	}
	repeats := 0
	for l.MayRepeat(noon+time.Second, "s", Part{0, 5}) {
		repeats++
	}
	if repeats != constants.RepeatAllowance/5 {
		t.Errorf("%d repeats at once after 100 first attempts", repeats)
	}
	for range 10 {
		l.First(noon, "edge")
	}
	if l.MayRepeat(noon+constants.RepeatWindow-constants.RepeatMargin/2, "edge", Part{15, 20}) {
		t.Error("a repeat is paid for by first attempts that leave the window before it arrives")
	}
	if l.MayRepeat(noon+constants.RepeatWindow+2*time.Second, "s", Part{0, 5}) != true || l.MayRepeat(noon+constants.RepeatWindow+time.Second, "nobody", Part{0, 5}) {
		t.Error("the window does not slide, or a service without attempts may repeat")
	}
	for _, of := range []int{1, 3, 7, 15} {
		together := 0
		for rank := range of {
			quiet := NewLoads(func() time.Duration { return noon })
			for quiet.First(noon, "quiet"); quiet.MayRepeat(noon, "quiet", Part{rank, of}); {
				together++
			}
		}
		if together != constants.RepeatAllowance {
			t.Errorf("%d proxies with one first attempt each have %d repeats together, want the whole allowance of %d", of, together, constants.RepeatAllowance)
		}
	}
	cold := &schema.Backend{Instance: "c", Cold: true}
	begun := 0
	proxies := [4]*Loads{}
	for i := range proxies {
		proxies[i] = NewLoads(func() time.Duration { return noon })
	}
	for i := range 1000 {
		for rank := range 4 {
			if proxies[rank].MayBegin(noon+time.Duration(i)*time.Millisecond, cold, at(rank, 4), 6) {
				begun++
			}
		}
	}
	if begun != 6 {
		t.Errorf("a cold back end that works on six at once got %d attempts from four proxies in its first second", begun)
	}
}
