// Package capacity measures the slopes from which docs/CAPACITY.md works out the
// load of each role at the target size, on real processes. Run it with
// go test -run '^$' -bench . -benchtime 1x ./tests/capacity.
package capacity
