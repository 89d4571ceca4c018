// Package budget bounds the repeats of requests by their first attempts in every sliding window, for each of many nodes by itself.
//
// It is pure and holds no lock: packages gateway and proxy keep Buckets in their striped tables and call them under the lock of a stripe,
// from the goroutines of requests. How large the share of a node is, and how much a first attempt gives, is theirs to say, since their
// deployments count it differently.
package budget

import "time"

// Whole is the cost of one repeat; gains and shares are counted in its parts.
const Whole = 1000

// peak is the level before a repeat, and when that was.
type peak struct {
	at    time.Duration
	level int
}

// Bucket is a token bucket: a repeat takes a token, a first attempt gives a part of one back, and the level stays within a share of its
// highest in the window. First attempts before a repeat leave the window before it does, so they do not pay for it. What each of many
// buckets keeps, their sum keeps too.
type Bucket struct {
	level int
	// peaks fall in level and rise in time.
	peaks []peak
}

// Buckets are the buckets of services by name.
type Buckets map[string]*Bucket

// Of is the bucket of a service, a new one if there is none.
func (b Buckets) Of(service string) *Bucket {
	bucket := b[service]
	if bucket == nil {
		bucket = &Bucket{}
		b[service] = bucket
	}
	return bucket
}

// addPeak notes the present level; lower peaks before it no longer matter.
func (b *Bucket) addPeak(at time.Duration) {
	for len(b.peaks) > 0 && b.peaks[len(b.peaks)-1].level <= b.level {
		b.peaks = b.peaks[:len(b.peaks)-1]
	}
	b.peaks = append(b.peaks, peak{at, b.level})
}

// Gain counts a first attempt. margin is how long after a repeat it may still count as before it, since attempts arrive later than they
// are counted.
func (b *Bucket) Gain(now time.Duration, gain int, margin time.Duration) {
	b.level += gain
	if i := len(b.peaks) - 1; i >= 0 && now-b.peaks[i].at < margin && b.peaks[i].level < b.level {
		b.addPeak(b.peaks[i].at)
	}
}

// Earned is what all first attempts gave less what all repeats took.
func (b *Bucket) Earned() int { return b.level }

// Take counts a repeat, and tells true, if the level then stays within the share below the highest of the window.
func (b *Bucket) Take(now time.Duration, share int, window time.Duration) bool {
	for len(b.peaks) > 0 && now-b.peaks[0].at >= window {
		b.peaks = b.peaks[1:]
	}
	highest := b.level
	if len(b.peaks) > 0 {
		highest = max(highest, b.peaks[0].level)
	}
	if highest-b.level+Whole > share {
		return false
	}
	b.addPeak(now)
	b.level -= Whole
	return true
}
