package jvsetting

import (
	"net"
	"os"
	"strings"
	"time"

	"github.com/jasminevale/jasminevale/internal/jvconfig"
	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvtls"
)

// Kind is the class of a settings failure.
type Kind string

// Kinds of settings failures.
const (
	KindFile    Kind = "file"
	KindInvalid Kind = "invalid"
)

// Error is a settings failure.
type Error = jvfault.Error[Kind]

// Router is the settings of one router.
type Router struct {
	// VM and Zone name this VM and its availability zone as the VM list does.
	VM   string `json:"vm"`
	Zone string `json:"zone"`
	// Address is the IP number that this VM's own connections come from; empty for any.
	Address   string   `json:"address,omitempty"`
	Callers   Port     `json:"callers"`
	Operators Port     `json:"operators"`
	Peers     Peers    `json:"peers"`
	Platform  Platform `json:"platform"`
	Limits    Limits   `json:"limits"`
	Log       Log      `json:"log"`
}

// Port is one listening port.
type Port struct {
	// Address is IP:port.
	Address string       `json:"address"`
	TLS     *jvtls.Files `json:"tls,omitempty"`
}

// Peers is the port for the other VMs of the fleet.
type Peers struct {
	Port
	// SecretFile is a file that holds the secret shared by all VMs of the fleet.
	SecretFile string `json:"secret"`
}

// Platform is where the platform's services are.
type Platform struct {
	// URL is the base of the log and the VM list.
	URL string `json:"url"`
	// Stream is the fleet's stream on the log.
	Stream string `json:"stream"`
	// SnapshotRecords and SnapshotAge are the records and the seconds after which a snapshot is due;
	// keep both well below what the log keeps.
	SnapshotRecords    int64 `json:"snapshot,omitempty"`
	SnapshotAgeSeconds int64 `json:"snapshotage,omitempty"`
}

// Limits bound what callers may take; 0 takes the default.
type Limits struct {
	// MaxBodyBytes is in bytes, Requests the number that run at once, Stall the seconds for which an
	// engine may be silent within an answer, Stop the seconds that a planned stop waits.
	MaxBodyBytes   int64 `json:"body,omitempty"`
	MaxConnections int64 `json:"connections,omitempty"`
	MaxRequests    int64 `json:"requests,omitempty"`
	StallSeconds   int64 `json:"stall,omitempty"`
	StopSeconds    int64 `json:"stop,omitempty"`
}

// Log is how much is logged: 0 for what operators need, 1 for each refusal as well.
type Log struct {
	Level int64 `json:"level"`
}

// Defaults of settings that may be left out.
const (
	defaultStream   = "fleet"
	defaultRequests = 2048
	defaultStall    = 10
	defaultStop     = 120
)

// ReadRouter reads and checks a router's settings file.
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

// ParseRouter reads and checks a router's settings.
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
		r.Limits.MaxRequests = defaultRequests
	}
	if r.Limits.StallSeconds == 0 {
		r.Limits.StallSeconds = defaultStall
	}
	if r.Limits.StopSeconds == 0 {
		r.Limits.StopSeconds = defaultStop
	}
	return r
}

func (r Router) check() error {
	var p jvconfig.Problems
	p.CheckName("vm", r.VM)
	p.CheckName("zone", r.Zone)
	if r.Address != "" && net.ParseIP(r.Address) == nil {
		p.Add("address", "%q is not an IP number", r.Address)
	}
	checkPort(&p, "callers", r.Callers)
	checkPort(&p, "operators", r.Operators)
	checkPort(&p, "peers", r.Peers.Port)
	if r.Peers.SecretFile == "" {
		p.Add("peers.secret", "is missing: name a file that holds the fleet's secret")
	}
	if !strings.HasPrefix(r.Platform.URL, "http://") && !strings.HasPrefix(r.Platform.URL, "https://") {
		p.Add("platform.url", "%q is not a URL: begin it with http:// or https://", r.Platform.URL)
	}
	p.CheckName("platform.stream", r.Platform.Stream)
	p.CheckRange("platform.snapshot", r.Platform.SnapshotRecords, 0, 1<<30)
	p.CheckRange("platform.snapshotage", r.Platform.SnapshotAgeSeconds, 0, 7*24*3600)
	p.CheckRange("limits.body", r.Limits.MaxBodyBytes, 0, 1<<30)
	p.CheckRange("limits.connections", r.Limits.MaxConnections, 0, 1<<20)
	p.CheckRange("limits.requests", r.Limits.MaxRequests, 1, 1<<16)
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
		p.Add(path+".tls", "needs cert and key, the names of files in PEM")
	}
}

// StallTimeout returns how long an engine may be silent within an answer.
func (r Router) StallTimeout() time.Duration {
	return time.Duration(r.Limits.StallSeconds) * time.Second
}

// StopTimeout returns how long a planned stop waits for requests under way.
func (r Router) StopTimeout() time.Duration { return time.Duration(r.Limits.StopSeconds) * time.Second }
