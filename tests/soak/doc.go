// Package soak runs the program's processes under overlapping and repeated faults
// that are drawn from a seed, and checks what callers and executors observe.
package soak
