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
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
	// userTicksField and residentField are the places of fields in /proc files, from zero.
	userTicksField = 11
	residentField  = 1
)

// cpuSeconds returns the user and system time of a process.
func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "rig")
	}
	// The fields are counted after the name, which may hold blanks.
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) <= userTicksField+1 {
		return 0, errors.New("rig: short process status")
	}
	user, err := strconv.ParseFloat(fields[userTicksField], 64)
	if err != nil {
		return 0, errors.Wrap(err, "rig")
	}
	system, err := strconv.ParseFloat(fields[userTicksField+1], 64)
	return (user + system) / ticksPerSecond, errors.Wrap(err, "rig")
}

// Spent returns the processor time that this process has used, the kernel's for it counted in.
func Spent() time.Duration {
	var usage unix.Rusage
	// It can only fail for bad arguments.
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "rig")
	}
	fields := strings.Fields(string(text))
	if len(fields) <= residentField {
		return 0, errors.New("rig: short memory status")
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "rig")
}
