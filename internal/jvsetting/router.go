package jvsetting

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvpressure"
	"github.com/jasminevale/jasminevale/internal/jvtls"
)

// Kind is the class of a settings error.
type Kind string

// Kinds of settings errors.
const (
	// KindFile means that the file can't be read.
	KindFile Kind = "file"
	// KindInvalid means that the settings are invalid.
	KindInvalid Kind = "invalid"
)

// Error is a settings error.
type Error = jvfault.Error[Kind]

// Router holds the settings of one router.
type Router struct {
	// VM and Zone are the names of this VM and its availability zone in the platform's VM list.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Address is the source IP address of the router's outgoing connections; empty for any.
	Address   string   `json:"address,omitempty"`
	Callers   Port     `json:"callers"`
	Operators Port     `json:"operators"`
	Peers     Peers    `json:"peers"`
	Platform  Platform `json:"platform"`
	Limits    Limits   `json:"limits"`
	Log       Log      `json:"log"`
}

// Port configures one listening port.
type Port struct {
	// Address has the form IP:port.
	Address string `json:"address"`
	// TLS holds the names of the key and certificate files; nil for plain HTTP.
	TLS *jvtls.Files `json:"tls,omitempty"`
}

// Peers configures the port for the other VMs of the fleet.
type Peers struct {
	Port
	// SecretFile is the name of a file with the secret that all VMs of the fleet share.
	SecretFile string `json:"secret"`
}

// Platform configures access to the platform's services.
type Platform struct {
	// URL is the base URL of the log and the VM list.
	URL string `json:"url"`
	// Stream is the name of the fleet's stream on the log; by default "fleet".
	Stream string `json:"stream"`
	// SnapshotEntries and SnapshotAgeSeconds are the number of log entries since the last snapshot and
	// its age in seconds at which a new one is written; 0 means the default. Keep both well below the
	// log's retention.
	SnapshotEntries    int64 `json:"snapshot,omitempty"`
	SnapshotAgeSeconds int64 `json:"snapshotage,omitempty"`
}

// Limits holds the limits on the resources that callers use; 0 means the default.
type Limits struct {
	// MaxBodyBytes limits a request's body, MaxConnections the open connections of each port.
	MaxBodyBytes   int64 `json:"body,omitempty"`
	MaxConnections int64 `json:"connections,omitempty"`
	// MaxRequests limits the requests that run at once.
	MaxRequests int64 `json:"requests,omitempty"`
	// Descriptors is the number of descriptors that the process may have open, MemoryMB the memory of the VM in MB, and Cores
	// its processors in thousandths of one. From them follow further limits of connections and requests.
	Descriptors int64 `json:"descriptors,omitempty"`
	MemoryMB    int64 `json:"memory,omitempty"`
	Cores       int64 `json:"cores,omitempty"`
	// StallSeconds is the longest time that an engine may send nothing within an answer.
	StallSeconds int64 `json:"stall,omitempty"`
	// StopSeconds is the longest time that a planned stop waits for requests in progress.
	StopSeconds int64 `json:"stop,omitempty"`
}

// Log configures logging.
type Log struct {
	// Level is 0 for what operators need, 1 to log each refusal as well.
	Level int64 `json:"level"`
}

// Defaults of optional settings.
const (
	defaultStream       = "fleet"
	defaultMaxRequests  = 2048
	defaultStallSeconds = 10
	defaultStopSeconds  = 120
)

// ReadRouter reads, decodes and validates a router's settings file.
func ReadRouter(file string) (Router, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Router{}, jvfault.New("read settings", KindFile, err)
	}
	r, err := ParseRouter(data)
	if err != nil {
		return r, jvfault.New("read settings "+file, KindInvalid, err)
	}
	return r, nil
}

// ParseRouter decodes a router's settings, fills in defaults and validates them. The error lists all
// problems.
func ParseRouter(data []byte) (Router, error) {
	r, err := jvconfig.Parse[Router]("parse settings", data)
	if err != nil {
		return r, err
	}
	r = r.withDefaults()
	return r, r.check()
}

func (r Router) withDefaults() Router {
	if r.Platform.Stream == "" {
		r.Platform.Stream = defaultStream
	}
	if r.Limits.MaxRequests == 0 {
		r.Limits.MaxRequests = defaultMaxRequests
	}
	if r.Limits.StallSeconds == 0 {
		r.Limits.StallSeconds = defaultStallSeconds
	}
	if r.Limits.StopSeconds == 0 {
		r.Limits.StopSeconds = defaultStopSeconds
	}
	return r
}

func (r Router) check() error {
	var p jvconfig.Problems
	p.CheckName("vm", r.VM)
	p.CheckName("zone", r.Zone)
	if r.Address != "" && net.ParseIP(r.Address) == nil {
		p.Add("address", "%q is not an IP address", r.Address)
	}
	checkPort(&p, "callers", r.Callers)
	checkPort(&p, "operators", r.Operators)
	checkPort(&p, "peers", r.Peers.Port)
	if r.Peers.SecretFile == "" {
		p.Add("peers.secret", "is missing: give the name of a file that holds the fleet's secret")
	}
	if !strings.HasPrefix(r.Platform.URL, "http://") && !strings.HasPrefix(r.Platform.URL, "https://") {
		p.Add("platform.url", "%q is not a URL: begin it with http:// or https://", r.Platform.URL)
	}
	p.CheckName("platform.stream", r.Platform.Stream)
	p.CheckRange("platform.snapshot", r.Platform.SnapshotEntries, 0, 1<<30)
	p.CheckRange("platform.snapshotage", r.Platform.SnapshotAgeSeconds, 0, 7*24*3600)
	p.CheckRange("limits.body", r.Limits.MaxBodyBytes, 0, 1<<30)
	p.CheckRange("limits.connections", r.Limits.MaxConnections, 0, 1<<20)
	p.CheckRange("limits.requests", r.Limits.MaxRequests, 1, 1<<16)
	p.CheckRange("limits.descriptors", r.Limits.Descriptors, 0, 1<<20)
	p.CheckRange("limits.memory", r.Limits.MemoryMB, 0, 1<<24)
	p.CheckRange("limits.cores", r.Limits.Cores, 0, 1<<20)
	if _, err := r.Machine().Divide(); err != nil {
		p.Add("limits.descriptors", "%s", err)
	}
	p.CheckRange("limits.stall", r.Limits.StallSeconds, 1, 3600)
	p.CheckRange("limits.stop", r.Limits.StopSeconds, 1, 3600)
	p.CheckRange("log.level", r.Log.Level, 0, 1)
	return p.Err("check settings")
}

func checkPort(p *jvconfig.Problems, path string, port Port) {
	host, _, err := net.SplitHostPort(port.Address)
	if err != nil || net.ParseIP(host) == nil {
		p.Add(path+".address", "%q is not IP:port", port.Address)
	}
	if port.TLS != nil && (port.TLS.Cert == "" || port.TLS.Key == "") {
		p.Add(path+".tls", "needs cert and key, the names of PEM files")
	}
}

// Machine returns what the process may use of its VM.
func (r Router) Machine() jvpressure.Machine {
	return jvpressure.Machine{
		Descriptors: max(0, r.Limits.Descriptors), MemoryBytes: max(0, r.Limits.MemoryMB) << 20, Processors: float64(max(0, r.Limits.Cores)) / 1000,
	}
}

// StallTimeout returns the longest time that an engine may send nothing within an answer.
func (r Router) StallTimeout() time.Duration {
	return time.Duration(r.Limits.StallSeconds) * time.Second
}

// StopTimeout returns the longest time that a planned stop waits for requests in progress.
func (r Router) StopTimeout() time.Duration { return time.Duration(r.Limits.StopSeconds) * time.Second }
