package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

// arguments are the flags and commands of the command line.
type arguments struct {
	Platform string `env:"JV_PLATFORM" default:"http://127.0.0.1:7000" help:"Base URL of the platform's log and VM list."`
	Stream   string `env:"JV_STREAM" default:"fleet" help:"Stream of the fleet on the log."`
	Operator string `env:"JV_OPERATOR" default:"operator" help:"Name of the operator, shown to other operators on a conflict."`
	Timeout  int    `default:"15" help:"Seconds to wait for the log."`
	Port     int    `default:"7101" help:"Port on which routers serve operators."`

	Check   checkCommand   `cmd:"" help:"Check a configuration file without connecting to the platform."`
	Publish publishCommand `cmd:"" help:"Publish the changes in a configuration file."`
	Topup   topupCommand   `cmd:"" help:"Add tokens to a profile's prepaid budget."`
	Target  targetCommand  `cmd:"" help:"Drain a target or restore it."`
	Budget  budgetCommand  `cmd:"" help:"Show each budget: prepaid, spent, granted, stranded, free."`
	Status  statusCommand  `cmd:"" help:"Show each VM of the fleet: ready, offset, version, grants."`
	Dump    dumpCommand    `cmd:"" help:"Show the state of one VM, or its decisions on one request."`
}

const description = `Operators' command line of the jasminevale fleet.

Examples:
  jvctl check fleet.json
  jvctl publish fleet.json --id spring-prices
  jvctl topup tapsi-drafts 500000 --id invoice-1042
  jvctl target drain engine-b2
  jvctl budget --json
  jvctl dump a1 --request 6f0c2b7a91d3e845

Exit codes: 0 done, 1 refused or failed, 2 conflict with another operator, 3 unknown whether it took effect.`

// Exit codes for errors; 0 is success.
const (
	exitFailed   = 1
	exitConflict = 2
	exitUnknown  = 3
)

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvctl"), kong.Description(description), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := command.Run(&a); err != nil {
		fmt.Fprintln(os.Stderr, "jvctl:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch jvfault.KindOf[jvoperator.Kind](err) {
	case jvoperator.KindConflict:
		return exitConflict
	case jvoperator.KindUnknown:
		return exitUnknown
	}
	return exitFailed
}
