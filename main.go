// Command bamboospread schedules latency-critical services and batch tasks
// that share the same VMs. README.md describes the first steps.
package main

import (
	"os"

	"bamboospread/internal/cli/commander"
)

func main() {
	os.Exit(commander.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
