package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

// checkCommand is the command "check".
type checkCommand struct {
	File string `arg:"" help:"Configuration in JSON."`
}

// Run checks each item of the file on its own, without the platform.
func (c *checkCommand) Run(*arguments) error {
	if _, err := readBundle(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: all items are valid; publish also checks references against the configuration in force\n", c.File)
	return nil
}

func readBundle(file string) (jvoperator.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return jvoperator.Bundle{}, errors.Wrap(err, "read configuration")
	}
	b, err := jvoperator.ParseBundle(data)
	return b, errors.Wrap(err, file)
}

// publishCommand is the command "publish".
type publishCommand struct {
	File string `arg:"" help:"Configuration in JSON; items that it does not name stay unchanged."`
	ID   string `help:"Id of this publication; publishing again with the same id returns the earlier result."`
	From uint64 `help:"Version that the changes are based on; a later change by another operator is a conflict."`
}

// Run publishes the items of the file that differ from the configuration in force.
func (c *publishCommand) Run(a *arguments) error {
	bundle, err := readBundle(c.File)
	if err != nil {
		return err
	}
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.close()
	id := s.idOrNew(c.ID)
	version, err := s.client.Publish(s.ctx, id, bundle, c.From)
	if err != nil {
		return explainUnknown(err, fmt.Sprintf("jvctl publish %s --id %s", c.File, id))
	}
	fmt.Printf("accepted: version %d, id %s\n", version, id)
	return nil
}

// explainUnknown adds to an error of unknown outcome the command that shows whether the
// record took effect.
func explainUnknown(err error, command string) error {
	if jvfault.KindOf[jvoperator.Kind](err) != jvoperator.KindUnknown {
		return err
	}
	return errors.WithMessagef(err, "unknown whether the change took effect; to find out, run: %s", command)
}

// topupCommand is the command "topup".
type topupCommand struct {
	Profile string `arg:"" help:"Profile of the budget."`
	Tokens  int64  `arg:"" help:"Tokens to add."`
	ID      string `required:"" help:"Id of this top-up, such as an invoice number; a repeated id adds no tokens."`
}

// Run adds tokens to the budget.
func (c *topupCommand) Run(a *arguments) error {
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.close()
	if err := s.client.Topup(s.ctx, c.ID, c.Profile, c.Tokens); err != nil {
		return explainUnknown(err, fmt.Sprintf("jvctl topup %s %d --id %s", c.Profile, c.Tokens, c.ID))
	}
	fmt.Printf("accepted: %s topped up by %d, id %s\n", c.Profile, c.Tokens, c.ID)
	return nil
}

// targetCommand is the command "target" with its subcommands.
type targetCommand struct {
	Drain   drainCommand   `cmd:"" help:"Send a target no new requests; those in progress finish."`
	Restore restoreCommand `cmd:"" help:"Send new requests to a drained target again."`
}

// drainCommand is the command "target drain".
type drainCommand struct {
	Name   string `arg:"" help:"Name of the target."`
	Reason string `default:"operator" help:"Reason, shown to other operators."`
	ID     string `help:"Id of this change."`
}

// Run drains the target.
func (c *drainCommand) Run(a *arguments) error {
	return changeTarget(a, c.Name, c.Reason, c.ID, false)
}

// restoreCommand is the command "target restore".
type restoreCommand struct {
	Name string `arg:"" help:"Name of the target."`
	ID   string `help:"Id of this change."`
}

// Run restores the target.
func (c *restoreCommand) Run(a *arguments) error {
	return changeTarget(a, c.Name, "", c.ID, true)
}

// changeTarget publishes that a target is drained or restored.
func changeTarget(a *arguments, name, reason, id string, restore bool) error {
	s, err := a.openSession()
	if err != nil {
		return err
	}
	defer s.close()
	version, err := s.client.Drain(s.ctx, s.idOrNew(id), name, reason, restore)
	if err != nil {
		return explainUnknown(err, "jvctl status")
	}
	fmt.Printf("accepted: version %d\n", version)
	return nil
}
