package main

import (
	"fmt"

	"github.com/jasminevale/jasminevale/internal/jvsetting"
)

// checkCommand checks a settings file.
type checkCommand struct {
	File string `arg:"" help:"Settings in JSON."`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	r, err := jvsetting.ReadRouter(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of VM %s in availability zone %s are in order\n", c.File, r.VM, r.Zone)
	return nil
}
