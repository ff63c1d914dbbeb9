package jvpressure

import "github.com/jasminevale/jasminevale/internal/jvfault"

// Machine is what a process may use of its machine; 0 is unknown.
type Machine struct {
	// Descriptors is the number of descriptors for sockets and pipes.
	Descriptors int64
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// Processors is the number of processors, or the share of one.
	Processors float64
}

// Limits are the parts of a machine that each use may take; 0 is no limit. What they leave is for the process's own
// calls: of the store, of checks of targets, of other routers and of operators.
type Limits struct {
	// Callers is the number of callers' connections, Routers that of connections with other routers.
	Callers int64
	Routers int64
	// Requests is the number of requests in progress, each with one connection to a target at most. IdleTargets is the
	// number of connections to targets that wait for a request.
	Requests    int64
	IdleTargets int64
	// HeldBytes is the memory that requests in progress may hold, with their bodies.
	HeldBytes int64
	// ReceiveBytes is the receive buffer of a caller's connection: what has arrived and is not read counts as the machine's memory.
	ReceiveBytes int64
	// MemoryBytes is the memory from which on neither connections nor requests are admitted.
	MemoryBytes int64
}

// CallersQueue is the number of callers' connections that wait to be accepted.
const CallersQueue = 256

const (
	// MinDescriptors is the smallest number of descriptors with which a process starts.
	MinDescriptors = 128
	// reservedShare is the share of the descriptors for the process's own calls, minReserved their least number: reads of
	// all topics and appends take 40 at once, checks of targets 48.
	reservedShare = 0.1
	minReserved   = 96
	// requestShare, routerShare and idleShare are shares of the descriptors beside those. Callers get the rest.
	requestShare = 0.25
	routerShare  = 0.125
	idleShare    = 0.0625
	// A connection takes connectionBytes: its goroutine with the stack, and the buffers of net/http. One with a request in
	// progress takes requestBytes: also a small body, and the connection to its target with two goroutines and buffers. The
	// number of requests that follows from that is the last bound: what they hold is counted by jvmemory.Account.
	connectionBytes = 24 << 10
	requestBytes    = 64 << 10
	// connectionMemory and requestMemory are the shares of the memory for these.
	connectionMemory = 0.3
	requestMemory    = 0.5
	// receiveMemory is the share of the memory for the receive buffers of callers' connections, those that wait to be accepted
	// included. Each has minReceiveBytes at least and maxReceiveBytes at most.
	receiveMemory   = 0.1
	minReceiveBytes = 8 << 10
	maxReceiveBytes = 64 << 10
	// processorRequests is the number of requests in progress for each processor of a machine whose memory isn't known: each
	// takes about 1 ms of it, so that those in progress are a second's work at most.
	processorRequests = 1000
	// memoryShare is the share of the memory from which on nothing more is admitted. The rest is for what requests in
	// progress may still need, and for the buffers of the system's sockets, which the process does not see.
	memoryShare = 0.8
	// minMemoryBytes is the least memory at which admission ends: a process takes about 20 MB without any request.
	minMemoryBytes = 32 << 20
)

// Divide returns the limits for a machine, or an error of KindDescriptors if it has too few of them.
func (m Machine) Divide() (Limits, error) {
	var l Limits
	if m.Descriptors < 0 || m.MemoryBytes < 0 || m.Processors < 0 || m.Descriptors > 0 && m.Descriptors < MinDescriptors {
		return l, jvfault.Newf("divide resources", KindDescriptors, "%d descriptors and %d bytes of memory; %d descriptors are needed", m.Descriptors, m.MemoryBytes, MinDescriptors)
	}
	if m.Descriptors > 0 {
		left := float64(m.Descriptors - max(minReserved, share(reservedShare, m.Descriptors)))
		l.Requests = max(1, int64(requestShare*left))
		l.Routers = max(1, int64(routerShare*left))
		l.IdleTargets = max(1, int64(idleShare*left))
		l.Callers = max(1, int64(left)-l.Requests-l.Routers-l.IdleTargets)
	}
	if m.MemoryBytes > 0 {
		l.HeldBytes = share(requestMemory, m.MemoryBytes)
		l.Requests = smaller(l.Requests, share(requestMemory, m.MemoryBytes)/requestBytes)
		l.Callers = smaller(l.Callers, share(connectionMemory, m.MemoryBytes)/connectionBytes)
		l.ReceiveBytes = min(max(share(receiveMemory, m.MemoryBytes)/(l.Callers+CallersQueue), minReceiveBytes), maxReceiveBytes)
		l.MemoryBytes = max(minMemoryBytes, share(memoryShare, m.MemoryBytes))
	}
	if m.Processors > 0 && m.MemoryBytes == 0 {
		l.Requests = smaller(l.Requests, int64(processorRequests*m.Processors))
	}
	return l, nil
}

func share(part float64, whole int64) int64 { return int64(part * float64(whole)) }

// smaller returns the smaller limit, at least 1; 0 is no limit.
func smaller(limit, other int64) int64 {
	if limit == 0 {
		return max(1, other)
	}
	return max(1, min(limit, other))
}
