package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// arguments are the commands of the command line.
type arguments struct {
	Fleet    fleetCommand    `cmd:"" help:"Start a fleet with stand-ins on loopback and leave it running."`
	Run      runCommand      `cmd:"" help:"Send the load of many callers to running routers."`
	Bench    benchCommand    `cmd:"" help:"Measure the latency that a router adds to the first token and between tokens."`
	Capacity capacityCommand `cmd:"" help:"Measure the slopes that docs/CAPACITY.md uses."`
	Demo     demoCommand     `cmd:"" help:"Start a fleet with stand-ins on loopback, send load to it, make parts of it fail, and check its guarantees."`
	Builds   buildsCommand   `cmd:"" help:"Start a fleet of one commit's router, replace the routers one by one by another build and back under load, and check its guarantees."`
}

const description = `Load and experiment tool of the jasminevale fleet.

Examples:
  jvload run --router http://127.0.1.1:7100 --key bakers-key --rate 50 --duration 10s
  jvload demo --bin bin
  jvload builds HEAD~100 --bin bin`

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvload"), kong.Description(description), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
