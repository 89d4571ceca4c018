package sim

import (
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
)

// The mix of the load.
const (
	// callerWait is how long a caller waits in all, twinWait the second caller of an attempt id.
	callerWait = 5 * time.Second
	twinWait   = 4 * time.Second
	// lateOneIn and twinOneIn tell which payments are sent again late, and twice at once.
	lateOneIn = 9
	twinOneIn = 7
	// A late repeat comes after minLate to minLate+lateSpread seconds, a twin within twinSpread milliseconds.
	minLate, lateSpread = 8, 24
	twinSpread          = 400
	// lateSerial and twinSerial number those sendings.
	lateSerial = 92
	twinSerial = 91
	// keyCount is the number of keys; hotShare of ten keyed requests are for hotKeyName while a key is hot.
	keyCount   = 40
	hotShare   = 6
	hotKeyName = "key-hot"
)

// Load sends requests at a rate for a span. One payment in seven is sent twice at once under one attempt id, one in nine
// again much later.
func (f *Fleet) Load(name string, perSecond int, span time.Duration) {
	total := int(span.Seconds() * float64(perSecond))
	for i := range total {
		delay := time.Duration(i) * time.Second / time.Duration(perSecond)
		f.after(delay, func() { f.Attempt(f.drawRequest(name, i)) })
	}
}

// drawRequest draws one request of the mix and schedules its repeats.
func (f *Fleet) drawRequest(name string, number int) CallerRequest {
	request := CallerRequest{
		Attempt: fmt.Sprintf("%s-%06d", name, number),
		Method:  http.MethodGet,
		Region:  f.drawRegion(),
		Wait:    callerWait,
	}
	switch f.random.Intn(5) {
	case 4:
		request.Method, request.Service, request.Path = http.MethodPost, "service3", "/book"
		request.Key = f.drawKey()
	case 0:
		request.Method, request.Service, request.Path = http.MethodPost, "service1", "/pay"
		f.scheduleRepeats(&request, number)
	case 1:
		request.Service, request.Path = "service2", "/home/1"
	default:
		request.Service, request.Path = "service0", "/read/1"
	}
	return request
}

func (f *Fleet) drawRegion() string { return fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)) }

func (f *Fleet) drawKey() string {
	key := fmt.Sprintf("key-%d", f.random.Intn(keyCount))
	if f.hotKey && f.random.Intn(10) < hotShare {
		key = hotKeyName
	}
	return key
}

// scheduleRepeats has some payments sent again under the same attempt id.
func (f *Fleet) scheduleRepeats(request *CallerRequest, number int) {
	if number%lateOneIn == 0 {
		request.IsSentTwice = true
		late := *request
		late.Age = time.Duration(minLate+f.random.Intn(lateSpread)) * time.Second
		f.after(late.Age, func() { f.send(late, lateSerial, f.countResult("late repeat ")) })
	}
	if number%twinOneIn == 0 {
		twin := *request
		request.IsSentTwice = true
		twin.Region, twin.Wait = f.drawRegion(), twinWait
		delay := time.Duration(f.random.Intn(twinSpread)) * time.Millisecond
		f.after(delay, func() { f.send(twin, twinSerial, f.countResult("impatient ")) })
	}
}

// countResult gives a function that counts replies by result.
func (f *Fleet) countResult(prefix string) func(*checker.Reply) {
	return func(reply *checker.Reply) {
		if reply != nil {
			f.Counts[prefix+reply.Result]++
		}
	}
}
