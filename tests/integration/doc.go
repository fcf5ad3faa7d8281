// Package integration contains the tests that run the program as separate processes.
package integration
