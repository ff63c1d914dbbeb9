package jvtimer

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// BootID identifies a boot of the machine; it is empty where the system does not report it.
type BootID string

// bootIDFile holds a random ID that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// ReadBootID returns the ID of the machine's current boot.
func ReadBootID() BootID {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "" // Uptimes are not compared without an ID.
	}
	return BootID(strings.TrimSpace(string(id)))
}

// Uptime returns the time since the machine booted, including suspensions. Unlike the process's
// monotonic clock, it can be compared between processes of one boot.
func (s *Service) Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // Not reached: Linux has had this clock since 2.6.39.
	}
	return time.Duration(t.Nano())
}
