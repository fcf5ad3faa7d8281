// Package integration holds the tests that run separate processes.
package integration
