package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	// forgetFirst is the number of requests with the part that crashes servers which come first, at once; forgetTogether further ones
	// come after each forgetGap.
	forgetFirst    = 5
	forgetTogether = 2
	forgetGap      = 4 * time.Second
	// forgetKillAt is when all gateways are killed, forgetRest how long traffic goes on, and forgetDown how long they are down.
	forgetKillAt = 11*time.Second + 200*time.Millisecond
	forgetRest   = 4 * forgetGap
	forgetDown   = 500 * time.Millisecond
	// forgetBytes is how much of an answer a server has sent when it crashes: its head.
	forgetBytes = 100
)

// playForget kills all gateways at once when it is known which part crashes servers, and counts the requests with the part that reach
// servers from gateways that run again.
func playForget(ctx context.Context, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fleet, err := startFleet(ctx, []string{"a", "b", "c"}, streamTable())
	if fleet != nil {
		defer fleet.stop()
	}
	if err != nil {
		return false, err
	}
	play, err := newCrashPlay(ctx, fleet, forgetBytes)
	if err != nil {
		return false, err
	}
	traffic, stopTraffic := context.WithTimeout(ctx, forgetKillAt+forgetRest)
	defer stopTraffic()
	var group sync.WaitGroup
	for _, gateway := range fleet.gateways {
		for client := range crashClients {
			group.Go(func() { play.sound(traffic, gateway, client) })
		}
	}
	group.Go(func() { play.crashing(traffic, forgetFirst, forgetTogether, forgetGap) })
	time.Sleep(forgetKillAt)
	if trouble {
		if err := play.killAll(); err != nil {
			return false, err
		}
	}
	group.Wait()
	return play.judge(), nil
}

// killAll kills all gateways and starts them again.
func (play *crashPlay) killAll() error {
	play.fleet.record.line("platform: all gateways are killed")
	downFrom := time.Now()
	for _, gateway := range play.fleet.gateways {
		_ = gateway.command.Process.Signal(syscall.SIGKILL)
		<-gateway.exited
	}
	time.Sleep(forgetDown)
	for _, gateway := range play.fleet.gateways {
		if err := play.fleet.start(gateway); err != nil {
			return err
		}
	}
	play.mutex.Lock()
	defer play.mutex.Unlock()
	play.untouched = append(play.untouched, span{downFrom, time.Now().Add(contactTime)})
	return nil
}
