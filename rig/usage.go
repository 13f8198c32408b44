package rig

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// ticksPerSecond is the number of clock ticks per second, the unit of CPU times in /proc.
	ticksPerSecond = 100
	// userTicksField is the zero-based index of the user time in /proc/PID/stat, counted after the program's name; the
	// system time follows it. residentField is the index of the resident pages in /proc/PID/statm.
	userTicksField = 11
	residentField  = 1
)

// cpuSeconds returns the CPU time of a process, user and system.
func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "rig: read the CPU time")
	}
	// The fields are counted from the end of the program's name, since the name may contain spaces.
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= userTicksField+1 {
		return 0, errors.New("rig: too few fields in /proc/PID/stat")
	}
	user, err := strconv.ParseFloat(fields[userTicksField], 64)
	if err != nil {
		return 0, errors.Wrap(err, "rig: parse the user CPU time")
	}
	system, err := strconv.ParseFloat(fields[userTicksField+1], 64)
	return (user + system) / ticksPerSecond, errors.Wrap(err, "rig: parse the system CPU time")
}

// CPUTime returns the CPU time that this process has used, user and system.
func CPUTime() time.Duration {
	var usage unix.Rusage
	// Getrusage fails only on invalid arguments.
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "rig: read the resident set size")
	}
	fields := strings.Fields(string(text))
	if len(fields) <= residentField {
		return 0, errors.New("rig: too few fields in /proc/PID/statm")
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "rig: parse the resident set size")
}
