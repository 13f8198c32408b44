package rig

import (
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a running program.
type Process struct {
	Name string

	program   string
	arguments []string
	logFile   string
	command   *exec.Cmd
	done      chan error
	// ended says that the program was killed or asked to stop.
	ended atomic.Bool
}

// startProcess starts a program whose messages go to a file.
func startProcess(name, logFile, program string, arguments ...string) (*Process, error) {
	process := &Process{Name: name, program: program, arguments: arguments, logFile: logFile}
	return process, process.Start()
}

// Start starts the program, again after it has ended.
func (process *Process) Start() error {
	log, err := os.OpenFile(process.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "rig")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(process.program, process.arguments...)
	command.Stdout = log
	command.Stderr = log
	// The program ends with the process that has started it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "rig: start "+process.Name)
	}
	process.command = command
	done := make(chan error, 1)
	go func() {
		done <- command.Wait()
		// Whoever waits as well goes on.
		close(done)
	}()
	process.done = done
	process.ended.Store(false)
	return nil
}

// Kill ends the program without warning.
func (process *Process) Kill() error {
	process.ended.Store(true)
	if err := process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-process.done
	return nil
}

// Freeze makes the program stand still.
func (process *Process) Freeze() error { return process.signal(syscall.SIGSTOP) }

// Thaw lets the program go on.
func (process *Process) Thaw() error { return process.signal(syscall.SIGCONT) }

// Hangup tells the program that its settings have changed.
func (process *Process) Hangup() error { return process.signal(syscall.SIGHUP) }

// Terminate asks the program to stop and does not wait.
func (process *Process) Terminate() error {
	process.ended.Store(true)
	return process.signal(syscall.SIGTERM)
}

// Running says whether the program has not ended yet.
func (process *Process) Running() bool { return process.signal(0) == nil }

// Stop asks the program to stop and waits until it has; an error if it failed or took too long.
func (process *Process) Stop(deadline time.Time) error {
	process.ended.Store(true)
	if err := process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-process.done:
		return errors.Wrap(err, "rig: stop "+process.Name)
	case <-timer.C:
		return errors.Newf("rig: %s does not stop", process.Name)
	}
}

// CPUSeconds returns the processor time that the program has used.
func (process *Process) CPUSeconds() (float64, error) { return cpuSeconds(process.command.Process.Pid) }

// ResidentBytes returns the memory that the program uses.
func (process *Process) ResidentBytes() (int64, error) {
	return residentBytes(process.command.Process.Pid)
}

func (process *Process) signal(signal syscall.Signal) error {
	return errors.Wrap(process.command.Process.Signal(signal), "rig: signal "+process.Name)
}
