package main

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvedge"
	"github.com/jasminevale/jasminevale/internal/jvengine"
	"github.com/jasminevale/jasminevale/internal/jvfleet"
	"github.com/jasminevale/jasminevale/internal/jvlisten"
	"github.com/jasminevale/jasminevale/internal/jvlog"
	"github.com/jasminevale/jasminevale/internal/jvmemory"
	"github.com/jasminevale/jasminevale/internal/jvpeer"
	"github.com/jasminevale/jasminevale/internal/jvplatform"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvresponse"
	"github.com/jasminevale/jasminevale/internal/jvsetting"
	"github.com/jasminevale/jasminevale/internal/jvtimer"
	"github.com/jasminevale/jasminevale/internal/jvtls"
)

// runCommand is the command "run".
type runCommand struct {
	File string `arg:"" help:"Settings file in JSON."`
}

// Run starts the router and serves its three ports until a signal or an operator stops the
// router, or until a port fails.
func (c *runCommand) Run() error {
	settings, err := jvsetting.ReadRouter(c.File)
	if err != nil {
		return err
	}
	secret, err := os.ReadFile(settings.Peers.SecretFile)
	if err != nil {
		return errors.Wrap(err, "read the fleet's secret")
	}
	logger := jvlog.New(os.Stdout, int(settings.Log.Level)).WithValues("vm", settings.VM, "zone", settings.Zone)
	if memory := settings.Machine().MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
	timer := jvtimer.NewService()
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	options, err := routerOptions(settings, strings.TrimSpace(string(secret)), timer, logger)
	if err != nil {
		return err
	}
	router := jvfleet.NewRouter(options)
	router.RegisterGauges()
	gate, err := newGate(settings, timer, options.Random.Float, logger)
	if err != nil {
		return err
	}
	ports, err := openPorts(settings, strings.TrimSpace(string(secret)), listeners, router, gate, timer, logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	logger.Info("started", "callers", settings.Callers.Address, "operators", settings.Operators.Address, "peers", settings.Peers.Address)
	select {
	case <-signals:
		signal.Ignore(syscall.SIGHUP) // Its default would end the process and the answers in progress.
		router.Stop(context.Background())
	case <-router.Done():
	case err := <-ports.failed:
		return errors.Wrap(err, "serve a port")
	}
	ctx, cancel := context.WithDeadline(context.Background(), router.StopEnds())
	jvedge.Shutdown(ctx, ports.servers)
	cancel()
	timer.Close()
	logger.Info("stopped")
	return nil
}

// maxOwnBytes is the receive buffer of connections to the ports of operators and peers.
const maxOwnBytes = 32 << 10

// listen opens all ports before the router joins the fleet, so that the program ends at once
// if a port is in use.
func listen(s jvsetting.Router) ([]net.Listener, error) {
	limits, err := divide(s)
	if err != nil {
		return nil, err
	}
	var listeners []net.Listener
	for i, address := range []string{s.Callers.Address, s.Operators.Address, s.Peers.Address} {
		o := jvlisten.Options{Queue: jvpressure.CallersQueue, ReceiveBytes: maxOwnBytes}
		if i == 0 {
			o.ReceiveBytes = int(limits.ReceiveBytes)
		}
		l, err := jvlisten.Listen(address, o)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Limits of outgoing connections.
const (
	maxIdleConnections        = 4096
	maxIdleConnectionsPerHost = 256
	dialTimeout               = time.Second
)

// newTransport returns an HTTP transport whose connections come from the VM's own address,
// where the settings name one.
func newTransport(s jvsetting.Router) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	if s.Address != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.Address)}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return jvresponse.NewConn(c), nil
		},
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnectionsPerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// routerOptions returns the router's options with clients for the platform, peers and targets.
func routerOptions(s jvsetting.Router, secret string, timer *jvtimer.Service, logger logr.Logger) (jvfleet.Options, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return jvfleet.Options{}, errors.Wrap(err, "read a random seed")
	}
	peerTransport, scheme := newTransport(s), "ws"
	if s.Peers.TLS != nil {
		config, err := jvtls.ClientConfig(*s.Peers.TLS, timer)
		if err != nil {
			return jvfleet.Options{}, err
		}
		peerTransport.TLSClientConfig, scheme = config, "wss"
	}
	platform := jvplatform.NewClient(strings.TrimSuffix(s.Platform.URL, "/"), &http.Client{Transport: jvresponse.NewTransport(newTransport(s))})
	o := jvfleet.DefaultOptions()
	o.VM = s.VM
	o.Zone = s.Zone
	o.Timer = timer
	o.Random = jvchance.NewSource(seed)
	o.Log = platform
	o.VMs = platform
	o.Network = jvpeer.NewClient(&http.Client{Transport: jvresponse.NewTransport(peerTransport)}, scheme, secret, timer)
	o.Targets = jvengine.NewClient(newTransport(s), timer, s.StallTimeout())
	o.Logger = logger
	o.Journal.Stream = s.Platform.Stream
	o.Workers = int(s.Limits.MaxRequests)
	o.Timing.StopTimeout = s.StopTimeout()
	if s.Platform.SnapshotEntries > 0 {
		o.Journal.CheckpointEntries = uint64(s.Platform.SnapshotEntries)
	}
	if s.Platform.SnapshotAgeSeconds > 0 {
		o.Journal.CheckpointInterval = time.Duration(s.Platform.SnapshotAgeSeconds) * time.Second
	}
	return o, nil
}

// divide returns the limits by the VM's resources. Memory that the settings don't name is that of the machine, which limits only
// what bodies and the process hold.
func divide(s jvsetting.Router) (jvpressure.Limits, error) {
	limits, err := s.Machine().Divide()
	if err != nil || limits.HeldBytes > 0 {
		return limits, err
	}
	all, err := jvpressure.Machine{MemoryBytes: jvpressure.MachineMemory()}.Divide()
	limits.HeldBytes, limits.MemoryBytes, limits.ReceiveBytes = all.HeldBytes, all.MemoryBytes, all.ReceiveBytes
	return limits, err
}

// newAccount returns the account of what callers' requests hold.
func newAccount(s jvsetting.Router, gate *jvpressure.Gate, timer *jvtimer.Service) (*jvmemory.Account, error) {
	limits, err := divide(s)
	if err != nil || limits.HeldBytes == 0 {
		return nil, err
	}
	edge := jvedge.DefaultLimits()
	return jvmemory.NewAccount(jvmemory.AccountOptions{
		Bytes: limits.HeldBytes, Timer: timer,
		IdleTime:  func() time.Duration { return edge.ReadTimeout },
		ShortTime: func() time.Duration { return shortReadTime },
		Crowded:   func() bool { return gate.Requests().Share() > crowdedShare },
	}), nil
}

const (
	// heapShare is the share of the memory from which on the heap is collected more often. It is more than what requests hold.
	heapShare = 0.6
	// shortReadTime is how long a body may make no progress while memory or places are short, crowdedShare the share of the
	// requests from which on places are.
	shortReadTime = 3 * time.Second
	crowdedShare  = 0.5
)

// newGate returns the gate that admits callers' requests, by the limits of the VM and, if its processors are known, by the
// delay of events.
func newGate(s jvsetting.Router, timer *jvtimer.Service, random func() float64, logger logr.Logger) (*jvpressure.Gate, error) {
	limits, err := divide(s)
	if err != nil {
		return nil, err
	}
	o := jvpressure.DefaultGateOptions()
	o.Limits, o.Timer, o.Random, o.Logger, o.Memory = limits, timer, random, logger, jvpressure.Memory
	if s.Limits.Cores > 0 {
		queue, err := jvpressure.NewPoller()
		if err != nil {
			return nil, err
		}
		o.Delay = jvpressure.NewMonitor(jvpressure.MonitorOptions{Timer: timer, Uptime: timer.Uptime, Queue: queue}).Delay // Until the process ends.
	}
	logger.Info("limits", "callers", limits.Callers, "requests", limits.Requests, "memory", limits.MemoryBytes>>20)
	return jvpressure.NewGate(o), nil
}

// ports are the servers of a router's three ports: for callers, operators and peers.
type ports struct {
	servers []*jvedge.Server
	// failed carries the error of a server that ends without being shut down.
	failed chan error
}

func openPorts(s jvsetting.Router, secret string, listeners []net.Listener, router *jvfleet.Router, gate *jvpressure.Gate, timer *jvtimer.Service, logger logr.Logger) (*ports, error) {
	account, err := newAccount(s, gate, timer)
	if err != nil {
		return nil, err
	}
	limits := jvedge.DefaultLimits()
	if s.Limits.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = s.Limits.MaxBodyBytes
	}
	if s.Limits.MaxConnections > 0 {
		limits.MaxConnections = int(s.Limits.MaxConnections)
	}
	callerLimits := limits
	if n := gate.Callers().Limit(); n > 0 {
		callerLimits.MaxConnections = min(callerLimits.MaxConnections, int(n))
	}
	stop := func() { go router.Stop(context.Background()) }
	peers := http.NewServeMux()
	peers.Handle("/peer", jvpeer.NewServer(secret, router.HandlePeer, logger.WithName("peers")))
	handlers := []http.Handler{
		jvedge.AnnounceClose(router.Stopping, jvedge.Admit(gate, func(key string) string {
			w, _ := router.Catalog().Workspace(key)
			return w.Name
		}, logger.WithName("callers"), jvedge.CallersHandler(jvedge.NewCallers(router, limits, account), logger.WithName("callers")))),
		http.MaxBytesHandler(jvedge.OperatorsHandler(jvedge.NewOperators(router, stop), logger.WithName("operators")), limits.MaxBodyBytes),
		peers,
	}
	p := &ports{failed: make(chan error, len(handlers))}
	for i, port := range []jvsetting.Port{s.Callers, s.Operators, s.Peers.Port} {
		portLimits := limits
		if i == 0 {
			portLimits = callerLimits
		}
		server, err := openPort(port, listeners[i], handlers[i], portLimits, timer)
		if err != nil {
			return nil, err
		}
		p.servers = append(p.servers, server)
		go func() {
			if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
				p.failed <- err
			}
		}()
	}
	return p, nil
}

func openPort(port jvsetting.Port, l net.Listener, h http.Handler, limits jvedge.Limits, timer *jvtimer.Service) (*jvedge.Server, error) {
	if port.TLS == nil {
		return jvedge.NewServer(l, h, limits, nil, timer), nil
	}
	config, err := jvtls.ServerConfig(*port.TLS, timer)
	if err != nil {
		return nil, err
	}
	return jvedge.NewServer(l, h, limits, config, timer), nil
}
