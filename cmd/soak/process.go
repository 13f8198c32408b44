package main

import (
	"context"
	"fmt"
	"time"

	"coltsfootlink/mailbox"
	"coltsfootlink/rig"
)

// pollInterval is the time between two checks whether the process runs.
const pollInterval = 50 * time.Millisecond

// process supervises the operating system process of one instance: it starts, signals and stops it.
type process struct {
	index   int
	gateway *rig.Gateway
	record  func(any)
	inbox   *mailbox.Mailbox[transition]

	// stopFault is the fault that killed or stopped the process; nil while it has to run.
	stopFault *step
	// killAt is the deadline of a graceful shutdown, after which the process is killed; zero if there is none.
	killAt time.Time
	// startPending indicates that the fault is over and the process has to start again once it has exited.
	startPending bool
}

// transition is the beginning or the end of a fault.
type transition struct {
	step  step
	begin bool
}

// Run supervises the process until the context ends.
func (process *process) Run(ctx context.Context) error {
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
			process.poll()
		case <-process.inbox.Ready():
			for _, transition := range process.inbox.Drain() {
				process.handle(transition)
			}
		}
	}
}

// handle applies a fault to the process. Signals to a process that has exited fail, which has no consequence.
func (process *process) handle(transition transition) {
	switch transition.step.Kind {
	case killedKind, stoppedKind:
		process.terminate(transition)
		return
	case frozenKind:
		if transition.begin {
			_ = process.gateway.Suspend()
		} else {
			_ = process.gateway.Resume()
		}
	case hungUpKind:
		if transition.begin {
			_ = process.gateway.Hangup()
		}
	}
	process.report(transition)
}

// terminate kills or gracefully stops the process when a fault begins, and has it start again when the fault ends.
func (process *process) terminate(transition transition) {
	if !transition.begin {
		process.startPending = true
		process.poll()
		return
	}
	process.report(transition)
	process.stopFault = &transition.step
	if transition.step.Kind == killedKind {
		_ = process.gateway.Kill()
		return
	}
	_ = process.gateway.Terminate()
	process.killAt = time.Now().Add(stopTimeout)
}

// poll records and restarts a process that exited unexpectedly, kills one that did not stop in time, and starts one
// whose fault is over.
func (process *process) poll() {
	running := process.gateway.Running()
	switch {
	case process.stopFault == nil && !running:
		process.record(unexpectedExit{fmt.Sprintf("%s exited unexpectedly", process.gateway.Name)})
		_ = process.gateway.Start()
	case process.stopFault != nil && running && !process.killAt.IsZero() && time.Now().After(process.killAt):
		_ = process.gateway.Kill()
	case process.stopFault != nil && !running && process.startPending:
		if err := process.gateway.Start(); err == nil {
			process.report(transition{step: *process.stopFault})
			process.stopFault, process.startPending, process.killAt = nil, false, time.Time{}
		}
	}
}

func (process *process) report(transition transition) {
	process.record(transition.disruption(time.Now()))
}

// disruption returns the observation to record for a transition.
func (transition transition) disruption(now time.Time) disruption {
	if transition.begin {
		return disruption{step: transition.step, from: now}
	}
	return disruption{step: transition.step, from: now, to: now}
}

// unexpectedExit reports that an instance exited without a fault, or that a target could not listen.
type unexpectedExit struct{ text string }
