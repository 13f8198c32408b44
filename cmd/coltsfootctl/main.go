// Command coltsfootctl is the operators' client: it sends statements to an instance and prints the answers.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "coltsfootctl:", err)
		os.Exit(1)
	}
}
