// Command jvload is the load and experiment tool: it plays callers against running routers,
// and runs the demo with a fleet of its own.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// arguments are the command line.
type arguments struct {
	Fleet    fleetCommand    `cmd:"" help:"Start a fleet with stand-ins on loopback and leave it running."`
	Run      runCommand      `cmd:"" help:"Play callers against running routers."`
	Bench    benchCommand    `cmd:"" help:"Measure what a router adds to the first token and between tokens."`
	Capacity capacityCommand `cmd:"" help:"Measure the slopes that docs/CAPACITY.md works with."`
	Demo     demoCommand     `cmd:"" help:"Start a fleet with stand-ins on loopback, use it, break parts of it, and judge its promises."`
}

const description = `Load and experiment tool of the jasminevale fleet.

Examples:
  jvload run --router http://127.0.1.1:7100 --key bakers-key --rate 50 --duration 10s
  jvload demo --bin bin`

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvload"), kong.Description(description), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
