package main

import (
	"context"
	"fmt"
	"time"

	"coltsfootlink/mailbox"
	"coltsfootlink/rig"
)

// keeperInterval is the time between two looks whether an instance still runs.
const keeperInterval = 50 * time.Millisecond

// keeper starts, stops and signals the process of one instance.
type keeper struct {
	index   int
	gateway *rig.Gateway
	note    func(any)
	inbox   *mailbox.Mailbox[phase]

	// ending is the fault for which the process was ended; nil while it has to run.
	ending *step
	// killAt is when a process that had to stop is killed; zero if none has to.
	killAt time.Time
	// wanted says that an ended process has to start again.
	wanted bool
}

// phase is the begin or the end of a fault.
type phase struct {
	step  step
	begin bool
}

// Run keeps the process until the context ends.
func (keeper *keeper) Run(ctx context.Context) error {
	ticks := time.NewTicker(keeperInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			keeper.look()
		case <-keeper.inbox.Ready():
			for _, message := range keeper.inbox.Drain() {
				keeper.handle(message)
			}
		}
	}
}

// handle acts on a fault; signals to a process that has ended fail and change nothing.
func (keeper *keeper) handle(message phase) {
	switch message.step.Kind {
	case killedKind, stoppedKind:
		keeper.end(message)
		return
	case frozenKind:
		if message.begin {
			_ = keeper.gateway.Suspend()
		} else {
			_ = keeper.gateway.Resume()
		}
	case hungUpKind:
		if message.begin {
			_ = keeper.gateway.Hangup()
		}
	}
	keeper.tell(message)
}

// end ends the process, or says that it has to start again.
func (keeper *keeper) end(message phase) {
	if !message.begin {
		keeper.wanted = true
		keeper.look()
		return
	}
	keeper.tell(message)
	keeper.ending = &message.step
	if message.step.Kind == killedKind {
		_ = keeper.gateway.Kill()
		return
	}
	_ = keeper.gateway.Terminate()
	keeper.killAt = time.Now().Add(stopLimit)
}

// look notes a process that has ended by itself, kills one that does not stop, and starts one that has to run.
func (keeper *keeper) look() {
	running := keeper.gateway.Running()
	switch {
	case keeper.ending == nil && !running:
		keeper.note(ownEnding{fmt.Sprintf("%s ended by itself", keeper.gateway.Name)})
		_ = keeper.gateway.Start()
	case keeper.ending != nil && running && !keeper.killAt.IsZero() && time.Now().After(keeper.killAt):
		_ = keeper.gateway.Kill()
	case keeper.ending != nil && !running && keeper.wanted:
		if err := keeper.gateway.Start(); err == nil {
			keeper.tell(phase{step: *keeper.ending})
			keeper.ending, keeper.wanted, keeper.killAt = nil, false, time.Time{}
		}
	}
}

func (keeper *keeper) tell(message phase) { keeper.note(message.disruption(time.Now())) }

// disruption is the fault as it is noted.
func (message phase) disruption(now time.Time) disruption {
	if message.begin {
		return disruption{step: message.step, from: now}
	}
	return disruption{step: message.step, from: now, to: now}
}

// ownEnding says that an instance has ended by itself.
type ownEnding struct{ text string }
