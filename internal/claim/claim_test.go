package claim

import (
	"fmt"
	"testing"
	"time"

	"topazshed/internal/constants"
	"topazshed/internal/schema"
)

func members(names ...string) []*schema.Member {
	var list []*schema.Member
	for i, name := range names {
		list = append(list, &schema.Member{Id: name, Address: name, District: fmt.Sprint(i % 2)})
	}
	return list
}

func TestKeeper(t *testing.T) {
	first := &schema.Keepers{Region: "r", Number: 1, Members: members("a", "b", "c"), First: true}
	second := &schema.Keepers{Region: "r", Number: 2, Members: members("a", "b", "d"), Former: first.Members, Fenced: true}
	claimOf := func(attempt, holder string, keepers uint64) *schema.Claim {
		return &schema.Claim{Attempt: attempt, Holder: holder, Keepers: keepers, Region: "r"}
	}
	taken, held, silent, stale := schema.ClaimState_CLAIM_TAKEN, schema.ClaimState_CLAIM_HELD, schema.ClaimState_CLAIM_SILENT, schema.ClaimState_CLAIM_STALE
	for _, c := range []struct {
		name     string
		id       string
		hasLived bool
		prepare  func(*Keeper)
		at       time.Duration
		claim    *schema.Claim
		isLapsed bool
		want     schema.ClaimState
	}{
		{"a first set's keeper is ready", "a", false, nil, 0, claimOf("x", "p/1", 1), false, taken},
		{"one that has lived before is not", "a", true, nil, 0, claimOf("x", "p/1", 1), false, silent},
		{"nor one without a live grant", "a", false, nil, 0, claimOf("x", "p/1", 1), true, silent},
		{"nor one outside the set", "z", false, nil, 0, claimOf("x", "p/1", 1), false, silent},
		{"another set's number is stale", "a", false, nil, 0, claimOf("x", "p/1", 2), false, stale},
		{"a second holder is held off", "a", false, func(k *Keeper) { k.Take(0, claimOf("x", "p/1", 1), true) }, time.Second, claimOf("x", "p/2", 1), false, held},
		{"the same holder may ask again", "a", false, func(k *Keeper) { k.Take(0, claimOf("x", "p/1", 1), true) }, time.Second, claimOf("x", "p/1", 1), false, taken},
		{"a stranger can't end a claim", "a", false, func(k *Keeper) {
			k.Take(0, claimOf("x", "p/1", 1), true)
			k.Take(0, &schema.Claim{Attempt: "x", Holder: "p/2", Keepers: 1, Region: "r", Ended: true}, true)
		}, time.Second, claimOf("x", "p/3", 1), false, held},
		{"its holder can", "a", false, func(k *Keeper) {
			k.Take(0, claimOf("x", "p/1", 1), true)
			k.Take(0, &schema.Claim{Attempt: "x", Holder: "p/1", Keepers: 1, Region: "r", Ended: true}, true)
		}, time.Second, claimOf("x", "p/3", 1), false, taken},
		{"also when its set has changed since", "a", false, func(k *Keeper) {
			k.Take(0, claimOf("x", "p/1", 1), true)
			k.Adopt(0, second)
			k.Take(0, &schema.Claim{Attempt: "x", Holder: "p/1", Keepers: 1, Region: "r", Ended: true}, true)
			k.Copied(0, "b", &schema.ClaimCopyOutcome{Ready: true, Keepers: 2})
		}, time.Second, claimOf("x", "p/3", 2), false, taken},
		{"a late end of an earlier round ends nothing", "a", false, func(k *Keeper) {
			k.Take(0, claimOf("x", "p/1", 1), true)
			k.Take(0, &schema.Claim{Attempt: "x", Holder: "p/1", Keepers: 1, Region: "r", Round: 2}, true)
			k.Take(0, &schema.Claim{Attempt: "x", Holder: "p/1", Keepers: 1, Region: "r", Round: 1, Ended: true}, true)
		}, time.Second, claimOf("x", "p/3", 1), false, held},
		{"after a change a keeper is silent", "a", false, func(k *Keeper) { k.Adopt(0, second) }, constants.ClaimWindow * 3, claimOf("x", "p/1", 2), false, silent},
		{"until all but one former keeper gave theirs", "a", false, func(k *Keeper) {
			k.Adopt(0, second)
			k.Copied(0, "b", &schema.ClaimCopyOutcome{Ready: true, Keepers: 2, Claims: []*schema.HeldClaim{{Attempt: "x", Holder: "p/9", LeftMs: 5000}}})
		}, time.Second, claimOf("x", "p/1", 2), false, held},
		{"or the fence is cleared and a window is over", "d", false, func(k *Keeper) {
			k.Adopt(0, second)
			k.Adopt(0, &schema.Keepers{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ClaimWindow, claimOf("x", "p/1", 2), false, taken},
		{"but not before", "d", false, func(k *Keeper) {
			k.Adopt(0, second)
			k.Adopt(0, &schema.Keepers{Region: "r", Number: 2, Members: second.Members, Former: second.Former})
		}, constants.ClaimWindow - time.Millisecond, claimOf("x", "p/1", 2), false, silent},
		{"a copy for another set counts for nothing", "d", false, func(k *Keeper) {
			k.Adopt(0, second)
			for _, id := range []string{"a", "b", "c"} {
				k.Copied(0, id, &schema.ClaimCopyOutcome{Ready: true, Keepers: 1})
			}
		}, time.Second, claimOf("x", "p/1", 2), false, silent},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := NewKeeper(c.id, c.hasLived)
			k.Adopt(0, first)
			if c.prepare != nil {
				c.prepare(k)
			}
			if got := k.Take(c.at, c.claim, !c.isLapsed).State; got != c.want {
				t.Fatalf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestMatchIsStableAndSpread(t *testing.T) {
	set := &schema.Keepers{Members: members("a", "b", "c", "d", "e")}
	counts := map[string]int{}
	for i := range 3000 {
		attempt := fmt.Sprintf("attempt-%d", i)
		chosen := Match(set, attempt)
		again := Match(set, attempt)
		districts := map[string]bool{}
		for j, m := range chosen {
			counts[m.Id]++
			districts[m.District] = true
			if again[j].Id != m.Id {
				t.Fatalf("%s is matched differently the second time", attempt)
			}
		}
		if len(chosen) != constants.ClaimReplicas || len(districts) < 2 {
			t.Fatalf("%s has keepers %v in %d districts", attempt, chosen, len(districts))
		}
	}
	for id, count := range counts {
		if count < 1200 {
			t.Errorf("%s keeps only %d of 3000", id, count)
		}
	}
}
