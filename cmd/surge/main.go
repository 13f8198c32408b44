// Command surge starts fleets of real processes on this machine, puts them under load and faults, and compares the
// measured fairness, overhead and recovery with their targets.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "surge:", err)
		os.Exit(1)
	}
}
