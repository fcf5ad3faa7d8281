package soak

import (
	"slices"
	"testing"
)

// A value of SOAK_SEEDS must be read completely or refused; otherwise a run could pass
// that skipped some of the given seeds.
func TestReadSeeds(t *testing.T) {
	tests := []struct {
		text string
		want []uint64 // nil: refused
	}{
		{"7", []uint64{7}},
		{"3..5", []uint64{3, 4, 5}},
		{"201,202,203", []uint64{201, 202, 203}},
		{"7, 9..10", []uint64{7, 9, 10}},
		{"", nil},
		{"7,", nil},
		{"7 9", nil},
		{"5..3", nil},
		{"1..", nil},
		{"1..x", nil},
		{"-1", nil},
		{"0..18446744073709551615", nil},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			got, err := readSeeds(tt.text)
			if (err == nil) != (tt.want != nil) || !slices.Equal(got, tt.want) {
				t.Errorf("read %v, %v; want %v", got, err, tt.want)
			}
		})
	}
}
