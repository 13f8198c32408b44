// Command ground plays the scripted cases of the second review: it starts gateways as the deploy file does, with stand-ins
// of the store, the servers and the clients, and checks one rule for each case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is how long a case may take; the programs that it started end with it.
const longest = 110 * time.Second

var cases = map[string]func(*ground) (bool, error){
	"rollout":   playRollout,
	"crash":     playCrash,
	"entry":     playEntry,
	"poison":    playPoison,
	"successor": playSuccessor,
}

func main() {
	if len(os.Args) == 2 && cases[os.Args[1]] != nil {
		os.Exit(play(cases[os.Args[1]]))
	}
	if len(os.Args) == 4 && os.Args[1] == "serve-unframed" {
		fmt.Fprintln(os.Stderr, serveUnframed(os.Args[2], os.Args[3]))
		os.Exit(couldNot)
	}
	fmt.Fprintln(os.Stderr, "usage: ground CASE, in the folder of the case")
	os.Exit(couldNot)
}

// play plays a case and returns its exit code.
func play(test func(*ground) (bool, error)) int {
	current, err := newGround()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer current.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		current.end()
		os.Exit(couldNot)
	}()
	time.AfterFunc(longest, func() {
		current.end()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(couldNot)
	})
	kept, err := test(current)
	switch {
	case err != nil:
		current.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	case kept:
		current.note("held")
		return held
	default:
		current.note("broken")
		return broken
	}
}
