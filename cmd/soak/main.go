// Command soak runs real gateways under faults drawn from a seed and checks what callers and targets observe.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	failureExitCode = 1
	usageExitCode   = 2
)

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "soak:", err)
	if errors.Is(err, errUsage) {
		os.Exit(usageExitCode)
	}
	os.Exit(failureExitCode)
}
