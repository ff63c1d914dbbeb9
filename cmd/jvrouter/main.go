package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// arguments are the commands of the command line.
type arguments struct {
	Run   runCommand   `cmd:"" help:"Run the router until SIGTERM or SIGINT, which stop it gracefully."`
	Check checkCommand `cmd:"" help:"Check a settings file and report all errors in it."`
}

const description = `Router of the jasminevale fleet.

Examples:
  jvrouter check router.json
  jvrouter run router.json`

func main() {
	var a arguments
	parser := kong.Must(&a, kong.Name("jvrouter"), kong.Description(description), kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	command.FatalIfErrorf(command.Run())
}
