// Command bamboospread schedules latency-critical services and batch tasks
// that share the same VMs. See README.md for a first run.
package main

import (
	"os"

	"bamboospread/internal/cli/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
