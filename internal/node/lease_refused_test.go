package node_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"topazshed/internal/discovery"
	"topazshed/internal/schema"
	"topazshed/internal/settings"
	"topazshed/internal/sharding"
)

// grantedLease is a lease that a back end has taken.
type grantedLease struct {
	call sharding.Call
	at   time.Time
}

// refusingBackends take lease calls, but the connections to one of them are refused from some instant on, though it lives.
type refusingBackends struct {
	*platformSide
	lock     sync.Mutex
	refusing string
	granted  []grantedLease
}

func (b *refusingBackends) lease(ctx context.Context, call sharding.Call) (sharding.Answer, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if call.Instance == b.refusing {
		return sharding.Answer{ID: call.ID, Result: sharding.Failed}, fmt.Errorf("dial %s: %w", call.Address, syscall.ECONNREFUSED)
	}
	answer, err := b.platformSide.lease(ctx, call)
	if call.Kind == sharding.GrantLease && answer.Result == sharding.Done {
		b.granted = append(b.granted, grantedLease{call, time.Now()})
	}
	return answer, err
}

// owns tells whether the newest lease on each key that was ever leased is a back end's.
func (b *refusingBackends) owns(instance string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	newest := map[sharding.Key]string{}
	for _, lease := range b.granted {
		for key := lease.call.First; key <= lease.call.Last; key++ {
			newest[key] = lease.call.Instance
		}
	}
	for _, owner := range newest {
		if owner != instance {
			return false
		}
	}
	return len(newest) > 0
}

// overlap gives two leases of different back ends that shared a key at one time, if there are any.
func (b *refusingBackends) overlap() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	for i, later := range b.granted {
		for _, earlier := range b.granted[:i] {
			sharesKeys := earlier.call.First <= later.call.Last && later.call.First <= earlier.call.Last
			isOther := earlier.call.Service == later.call.Service && earlier.call.Instance != later.call.Instance
			if left := earlier.at.Add(earlier.call.LeaseDuration).Sub(later.at); isOther && sharesKeys && left > 0 {
				return fmt.Sprintf("%s got keys %d to %d while %s had a lease on %d to %d for %v more", later.call.Instance,
					later.call.First, later.call.Last, earlier.call.Instance, earlier.call.First, earlier.call.Last, left)
			}
		}
	}
	return ""
}

// Guards against two owners of a key (OWNER): a network cut that refuses connections was taken as the owner's end.
func TestAnOwnerWhoseConnectionsAreRefusedKeepsItsLease(t *testing.T) {
	owners := map[string]*ownerStandIn{"n-1": newOwner(t, "n-1", true), "n-2": newOwner(t, "n-2", true)}
	b := &refusingBackends{platformSide: &platformSide{owners: owners, items: []discovery.Listed{
		{Service: "nickel", Instance: "n-1", Address: owners["n-1"].address(), Zone: "mu-a", Slots: 6},
		{Service: "nickel", Instance: "n-2", Address: owners["n-2"].address(), Zone: "mu-b", Slots: 6}}}}
	s := &settings.Settings{Peer: free(t, "127.0.78.1"), Proxy: free(t, "127.0.78.1"), Admin: "127.0.78.1:1", Zone: "mu-a", Region: "mu",
		DiskBytes: 16 << 20, Data: t.TempDir()}
	s.PeerShown, s.ProxyShown, s.AdminShown = s.Peer, s.Proxy, s.Admin
	s.Seeds = []string{s.Peer}
	m := b.startWith(t, s, b.lease)
	t.Cleanup(func() { m.finish(t) })
	config := &schema.RouteConfig{Version: 1, Document: []byte("{}"), Services: []*schema.ServicePolicy{{Service: "nickel", ColdRate: 17, Keyed: true}},
		Routes: []*schema.Route{{Name: "r", Host: "one.example", Prefix: "/n/", TimeoutMs: 5000, TargetMs: 500, MaxAttempts: 2,
			Targets: []*schema.Target{{Service: "nickel", Weight: 1}}}}}
	until(t, "the configuration is taken", func() bool {
		return m.outside != nil && m.operate(&schema.OperatorRequest{Kind: schema.OperatorKind_OPERATOR_PUT_ROUTES, Routes: config}).Refusal == schema.RefusalKind_REFUSAL_NONE
	})
	until(t, "both back ends have leases", func() bool { return b.hasLeases("n-1") && b.hasLeases("n-2") })
	b.lock.Lock()
	b.refusing = "n-1"
	b.lock.Unlock()
	until(t, "the other owns all keys", func() bool { return b.owns("n-2") })
	if overlap := b.overlap(); overlap != "" {
		t.Fatal(overlap)
	}
}

func (b *refusingBackends) hasLeases(instance string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, lease := range b.granted {
		if lease.call.Instance == instance {
			return true
		}
	}
	return false
}
