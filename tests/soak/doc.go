// Package soak runs the program's processes under faults drawn from a seed, that
// come in series and overlap, and checks what callers and executors see.
package soak
