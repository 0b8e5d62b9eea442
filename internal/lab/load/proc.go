package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of CPU time in /proc. It is the same on all common builds of the kernel.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time that a process has used, 0 if it is not known.
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

// peakResident returns the peak resident memory of a process, and resident the present one, in KiB.
func peakResident(pid int) int64 { return statusKiB(pid, "VmHWM:") }
func resident(pid int) int64     { return statusKiB(pid, "VmRSS:") }

// statusKiB returns a field of /proc/PID/status that is in KiB, 0 if it is not known.
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
