package protocolversion

import (
	"errors"
	"testing"
)

func TestSpansAreAnnouncedAndAgreedOn(t *testing.T) {
	for _, c := range []struct {
		name      string
		own       Span
		low, high uint32
		want      Version
		fault     any
	}{
		{"a peer that announces nothing speaks the first", Span{1, 2}, 0, 0, 1, nil},
		{"the highest common one", Span{1, 2}, 0, 2, 2, nil},
		{"a newer peer that still speaks ours", Span{1, 2}, 2, 5, 2, nil},
		{"an older peer", Span{2, 5}, 0, 3, 3, nil},
		{"spans that touch", Span{3, 5}, 0, 3, 3, nil},
		{"spans that don't meet, the peer newer", Span{1, 2}, 3, 5, 0, &DisjointError{}},
		{"spans that don't meet, the peer older", Span{3, 5}, 0, 2, 0, &DisjointError{}},
		{"a peer that announces nothing and is too old", Span{2, 3}, 0, 0, 0, &DisjointError{}},
		{"a span that ends before it begins", Span{1, 2}, 3, 2, 0, &ImpossibleError{}},
		{"a lower end alone", Span{1, 2}, 2, 0, 0, &ImpossibleError{}},
		{"a span out of any reach", Span{1, 2}, 1, uint32(Highest) + 1, 0, &ImpossibleError{}},
		{"a span up to the last number there is", Span{1, 2}, 1, 1<<32 - 1, 0, &ImpossibleError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer, err := ReadSpan(c.low, c.high)
			got := Version(0)
			if err == nil {
				got, err = Agree(c.own, peer)
				if back, other := Agree(peer, c.own); back != got || (other == nil) != (err == nil) {
					t.Errorf("the peer agrees on %d (%v), this end on %d (%v)", back, other, got, err)
				}
			}
			checkFault(t, err, c.fault)
			if got != c.want {
				t.Errorf("agreed on %d, want %d", got, c.want)
			}
		})
	}
}

func checkFault(t *testing.T, err error, want any) {
	t.Helper()
	var disjoint *DisjointError
	var impossible *ImpossibleError
	var fleet *FleetError
	var disk *DiskError
	isRight := false
	switch want.(type) {
	case nil:
		isRight = err == nil
	case *DisjointError:
		isRight = errors.As(err, &disjoint)
	case *ImpossibleError:
		isRight = errors.As(err, &impossible)
	case *FleetError:
		isRight = errors.As(err, &fleet)
	case *DiskError:
		isRight = errors.As(err, &disk)
	}
	if !isRight {
		t.Errorf("got %v (%T), want %T", err, err, want)
	}
	if err != nil && len(err.Error()) < 40 {
		t.Errorf("%q names no remedy", err)
	}
}

func TestWireLeavesOutTheFirst(t *testing.T) {
	for _, span := range []Span{{1, 1}, {1, 2}, {2, 2}, {3, 9}, {1, Highest}} {
		if back, err := ReadSpan(span.Wire()); err != nil || back != span {
			t.Errorf("%v was announced as %v, %v", span, back, err)
		}
	}
}

func TestNewerFleetsAndDisksAreRefused(t *testing.T) {
	for _, c := range []struct {
		name        string
		own         Span
		announced   uint32
		fleet, disk any
	}{
		{"none announced is the first", Span{1, 2}, 0, nil, nil},
		{"the same", Span{1, 2}, 2, nil, nil},
		{"newer", Span{1, 2}, 3, &FleetError{}, &DiskError{}},
		{"older than any that is spoken: a disk is still read", Span{2, 3}, 1, &FleetError{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkFault(t, CheckFleet(c.own, Version(c.announced)), c.fleet)
			checkFault(t, CheckDisk(c.own, "the snapshot", Version(c.announced)), c.disk)
		})
	}
}

func TestTheFleetRisesOnceAllCanRead(t *testing.T) {
	reader := func(id string, high Version) Reader { return Reader{ID: id, Span: Span{1, high}, IsHeard: true} }
	for _, c := range []struct {
		name     string
		inUse    Version
		own      Span
		readers  []Reader
		want     Version
		blockers []string
	}{
		{"nobody there", 1, Span{1, 2}, nil, 1, nil},
		{"all can read", 1, Span{1, 2}, []Reader{reader("a", 2), reader("b", 2)}, 2, nil},
		{"one can't", 1, Span{1, 2}, []Reader{reader("a", 2), reader("b", 1)}, 1, []string{"b"}},
		{"an older leader with newer voters rises only as far as it reads", 1, Span{1, 2}, []Reader{reader("a", 3), reader("b", 2)}, 2, nil},
		{"a newer leader with older voters", 1, Span{1, 3}, []Reader{reader("a", 3), reader("b", 2)}, 2, []string{"b"}},
		{"a voter that was not heard of", 1, Span{1, 2}, []Reader{reader("a", 2), {ID: "b", Span: Span{1, 2}, IsVoter: true}}, 1, []string{"b"}},
		{"one in use already", 2, Span{1, 2}, []Reader{reader("a", 2)}, 2, nil},
		{"it never falls", 2, Span{1, 2}, []Reader{reader("a", 2), reader("b", 1)}, 2, []string{"b"}},
		{"a node that speaks no older ones", 1, Span{1, 3}, []Reader{reader("a", 2), {ID: "b", Span: Span{3, 3}, IsHeard: true}}, 1,
			[]string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, blockers := Rise(c.inUse, c.own, c.readers)
			if got != c.want {
				t.Errorf("rises to %d, want %d", got, c.want)
			}
			if len(blockers) != len(c.blockers) {
				t.Fatalf("blockers %v, want %v", blockers, c.blockers)
			}
			for i, blocker := range blockers {
				if blocker.ID != c.blockers[i] || blocker.Reason == "" {
					t.Errorf("blocker %v, want %s", blocker, c.blockers[i])
				}
			}
		})
	}
}

func TestFeaturesBeginWithTheirVersion(t *testing.T) {
	for i, release := range Releases {
		if release.Version != Version(i)+First {
			t.Errorf("version %d stands at place %d", release.Version, i)
		}
		for _, feature := range release.Features {
			if Has(release.Version-1, feature) || !Has(release.Version, feature) || !Has(release.Version+1, feature) {
				t.Errorf("%q does not begin with version %d", feature, release.Version)
			}
		}
	}
	if Releases[len(Releases)-1].Version != Newest || Own != (Span{Releases[0].Version, Newest}) {
		t.Errorf("the list ends at %d, newest is %d, own %v", Releases[len(Releases)-1].Version, Newest, Own)
	}
}

func FuzzAgreement(f *testing.F) {
	f.Add(uint32(1), uint32(2), uint32(0), uint32(0))
	f.Add(uint32(1), uint32(2), uint32(3), uint32(2))
	f.Add(uint32(2), uint32(3), uint32(1), uint32(1<<31))
	f.Fuzz(func(t *testing.T, ownLow, ownHigh, low, high uint32) {
		own, err := ReadSpan(ownLow, ownHigh)
		if err != nil {
			return
		}
		peer, err := ReadSpan(low, high)
		if err != nil {
			return
		}
		agreed, err := Agree(own, peer)
		back, other := Agree(peer, own)
		if agreed != back || (err == nil) != (other == nil) {
			t.Fatalf("%v and %v agree on %d (%v) and on %d (%v)", own, peer, agreed, err, back, other)
		}
		if err == nil && (!own.Has(agreed) || !peer.Has(agreed) || own.Has(agreed+1) && peer.Has(agreed+1)) {
			t.Fatalf("%v and %v agreed on %d", own, peer, agreed)
		}
	})
}
