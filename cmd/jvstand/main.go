// Command jvstand runs one stand-in of what the platform or a back end gives.
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

// arguments are the command line.
type arguments struct {
	Platform platformCommand `cmd:"" help:"Run the append-only log and the VM list."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
	Weights  weightsCommand  `cmd:"" help:"Run the weight store."`
}

// common are the flags of every stand-in.
type common struct {
	Listen string            `required:"" help:"IP:port to listen on."`
	Zones  map[string]string `help:"Beginning of the IP numbers of each availability zone, as a=127.0.1." mapsep:","`
	Seed   string            `help:"Seed of what is random; by default another one each time."`
}

func (c *common) faults() *jvstandin.FaultInjector { return jvstandin.NewFaultInjector(c.Zones) }

func (c *common) chance() *jvchance.Source {
	seed := c.Seed
	if seed == "" {
		seed = c.Listen + time.Now().String()
	}
	return jvchance.NewSource(sha256.Sum256([]byte(seed)))
}

func (c *common) serve(part string, h http.Handler) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", c.Listen)
	}
	jvlog.New(os.Stdout, 0).Info("started", "part", part, "address", l.Addr().String())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	return server.Serve(l)
}

// platformCommand runs the log and the VM list.
type platformCommand struct {
	common
	Keep int           `default:"100000" help:"Entries that a stream keeps."`
	Age  time.Duration `default:"24h" help:"How long a stream keeps an entry."`
	Rate float64       `default:"300" help:"Appends a second."`
	Lag  time.Duration `default:"1s" help:"Delay of the VM list."`
}

// Run implements the command.
func (c *platformCommand) Run() error {
	o := jvstandin.PlatformOptions{MaxEntries: c.Keep, MaxAge: c.Age, AppendRate: c.Rate, VMListLag: c.Lag}
	return c.serve("platform", jvstandin.NewPlatform(o, c.faults()).Handler())
}

// engineCommand runs a model engine.
type engineCommand struct {
	common
	Name    string        `required:"" help:"Name of the target."`
	Slots   int           `default:"16" help:"Requests that run at once."`
	Queue   int           `default:"16" help:"Requests that wait."`
	Token   time.Duration `default:"5ms" help:"Time for one token."`
	Step    time.Duration `default:"100us" help:"What each further request in the batch adds to it."`
	Prefill time.Duration `default:"5ms" help:"Time for 1,000 bytes of a prompt that are not cached."`
	Lag     time.Duration `default:"500ms" help:"Age of load reports."`
	Blocks  int           `default:"4096" help:"Blocks of 256 bytes in the prefix cache."`
	Fenced  bool          `help:"Refuse orders with an old fencing number."`
}

// Run implements the command.
func (c *engineCommand) Run() error {
	o := jvstandin.EngineOptions{
		Name:    c.Name,
		Slots:   c.Slots,
		QueueLimit:   c.Queue,
		TokenTime:   c.Token,
		BatchTokenTime:    c.Step,
		PrefillTime: c.Prefill,
		LoadLag:     c.Lag,
		CacheBlocks:  c.Blocks,
		Fenced:  c.Fenced,
	}
	return c.serve("engine "+c.Name, jvstandin.NewEngine(o, c.faults(), c.chance()).Handler())
}

// serviceCommand runs a plain service.
type serviceCommand struct {
	common
	Name string        `required:"" help:"Name of the target."`
	Work time.Duration `default:"10ms" help:"Time for one call."`
	Lag  time.Duration `default:"500ms" help:"Age of load reports."`
}

// Run implements the command.
func (c *serviceCommand) Run() error {
	o := jvstandin.ServiceOptions{Name: c.Name, CallTime: c.Work, LoadLag: c.Lag}
	return c.serve("service "+c.Name, jvstandin.NewService(o, c.faults(), c.chance()).Handler())
}

// weightsCommand runs the weight store.
type weightsCommand struct {
	common
	Rate int64 `default:"100000000" help:"Bytes a second."`
	Size int64 `default:"10000000" help:"Bytes of one model."`
}

// Run implements the command.
func (c *weightsCommand) Run() error {
	return c.serve("weights", jvstandin.NewWeights(c.Rate, c.Size, c.faults()).Handler())
}

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvstand"), kong.Description("Stand-ins of the platform and of back ends."), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
