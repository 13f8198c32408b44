package rig

import (
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a child process that can be started again after it has ended.
type Process struct {
	Name string

	program   string
	arguments []string
	logFile   string
	command   *exec.Cmd
	exited    chan error
	// stopRequested indicates that the process was killed or asked to stop since its last start.
	stopRequested atomic.Bool
}

// startProcess starts a program; its output is appended to the log file.
func startProcess(name, logFile, program string, arguments ...string) (*Process, error) {
	process := &Process{Name: name, program: program, arguments: arguments, logFile: logFile}
	return process, process.Start()
}

// Start starts the process, or restarts it after it has ended.
func (process *Process) Start() error {
	log, err := os.OpenFile(process.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "rig: open the log file")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(process.program, process.arguments...)
	command.Stdout = log
	command.Stderr = log
	// The kernel kills the process if its parent dies, so that no processes are left over.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "rig: start "+process.Name)
	}
	process.command = command
	exited := make(chan error, 1)
	go func() {
		exited <- command.Wait()
		// Closing releases any further goroutine that waits for the end.
		close(exited)
	}()
	process.exited = exited
	process.stopRequested.Store(false)
	return nil
}

// Kill sends SIGKILL and waits for the process to end.
func (process *Process) Kill() error {
	process.stopRequested.Store(true)
	if err := process.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-process.exited
	return nil
}

// Suspend stops the execution of the process until Resume is called.
func (process *Process) Suspend() error { return process.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (process *Process) Resume() error { return process.signal(syscall.SIGCONT) }

// Hangup sends SIGHUP, on which a gateway reads its settings file again. Other programs do not handle the signal, which
// then ends them.
func (process *Process) Hangup() error { return process.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM and does not wait for the process to end.
func (process *Process) Terminate() error {
	process.stopRequested.Store(true)
	return process.signal(syscall.SIGTERM)
}

// Running reports whether the process has not ended yet.
func (process *Process) Running() bool { return process.signal(0) == nil }

// Stop sends SIGTERM and waits for the process to end. It returns an error if the process fails or is still running at
// the deadline.
func (process *Process) Stop(deadline time.Time) error {
	process.stopRequested.Store(true)
	if err := process.signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-process.exited:
		return errors.Wrap(err, "rig: stop "+process.Name)
	case <-timer.C:
		return errors.Newf("rig: %s did not stop before the deadline", process.Name)
	}
}

// CPUSeconds returns the CPU time that the process has used.
func (process *Process) CPUSeconds() (float64, error) { return cpuSeconds(process.command.Process.Pid) }

// ResidentBytes returns the resident set size of the process.
func (process *Process) ResidentBytes() (int64, error) {
	return residentBytes(process.command.Process.Pid)
}

func (process *Process) signal(signal syscall.Signal) error {
	return errors.Wrap(process.command.Process.Signal(signal), "rig: signal "+process.Name)
}
