// Package supervisor runs tasks in a supervisor tree. A task that fails is restarted without affecting the others.
package supervisor

import (
	"context"
	"fmt"
	"runtime/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
)

const (
	// restartBackoff is how long a branch delays restarts after too many failures.
	restartBackoff = time.Second
	// stopTimeout is how long a branch waits for its tasks during shutdown.
	stopTimeout = 10 * time.Second
)

// Runner is a task. Run returns when the context ends or the task has failed.
type Runner interface {
	Run(ctx context.Context) error
}

// Branch is a node of the supervisor tree.
type Branch struct {
	name string
	log  zerolog.Logger
	tree *suture.Supervisor
}

// New returns a branch without tasks.
func New(name string, log zerolog.Logger) *Branch {
	branch := &Branch{name: name, log: log}
	branch.tree = suture.New(name, suture.Spec{
		EventHook:      branch.logEvent,
		FailureBackoff: restartBackoff,
		Timeout:        stopTimeout,
	})
	return branch
}

// Add starts a task under the branch, now or when the branch runs, and returns a function that stops this task only.
func (branch *Branch) Add(name string, runner Runner) func() {
	token := branch.tree.Add(&service{name: branch.name + "/" + name, runner: runner})
	return func() {
		// Remove fails only if the branch has stopped the task before.
		_ = branch.tree.Remove(token)
	}
}

// Branch adds a child branch without tasks.
func (branch *Branch) Branch(name string) *Branch {
	child := New(branch.name+"/"+name, branch.log)
	branch.tree.Add(child.tree)
	return child
}

// Run runs the tasks of the branch until the context ends.
func (branch *Branch) Run(ctx context.Context) error {
	err := branch.tree.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "supervisor")
}

// logEvent logs the failures that the library reports.
func (branch *Branch) logEvent(event suture.Event) {
	switch event.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		branch.log.Error().Msg("supervisor: task failed and is restarted: " + event.String())
	case suture.EventTypeStopTimeout:
		branch.log.Error().Msg("supervisor: task did not stop in time: " + event.String())
	case suture.EventTypeBackoff, suture.EventTypeResume:
		branch.log.Warn().Msg("supervisor: " + event.String())
	}
}

// service adapts a Runner to the interface of the library suture.
type service struct {
	name   string
	runner Runner
}

// Serve runs the task once. Profiles of the process show its work, and that of the goroutines that it starts, under its name.
func (service *service) Serve(ctx context.Context) error {
	var err error
	pprof.Do(ctx, pprof.Labels("task", service.name), func(ctx context.Context) { err = service.runner.Run(ctx) })
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(err, service.name)
}

// String returns the path of the task in the tree, which the library uses in events.
func (service *service) String() string { return fmt.Sprintf("task %s", service.name) }
