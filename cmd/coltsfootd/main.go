// Command coltsfootd is the daemon of the fleet; all instances run the same program.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "coltsfootd:", err)
		os.Exit(1)
	}
}
