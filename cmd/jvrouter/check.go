package main

import (
	"fmt"

	"github.com/jasminevale/jasminevale/internal/jvsetting"
)

// checkCommand is the command "check".
type checkCommand struct {
	File string `arg:"" help:"Settings file in JSON."`
}

// Run checks the settings file without starting the router.
func (c *checkCommand) Run() error {
	r, err := jvsetting.ReadRouter(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of VM %s in availability zone %s are valid\n", c.File, r.VM, r.Zone)
	return nil
}
