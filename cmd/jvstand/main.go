package main

import (
	"crypto/sha256"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvchance"
	"github.com/jasminevale/jasminevale/internal/jvlog"
	"github.com/jasminevale/jasminevale/internal/jvstandin"
)

// arguments are the commands of the command line.
type arguments struct {
	Platform platformCommand `cmd:"" help:"Run the platform: the append-only log and the VM list."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
	Weights  weightsCommand  `cmd:"" help:"Run a weight store."`
}

// common are the flags that every stand-in has.
type common struct {
	Listen string            `required:"" help:"IP:port to listen on."`
	Zones  map[string]string `help:"Prefix of the IP addresses of each availability zone, such as a=127.0.1." mapsep:","`
	Seed   string            `help:"Seed of random values; by default a different one at each start."`
}

func (c *common) faults() *jvstandin.FaultInjector { return jvstandin.NewFaultInjector(c.Zones) }

func (c *common) random() *jvchance.Source {
	seed := c.Seed
	if seed == "" {
		seed = c.Listen + time.Now().String()
	}
	return jvchance.NewSource(sha256.Sum256([]byte(seed)))
}

// serve serves a stand-in over HTTP until the process ends; part names the stand-in in the log.
func (c *common) serve(part string, h http.Handler) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", c.Listen)
	}
	jvlog.New(os.Stdout, 0).Info("started", "part", part, "address", l.Addr().String())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	return server.Serve(l)
}

// platformCommand is the command "platform".
type platformCommand struct {
	common
	Keep int           `default:"100000" help:"Largest number of entries that a stream keeps."`
	Age  time.Duration `default:"24h" help:"Age after which a stream drops an entry."`
	Rate float64       `default:"300" help:"Largest number of appends per second; 0 for no limit."`
	Lag  time.Duration `default:"1s" help:"Delay before a change of the VM list becomes visible."`
}

// Run serves the log and the VM list.
func (c *platformCommand) Run() error {
	o := jvstandin.PlatformOptions{MaxEntries: c.Keep, MaxAge: c.Age, AppendRate: c.Rate, VMListLag: c.Lag}
	return c.serve("platform", jvstandin.NewPlatform(o, c.faults()).Handler())
}

// engineCommand is the command "engine".
type engineCommand struct {
	common
	Name    string        `required:"" help:"Name of the target."`
	Slots   int           `default:"16" help:"Largest number of requests that run concurrently."`
	Queue   int           `default:"16" help:"Largest number of requests that wait for a slot."`
	Token   time.Duration `default:"5ms" help:"Time for one token of a request that runs alone."`
	Step    time.Duration `default:"100us" help:"Time that each further request in the batch adds to a token."`
	Prefill time.Duration `default:"5ms" help:"Time for 1,000 uncached bytes of a prompt."`
	Lag     time.Duration `default:"500ms" help:"Largest age of a load report."`
	Blocks  int           `default:"4096" help:"Capacity of the prefix cache in blocks of 256 bytes."`
	Fenced  bool          `help:"Refuse orders whose fencing number is lower than one already seen."`
}

// Run serves a model engine.
func (c *engineCommand) Run() error {
	o := jvstandin.EngineOptions{
		Name:           c.Name,
		Slots:          c.Slots,
		QueueLimit:     c.Queue,
		TokenTime:      c.Token,
		BatchTokenTime: c.Step,
		PrefillTime:    c.Prefill,
		LoadLag:        c.Lag,
		CacheBlocks:    c.Blocks,
		Fenced:         c.Fenced,
	}
	return c.serve("engine "+c.Name, jvstandin.NewEngine(o, c.faults(), c.random()).Handler())
}

// serviceCommand is the command "service".
type serviceCommand struct {
	common
	Name string        `required:"" help:"Name of the target."`
	Work time.Duration `default:"10ms" help:"Time that one call takes."`
	Lag  time.Duration `default:"500ms" help:"Largest age of a load report."`
}

// Run serves a plain service.
func (c *serviceCommand) Run() error {
	o := jvstandin.ServiceOptions{Name: c.Name, CallTime: c.Work, LoadLag: c.Lag}
	return c.serve("service "+c.Name, jvstandin.NewService(o, c.faults(), c.random()).Handler())
}

// weightsCommand is the command "weights".
type weightsCommand struct {
	common
	Rate int64 `default:"100000000" help:"Bytes served per second."`
	Size int64 `default:"10000000" help:"Size of one model in bytes."`
}

// Run serves a weight store.
func (c *weightsCommand) Run() error {
	return c.serve("weights", jvstandin.NewWeights(c.Rate, c.Size, c.faults()).Handler())
}

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvstand"), kong.Description("Runs a stand-in of the platform or of a target."), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
