package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/jasminevale/jasminevale/internal/jvfault"
	"github.com/jasminevale/jasminevale/internal/jvoperator"
)

// checkCommand checks a configuration file.
type checkCommand struct {
	File string `arg:"" help:"Configuration in JSON."`
}

// Run implements the command.
func (c *checkCommand) Run(*arguments) error {
	if _, err := readBundle(c.File); err != nil {
		return err
	}
	fmt.Printf("%s: each item is in order; publish also checks references against what is in force\n", c.File)
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

// publishCommand publishes a configuration file.
type publishCommand struct {
	File string `arg:"" help:"Configuration in JSON; items that it does not name stay."`
	ID   string `help:"Id of this publication; the same id again tells what became of it."`
	From uint64 `help:"Version that you made the changes from; later changes by others are a conflict."`
}

// Run implements the command.
func (c *publishCommand) Run(a *arguments) error {
	bundle, err := readBundle(c.File)
	if err != nil {
		return err
	}
	s, err := a.open()
	if err != nil {
		return err
	}
	defer s.close()
	id := s.id(c.ID)
	version, err := s.client.Publish(s.ctx, id, bundle, c.From)
	if err != nil {
		return explainUnknown(err, fmt.Sprintf("jvctl publish %s --id %s", c.File, id))
	}
	fmt.Printf("accepted: version %d, id %s\n", version, id)
	return nil
}

// explainUnknown adds how to find out whether a record took effect.
func explainUnknown(err error, command string) error {
	if jvfault.KindOf[jvoperator.Kind](err) != jvoperator.KindUnknown {
		return err
	}
	return errors.WithMessagef(err, "unknown whether it took effect; find out with: %s", command)
}

// topupCommand adds to a budget.
type topupCommand struct {
	Profile string `arg:"" help:"Profile whose budget grows."`
	Tokens  int64  `arg:"" help:"Tokens to add."`
	ID      string `required:"" help:"Id of this top-up, as an invoice number; the same id counts once."`
}

// Run implements the command.
func (c *topupCommand) Run(a *arguments) error {
	s, err := a.open()
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

// targetCommand drains and restores targets.
type targetCommand struct {
	Drain   drainCommand   `cmd:"" help:"Give a target no new work; what it runs is finished."`
	Restore restoreCommand `cmd:"" help:"Give a drained target work again."`
}

// drainCommand takes a target out of service.
type drainCommand struct {
	Name   string `arg:"" help:"Name of the target."`
	Reason string `default:"operator" help:"Why, for the other operators."`
	ID     string `help:"Id of this change."`
}

// Run implements the command.
func (c *drainCommand) Run(a *arguments) error {
	return changeTarget(a, c.Name, c.Reason, c.ID, false)
}

// restoreCommand puts a target back into service.
type restoreCommand struct {
	Name string `arg:"" help:"Name of the target."`
	ID   string `help:"Id of this change."`
}

// Run implements the command.
func (c *restoreCommand) Run(a *arguments) error {
	return changeTarget(a, c.Name, "", c.ID, true)
}

func changeTarget(a *arguments, name, reason, id string, restore bool) error {
	s, err := a.open()
	if err != nil {
		return err
	}
	defer s.close()
	version, err := s.client.Drain(s.ctx, s.id(id), name, reason, restore)
	if err != nil {
		return explainUnknown(err, "jvctl status")
	}
	fmt.Printf("accepted: version %d\n", version)
	return nil
}
