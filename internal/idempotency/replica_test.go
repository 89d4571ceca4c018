package idempotency

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func members(names ...string) []*schema.Member {
	var list []*schema.Member
	for i, name := range names {
		list = append(list, &schema.Member{Id: name, Address: name, Zone: fmt.Sprint(i % 2)})
	}
	return list
}

func sentBefore(c *schema.ReservationRequest, age time.Duration) *schema.ReservationRequest {
	c.AgeMs = uint64(age.Milliseconds())
	return c
}

func TestManyReservationsAreCopiedInPagesAndBounded(t *testing.T) {
	first := &schema.ReplicaSet{Region: "r", Number: 1, Members: members("a", "b", "c"), First: true}
	second := &schema.ReplicaSet{Region: "r", Number: 2, Members: members("a", "b", "d"), Former: first.Members, Fenced: true}
	source, other, fresh := NewReplica("a", false), NewReplica("b", false), NewReplica("d", false)
	for _, replica := range []*Replica{source, other, fresh} {
		replica.Adopt(0, first)
	}
	reservationOf := func(i int, owner string, set uint64) *schema.ReservationRequest {
		return &schema.ReservationRequest{Attempt: fmt.Sprintf("attempt-%06d", i), Digest: make([]byte, 16), Owner: owner,
			ReplicaSet: set, Region: "r"}
	}
	const rate = 300
	total := rate * int(constants.ReservationKept.Seconds())
	now := time.Duration(0)
	for i := range total {
		now = time.Duration(i) * time.Second / rate
		for _, replica := range []*Replica{source, other} {
			if state := replica.Reserve(now, reservationOf(i, "p/1", 1), true).State; state != schema.ReservationState_RESERVATION_TAKEN {
				t.Fatalf("reservation %d is %v", i, state)
			}
		}
	}
	for _, replica := range []*Replica{source, other, fresh} {
		replica.Adopt(now, second)
	}
	pages, largest := 0, 0
	for range 100 {
		for _, task := range fresh.DueCopies(now) {
			if from := map[string]*Replica{"a": source, "b": other}[task.Member.Id]; from != nil {
				response := from.AnswerCopy(now, task.Request)
				pages++
				largest = max(largest, proto.Size(response))
				fresh.TakeCopy(now, task.Member.Id, response)
			}
		}
	}
	if pages < 4 || largest > constants.FrameLimit/4 {
		t.Errorf("%d pages, the largest of %d bytes", pages, largest)
	}
	for i := range total {
		if state := fresh.Reserve(now, reservationOf(i, "p/2", 2), true).State; state != schema.ReservationState_RESERVATION_HELD {
			t.Fatalf("reservation %d is %v after the copy", i, state)
		}
	}
	for i := total; i < total+2*constants.MaxReservations; i++ {
		now += time.Second / 20000
		source.Reserve(now, reservationOf(i, "p/3", 2), true)
	}
	held := source.Status().Reservations
	if held > constants.MaxReservations {
		t.Errorf("%d reservations are remembered", held)
	}
	if state := source.Reserve(now, sentBefore(reservationOf(-1, "p/4", 2), constants.ReservationKept),
		true).State; state == schema.ReservationState_RESERVATION_TAKEN {
		t.Error("a replica that had to forget takes an id that it may have forgotten")
	}
}

func TestAFullReplicaEvictsOnceASecond(t *testing.T) {
	replica := NewReplica("a", false)
	replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 1, Members: members("a"), First: true})
	reservationOf := func(i int) *schema.ReservationRequest {
		return &schema.ReservationRequest{Attempt: fmt.Sprintf("attempt-%07d", i), Owner: "p/1", ReplicaSet: 1, Region: "r"}
	}
	for i := range 2 * constants.MaxReservations {
		replica.Reserve(0, reservationOf(i), true)
	}
	evictions := func() int {
		count := 0
		for i := range replica.shards {
			if replica.shards[i].evictedAt > 0 {
				count++
			}
		}
		return count
	}
	if state := replica.Reserve(time.Second/2, reservationOf(-1),
		true).State; state != schema.ReservationState_RESERVATION_UNAVAILABLE || evictions() != 0 {
		t.Errorf("half a second later it is %v after %d evictions", state, evictions())
	}
	if state := replica.Reserve(constants.MinReservationKept, reservationOf(-1),
		true).State; state != schema.ReservationState_RESERVATION_TAKEN || evictions() != 1 {
		t.Errorf("when the oldest may go it is %v after %d evictions", state, evictions())
	}
}

func TestReplica(t *testing.T) {
	first := &schema.ReplicaSet{Region: "r", Number: 1, Members: members("a", "b", "c"), First: true}
	second := &schema.ReplicaSet{Region: "r", Number: 2, Members: members("a", "b", "d"), Former: first.Members, Fenced: true}
	reservationOf := func(attempt, owner string, set uint64) *schema.ReservationRequest {
		return &schema.ReservationRequest{Attempt: attempt, Owner: owner, ReplicaSet: set, Region: "r"}
	}
	taken, held, unavailable, stale := schema.ReservationState_RESERVATION_TAKEN, schema.ReservationState_RESERVATION_HELD, schema.ReservationState_RESERVATION_UNAVAILABLE, schema.ReservationState_RESERVATION_STALE
	for _, c := range []struct {
		name        string
		id          string
		isRestart   bool
		prepare     func(*Replica)
		at          time.Duration
		reservation *schema.ReservationRequest
		isLapsed    bool
		want        schema.ReservationState
	}{
		{"a first set's replica is ready", "a", false, nil, 0, reservationOf("x", "p/1", 1), false, taken},
		{"one that is a restart is not", "a", true, nil, 0, reservationOf("x", "p/1", 1), false, unavailable},
		{"nor one without a live lease", "a", false, nil, 0, reservationOf("x", "p/1", 1), true, unavailable},
		{"nor one outside the set", "z", false, nil, 0, reservationOf("x", "p/1", 1), false, unavailable},
		{"another set's number is stale", "a", false, nil, 0, reservationOf("x", "p/1", 2), false, stale},
		{"a second owner is refused", "a", false, func(replica *Replica) { replica.Reserve(0, reservationOf("x", "p/1", 1), true) },
			time.Second, reservationOf("x", "p/2", 1), false, held},
		{"the same owner may ask again", "a", false,
			func(replica *Replica) { replica.Reserve(0, reservationOf("x", "p/1", 1), true) }, time.Second,
			reservationOf("x", "p/1", 1), false, taken},
		{"another can't end a reservation", "a", false, func(replica *Replica) {
			replica.Reserve(0, reservationOf("x", "p/1", 1), true)
			replica.Reserve(0, &schema.ReservationRequest{Attempt: "x", Owner: "p/2", ReplicaSet: 1, Region: "r", Ended: true}, true)
		}, time.Second, reservationOf("x", "p/3", 1), false, held},
		{"its owner can", "a", false, func(replica *Replica) {
			replica.Reserve(0, reservationOf("x", "p/1", 1), true)
			replica.Reserve(0, &schema.ReservationRequest{Attempt: "x", Owner: "p/1", ReplicaSet: 1, Region: "r", Ended: true}, true)
		}, time.Second, reservationOf("x", "p/3", 1), false, taken},
		{"also when its set has changed since", "a", false, func(replica *Replica) {
			replica.Reserve(0, reservationOf("x", "p/1", 1), true)
			replica.Adopt(0, second)
			replica.Reserve(0, &schema.ReservationRequest{Attempt: "x", Owner: "p/1", ReplicaSet: 1, Region: "r", Ended: true}, true)
			replica.TakeCopy(0, "b", &schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2})
		}, time.Second, reservationOf("x", "p/3", 2), false, taken},
		{"a late end of an earlier round ends nothing", "a", false, func(replica *Replica) {
			replica.Reserve(0, reservationOf("x", "p/1", 1), true)
			replica.Reserve(0, &schema.ReservationRequest{Attempt: "x", Owner: "p/1", ReplicaSet: 1, Region: "r", Round: 2}, true)
			replica.Reserve(0, &schema.ReservationRequest{Attempt: "x", Owner: "p/1", ReplicaSet: 1, Region: "r", Round: 1, Ended: true}, true)
		}, time.Second, reservationOf("x", "p/3", 1), false, held},
		{"after a change a replica refuses", "a", false, func(replica *Replica) { replica.Adopt(0, second) },
			constants.ReservationWindow * 3, reservationOf("x", "p/1", 2), false, unavailable},
		{"until all but one former member gave theirs", "a", false, func(replica *Replica) {
			replica.Adopt(0, second)
			replica.TakeCopy(0, "b",
				&schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2,
					Reservations: []*schema.Reservation{{Attempt: "x", Owner: "p/9", LeftMs: 5000}}})
		}, time.Second, reservationOf("x", "p/1", 2), false, held},
		{"or the fence is cleared and a window is over", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ReservationWindow, reservationOf("x", "p/1", 2), false, taken},
		{"but not before", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ReservationWindow - time.Millisecond, reservationOf("x", "p/1", 2), false, unavailable},
		{"an id is still reserved two minutes later", "a", false,
			func(replica *Replica) { replica.Reserve(0, reservationOf("x", "p/1", 1), true) }, 2 * time.Minute,
			reservationOf("x", "p/2", 1), false, held},
		{"also after its replicas have changed twice", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			for _, id := range []string{"a", "b"} {
				replica.TakeCopy(0, id,
					&schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2,
						Reservations: []*schema.Reservation{{Attempt: "x", Owner: "p/9", LeftMs: 140000}}})
			}
		}, 2 * time.Minute, reservationOf("x", "p/1", 2), false, held},
		{"one first sent before a replica's memory begins is refused", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ReservationWindow, sentBefore(reservationOf("x", "p/1", 2), constants.ReservationWindow+time.Millisecond), false, held},
		{"one first sent since is taken", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ReservationWindow, sentBefore(reservationOf("x", "p/1", 2), constants.ReservationWindow-time.Millisecond), false, taken},
		{"a copied memory reaches as far back as its sources'", "d", false, func(replica *Replica) {
			replica.Adopt(time.Minute, second)
			replica.TakeCopy(time.Minute, "a", &schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2, ReachMs: 5000})
			replica.TakeCopy(time.Minute, "b", &schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2})
		}, time.Minute, sentBefore(reservationOf("x", "p/1", 2), 6*time.Second), false, held},
		{"a replica refuses until the last page came", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			for _, id := range []string{"a", "b"} {
				replica.TakeCopy(0, id, &schema.ReservationCopyResponse{Ready: true, ReplicaSet: 2, Next: 7})
			}
		}, time.Second, reservationOf("x", "p/1", 2), false, unavailable},
		{"a replica that missed a set knows too little, though it is all that is left", "a", false, func(replica *Replica) {
			replica.Adopt(0, &schema.ReplicaSet{Region: "r", Number: 3, Members: members("a"), Former: members("a"), Fenced: true})
		}, time.Second, reservationOf("x", "p/1", 3), false, unavailable},
		{"a copy for another set counts for nothing", "d", false, func(replica *Replica) {
			replica.Adopt(0, second)
			for _, id := range []string{"a", "b", "c"} {
				replica.TakeCopy(0, id, &schema.ReservationCopyResponse{Ready: true, ReplicaSet: 1})
			}
		}, time.Second, reservationOf("x", "p/1", 2), false, unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			replica := NewReplica(c.id, c.isRestart)
			replica.Adopt(0, first)
			if c.prepare != nil {
				c.prepare(replica)
			}
			if got := replica.Reserve(c.at, c.reservation, !c.isLapsed).State; got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestMatchIsStableAndSpread(t *testing.T) {
	set := &schema.ReplicaSet{Members: members("a", "b", "c", "d", "e")}
	counts := map[string]int{}
	for i := range 3000 {
		attempt := fmt.Sprintf("attempt-%d", i)
		chosen := Match(set, attempt)
		again := Match(set, attempt)
		zones := map[string]bool{}
		for j, m := range chosen {
			counts[m.Id]++
			zones[m.Zone] = true
			if again[j].Id != m.Id {
				t.Fatalf("%s is matched differently the second time", attempt)
			}
		}
		if len(chosen) != constants.ReservationReplicas || len(zones) < 2 {
			t.Fatalf("%s has replicas %v in %d zones", attempt, chosen, len(zones))
		}
	}
	for id, count := range counts {
		if count < 1200 {
			t.Errorf("%s is a replica of only %d of 3000", id, count)
		}
	}
}
