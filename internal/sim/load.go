package sim

import (
	"fmt"
	"net/http"
	"time"

	"topazshed/internal/checker"
)

// Load sends requests at a rate for a while; one unsafe caller in seven is impatient and sends its attempt id twice at once.
func (f *Fleet) Load(name string, perSecond int, span time.Duration) {
	total := int(span.Seconds() * float64(perSecond))
	for i := range total {
		f.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			a := CallerRequest{Attempt: fmt.Sprintf("%s-%06d", name, i), Method: http.MethodGet, Region: fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)), Wait: 5 * time.Second}
			switch f.random.Intn(5) {
			case 4:
				a.Method, a.Service, a.Path = http.MethodPost, "service3", "/book"
				a.Key = fmt.Sprintf("key-%d", f.random.Intn(40))
				if f.hotKey && f.random.Intn(10) < 6 {
					a.Key = "key-hot"
				}
			case 0:
				a.Method, a.Service, a.Path = http.MethodPost, "service1", "/pay"
				if i%9 == 0 {
					a.IsSentTwice = true
					late := a
					late.Age = time.Duration(8+f.random.Intn(24)) * time.Second
					f.after(late.Age, func() {
						f.send(late, 92, func(r *checker.Reply) {
							if r != nil {
								f.Counts["late repeat "+r.Result]++
							}
						})
					})
				}
				if i%7 == 0 {
					twin := a
					a.IsSentTwice = true
					twin.Region, twin.Wait = fmt.Sprintf("r%d", f.random.Intn(f.Options.Regions)), 4*time.Second
					f.after(time.Duration(f.random.Intn(400))*time.Millisecond, func() {
						f.send(twin, 91, func(r *checker.Reply) {
							if r != nil {
								f.Counts["impatient "+r.Result]++
							}
						})
					})
				}
			case 1:
				a.Service, a.Path = "service2", "/home/1"
			default:
				a.Service, a.Path = "service0", "/read/1"
			}
			f.Attempt(a)
		})
	}
}
