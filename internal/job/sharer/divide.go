package sharer

import (
	"cmp"
	"slices"
)

// Claim is what an account wants of a room, in the same unit.
type Claim struct {
	Name   string
	Weight float64
	Wants  float64
}

// Divide divides a room by weighted max-min fairness: no account gets more than it wants, what one
// does not want goes to the others in the ratio of their weights, and nothing is left while one
// wants more.
func Divide(room float64, claims []Claim) map[string]float64 {
	shares := make(map[string]float64, len(claims))
	open := slices.Clone(claims)
	// The accounts that want least for their weight are satisfied first.
	slices.SortFunc(open, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Wants/a.Weight, b.Wants/b.Weight), cmp.Compare(a.Name, b.Name))
	})
	weight := 0.0
	for _, c := range open {
		weight += c.Weight
	}
	for _, c := range open {
		share := min(c.Wants, room*c.Weight/weight)
		shares[c.Name] += share
		room, weight = max(room-share, 0), weight-c.Weight
	}
	return shares
}
