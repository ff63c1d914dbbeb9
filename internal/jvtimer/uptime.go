package jvtimer

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// BootID names one start of the machine; it is empty where the system doesn't tell.
type BootID string

// bootFile holds a random name that the kernel draws at each start.
const bootFile = "/proc/sys/kernel/random/boot_id"

// ReadBootID returns the name of the machine's present start.
func ReadBootID() BootID {
	name, err := os.ReadFile(bootFile)
	if err != nil {
		return "" // Nothing is concluded from uptimes then.
	}
	return BootID(strings.TrimSpace(string(name)))
}

// Uptime returns the time since the machine started, suspensions included: unlike the
// process's own clock it can be compared across starts of the process.
func (s *Service) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // The kernel has this clock since Linux 2.6.39.
	}
	return time.Duration(t.Nano())
}
