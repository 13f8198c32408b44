// Command soak runs real daemons under faults that come from a seed, and checks what callers and targets see.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Codes with which the command ends.
const (
	brokenCode  = 1
	mistakeCode = 2
)

func main() {
	err := run(os.Args[1:], os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "soak:", err)
	if errors.Is(err, errMistake) {
		os.Exit(mistakeCode)
	}
	os.Exit(brokenCode)
}
