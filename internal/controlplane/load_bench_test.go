package controlplane

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
	"topazshed/internal/store"
)

// loaded is the leader of three machines with a disk whose fleet has so many back ends, a third of them of a service that is divided by key.
func loaded(b *testing.B, backends int) (*fleet, *Machine) {
	b.Helper()
	f := newFleetOf(b)
	leader := f.machines[f.leader()]
	request := configOf(1, 0, "copper")
	request.Routes.Services = append(request.Routes.Services, &schema.ServicePolicy{Service: "nickel", Keyed: true})
	request.Routes.Routes = append(request.Routes.Routes, &schema.Route{Name: "n", Host: "h", Prefix: "/n/", TimeoutMs: 1000, Targets: []*schema.Target{{Service: "nickel", Weight: 1}}})
	f.operate(f.leader(), request)
	f.run(time.Second)
	var entries []discovery.Listed
	for i := range backends {
		service := []string{"copper", "nickel", "copper"}[i%3]
		entries = append(entries, discovery.Listed{Service: service, Instance: fmt.Sprint("i-", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: "z", Slots: 6})
	}
	leader.SetListing(f.now, discovery.Listing{BegunAt: f.now, IsComplete: true, Items: entries})
	f.run(5 * time.Second)
	if known := len(leader.state.View().Services["nickel"].Backends); known < backends/3 || len(leader.state.Table().Rows([]string{store.ServicePrefix("nickel") + "span/"})) == 0 {
		b.Fatalf("%d back ends known", known)
	}
	return f, leader
}

// BenchmarkLeaderTick is what the leader's tick costs by the size of its fleet.
func BenchmarkLeaderTick(b *testing.B) {
	for _, backends := range []int{40, 400, 1000, 3000} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			f, leader := loaded(b, backends)
			for b.Loop() {
				leader.duties.PlanNow()
				f.run(20 * time.Millisecond)
				if !leader.IsLeading() {
					b.Fatal("it leads no more")
				}
			}
		})
	}
}
