package jvharness

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Offsets of the ports from the cluster's base port, and the distance between two base ports.
const (
	portCallers = iota
	portOperators
	portPeers
	portPlatform
	portTargets
	portsPerCluster = 40
)

// The range is below the ephemeral ports of the system, since an outgoing connection could
// otherwise occupy one of a cluster's ports.
const (
	minPort = 10_000
	maxPort = 30_000
)

// findFreePorts returns the base of a free range of ports. The search starts at a base that
// depends on the process ID, so that concurrent processes rarely try the same range.
func findFreePorts() (int, error) {
	start := os.Getpid() * portsPerCluster
	for n := range (maxPort - minPort) / portsPerCluster {
		base := minPort + (start+n*portsPerCluster)%(maxPort-minPort)
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no range of ports is free")
}

// portsFree reports whether a cluster's ports can be bound on the platform's address and on the
// first one of each of two zones; it does not try the other addresses.
func portsFree(base int) bool {
	for _, ip := range []string{"127.0.0.1", ZoneIP(0, 1), ZoneIP(1, 1)} {
		for port := base; port <= base+portTargets; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// ZoneIP returns the IP address of the nth VM of the zone with an index from 0.
func ZoneIP(zone, n int) string { return fmt.Sprintf("127.0.%d.%d", zone+1, n) }
