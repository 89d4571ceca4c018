package sharding

import (
	"slices"
	"testing"

	"topazshed/internal/constants"
)

func TestWithoutCutsARangeOutOfAnother(t *testing.T) {
	whole := keyRange{10, 19}
	for _, c := range []struct {
		name  string
		other keyRange
		want  []keyRange
	}{
		{"below", keyRange{0, 9}, []keyRange{whole}},
		{"above", keyRange{20, constants.LastKey}, []keyRange{whole}},
		{"the same", whole, nil},
		{"around it", keyRange{0, constants.LastKey}, nil},
		{"the first key", keyRange{10, 10}, []keyRange{{11, 19}}},
		{"the last key", keyRange{19, 30}, []keyRange{{10, 18}}},
		{"the middle", keyRange{12, 15}, []keyRange{{10, 11}, {16, 19}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := whole.without(c.other)
			if !slices.Equal(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			if isApart := slices.Equal(got, []keyRange{whole}); isApart == whole.overlaps(c.other) {
				t.Errorf("%v and %v overlap: %v", whole, c.other, !isApart)
			}
		})
	}
}

func TestSplitKeepsEveryKeyOnce(t *testing.T) {
	whole := keyRange{10, 19}
	for _, c := range []struct {
		name string
		part keyRange
		want []piece
	}{
		{"all of it", whole, []piece{{whole, "b"}}},
		{"the beginning", keyRange{10, 12}, []piece{{keyRange{10, 12}, "b"}, {keyRange{13, 19}, ""}}},
		{"the end", keyRange{13, 19}, []piece{{keyRange{10, 12}, ""}, {keyRange{13, 19}, "b"}}},
		{"the middle", keyRange{13, 13}, []piece{{keyRange{10, 12}, ""}, {keyRange{13, 13}, "b"}, {keyRange{14, 19}, ""}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := split(whole, c.part, "b")
			if !slices.Equal(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			width := uint32(0)
			for _, piece := range got {
				width += piece.width()
			}
			if width != whole.width() {
				t.Errorf("%d keys, want %d", width, whole.width())
			}
		})
	}
}
