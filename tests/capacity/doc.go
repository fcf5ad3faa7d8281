// Package capacity measures on real processes how the load of each role grows with
// the size of the fleet. docs/CAPACITY.md extrapolates the load at the target size
// from these slopes. Run it with
// go test -run '^$' -bench . -benchtime 1x ./tests/capacity.
package capacity
