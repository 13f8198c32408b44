// Command play-3 plays the cases of the third review against real gateways: it is the platform's store, the clients and the
// servers, and starts the gateways as processes of their own.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a play.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notPlayed  = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "play-3: name a play, or server")
		os.Exit(notPlayed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if os.Args[1] == serverPlay {
		if err := runServer(ctx, os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "play-3 server:", err)
			os.Exit(notPlayed)
		}
		return
	}
	play, known := plays[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "play-3: unknown play", os.Args[1])
		os.Exit(notPlayed)
	}
	// An interrupted play ends at once, with all that it has started.
	ended := context.AfterFunc(ctx, func() {
		stopFleets()
		os.Exit(notPlayed)
	})
	broken, err := play(ctx, os.Getenv("TROUBLE") != "0")
	ended()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "play-3:", err)
		os.Exit(notPlayed)
	case broken:
		os.Exit(ruleBroken)
	}
}

// plays are the plays by name. Each reports whether the rule was broken.
var plays = map[string]func(ctx context.Context, trouble bool) (bool, error){
	"leave":  playLeave,
	"stale":  playStale,
	"split":  playSplit,
	"crash":  playCrash,
	"forget": playForget,
}
