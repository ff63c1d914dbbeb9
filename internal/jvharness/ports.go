package jvharness

import (
	"fmt"
	"net"
	"os"

	"github.com/pkg/errors"
)

// Ports of a router, from the cluster's base on.
const (
	portCallers = iota
	portOperators
	portPeers
	portPlatform
	portTargets
	portsUsed = 40
)

// Ports are taken from below those that the system gives to outgoing connections, which
// would otherwise now and then hold one of them.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// freePorts finds a range of ports that is free, beginning at a place of this process's own.
func freePorts() (int, error) {
	start := os.Getpid() * portsUsed
	for n := range (lastPort - firstPort) / portsUsed {
		base := firstPort + (start+n*portsUsed)%(lastPort-firstPort)
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no range of ports is free")
}

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

// ZoneIP returns the IP number of the nth VM of a zone.
func ZoneIP(zone, n int) string { return fmt.Sprintf("127.0.%d.%d", zone+1, n) }
