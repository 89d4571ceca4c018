package main

import (
	"context"
	"math/rand/v2"
	"time"
)

// coldFor is cold-start-s of the small sites.
const coldFor = 3 * time.Second

// playCold: a backend becomes cold again, one at a time, each time the one that gets most requests.
func playCold(f *fleet, hasTrouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	k := class{name: "gate-window-read", host: "jepu9.example", prefix: "/gate/", method: "GET", deadline: 2 * time.Second, perSecond: 473}
	work := skewed(75 * time.Millisecond)
	for i := range 13 {
		if _, err := f.addBackend("gatewin", zones[i%len(zones)], false, work); err != nil {
			return err
		}
	}
	text := config(map[string]bool{"gatewin": false}, []class{k}, map[string]string{k.name: "gatewin"})
	if err := begin(ctx, f, 2, text, []class{k}, func() int { return rand.IntN(keys) }); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	for range 8 {
		if f.isBroken() {
			break
		}
		if hasTrouble {
			f.turnCold(f.busiest("gatewin"))
		}
		time.Sleep(8 * time.Second)
	}
	return nil
}

// busiest is the backend with most arrivals in the last second.
func (f *fleet) busiest(service string) *backend {
	var best *backend
	most := -1
	for _, b := range f.backends(service) {
		b.lock.Lock()
		count := 0
		for _, a := range b.arrivals {
			if time.Since(a.at) < time.Second {
				count++
			}
		}
		b.lock.Unlock()
		if count > most {
			best, most = b, count
		}
	}
	return best
}

func (f *fleet) turnCold(b *backend) {
	now := time.Now()
	b.lock.Lock()
	b.coldFrom, b.coldUntil = now, now.Add(coldFor)
	inSecond := len(b.arrivals)
	b.lock.Unlock()
	f.lock.Lock()
	line := f.lineOf(b)
	line.cold = append(line.cold, [2]time.Time{now, now.Add(coldFor)})
	f.lock.Unlock()
	f.note("backend %s turns cold for %v; it got %d requests in the second before", b.id, coldFor, inSecond)
}
