package intakehttp

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// defaultDescriptors is the number of descriptors that most systems allow a process.
const defaultDescriptors = 1024

// MachineMemory returns the memory of a process whose settings state no limit: the runtime's memory
// limit if one is set, else half of the machine's memory, since without a limit the heap grows to
// twice what is in use.
func MachineMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0 // the account then has its least size
	}
	return int64(info.Totalram) * int64(info.Unit) / 2
}

// MachineDescriptors returns the number of descriptors that the process may open.
func MachineDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
