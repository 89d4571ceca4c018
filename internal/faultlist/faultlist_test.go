package faultlist

import "testing"

func TestFaultsKeepTheirOrder(t *testing.T) {
	var list List
	list.Add("routes[1].host", "%q is no host name; give one", "a b")
	list.Add("", "is empty; send it whole")
	want := []string{`routes[1].host: "a b" is no host name; give one`, ": is empty; send it whole"}
	if len(list) != len(want) {
		t.Fatalf("%d faults, want %d", len(list), len(want))
	}
	for i, fault := range list {
		if got := fault.Path + ": " + fault.Message; got != want[i] {
			t.Errorf("fault %d is %q, want %q", i, got, want[i])
		}
	}
}

func TestOfIsOneFault(t *testing.T) {
	list := Of("entries", "has %d entries; keep fewer", 9)
	if len(list) != 1 || list[0].Path != "entries" || list[0].Message != "has 9 entries; keep fewer" {
		t.Errorf("got %v", list)
	}
}
