package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the kernel's unit of CPU time in /proc, the same on all its common builds.
const clockTick = 10 * time.Millisecond

// cpuTime is the CPU time that a process has used, 0 if it can't be told.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, text, ok := bytes.Cut(text, []byte(") "))
	fields := bytes.Fields(text)
	if !ok || len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(string(fields[11]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[12]), 10, 64)
	return time.Duration(user+system) * clockTick
}

// peakResident is the most resident memory that a process ever had, resident what it has now, in KiB.
func peakResident(pid int) int64 { return statusKiB(pid, "VmHWM:") }
func resident(pid int) int64     { return statusKiB(pid, "VmRSS:") }

// statusKiB is a figure of the kernel's about a process, in KiB, 0 if it can't be told.
func statusKiB(pid int, name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, ok := bytes.Cut(text, []byte(name))
	if fields := bytes.Fields(text); ok && len(fields) > 0 {
		kib, _ := strconv.ParseInt(string(fields[0]), 10, 64)
		return kib
	}
	return 0
}
